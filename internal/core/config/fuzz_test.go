package config

import (
	"bytes"
	"os"
	"testing"
)

// Guards against a document that makes the parser panic, and against one that is accepted but can't be passed on. A
// daemon encodes a parsed document for its peers, which parse it again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"format": 1, "epoch": 1}`))
	f.Add([]byte(`{"format": 1, "presets": {"ordinary": {"retry_ratio": 1e400}}}`))
	f.Add([]byte(`[[[[[[[[[[]]]]]]]]]]`))
	for _, name := range []string{"registry", "konvooi"} {
		data, err := os.ReadFile("../../../examples/" + name + "/config.json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Parse(data)
		if err != nil {
			return
		}
		encoded, err := doc.Encode()
		if err != nil {
			t.Fatalf("accepted, but can't be encoded: %v", err)
		}
		again, err := Parse(encoded)
		if err != nil {
			t.Fatalf("accepted, but its encoding is rejected: %v", err)
		}
		if twice, err := again.Encode(); err != nil || !bytes.Equal(encoded, twice) {
			t.Fatalf("encoding changes: %v", err)
		}
	})
}
