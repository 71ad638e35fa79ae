package settings

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

const valid = `{
  "name": "lookup-1", "service": "lookup", "region": "kingston", "zone": "kingston-a",
  "peer_address": "127.0.0.1:7001", "call_address": "127.0.0.1:7002", "admin_address": "127.0.0.1:7003",
  "backend": {"url": "http://127.0.0.1:7004", "slots": 9, "connections": 60},
  "tls": {"certificate": "a.pem", "key": "a.key", "authority": "ca.pem"},
  "platform": {"urls": ["http://127.0.0.1:2379"]},
  "peers": ["127.0.0.1:7001", "127.0.0.1:7011"], "calls": ["holdership"],
  "telemetry": {"otlp_url": "http://127.0.0.1:4318/v1/traces"}, "log": {"level": "warn"}, "drain_limit": "20s"
}`

// Guards against a field that is read into the wrong setting or ignored.
func TestParseReadsEachField(t *testing.T) {
	s, err := Parse("s.json", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "lookup-1" || s.Service != "lookup" || s.Region != "kingston" || s.Zone != "kingston-a" {
		t.Errorf("identity %+v", s)
	}
	if s.PeerAddress != "127.0.0.1:7001" || s.CallAddress != "127.0.0.1:7002" || s.AdminAddress != "127.0.0.1:7003" {
		t.Errorf("addresses %+v", s)
	}
	if s.Backend != (Backend{URL: "http://127.0.0.1:7004", Slots: 9, Connections: 60}) {
		t.Errorf("backend %+v", s.Backend)
	}
	if s.TLS != (TLS{Certificate: "a.pem", Key: "a.key", Authority: "ca.pem"}) {
		t.Errorf("tls %+v", s.TLS)
	}
	if !slices.Equal(s.Platform.URLs, []string{"http://127.0.0.1:2379"}) || len(s.Peers) != 2 || len(s.Calls) != 1 {
		t.Errorf("lists %+v", s)
	}
	if s.Telemetry.OTLPURL != "http://127.0.0.1:4318/v1/traces" || s.Log.Level != "warn" || s.DrainLimit != 20*time.Second {
		t.Errorf("options %+v", s)
	}
}

// Guards against defaults that differ from the documented ones.
func TestParseDefaults(t *testing.T) {
	text := valid[:strings.Index(valid, `"peers"`)]
	text = text[:strings.LastIndex(text, ",")] + "}"
	s, err := Parse("s.json", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if s.Log.Level != DefaultLogLevel || s.DrainLimit != DefaultDrainLimit || s.Telemetry.OTLPURL != "" {
		t.Errorf("defaults %+v", s)
	}
}

// Guards against invalid values that are accepted or reported under the wrong field.
func TestParseRejects(t *testing.T) {
	cases := []struct{ old, new, field, found string }{
		{`"name": "lookup-1"`, `"name": ""`, "name", `""`},
		{`"name": "lookup-1", `, ``, "name", "nothing"},
		{`"name"`, `"Name"`, "Name", "an unknown field"},
		{`"zone"`, `"region": "b", "zone"`, "region", "a second time"},
		{`"127.0.0.1:7002"`, `"localhost:7002"`, "call_address", "localhost"},
		{`"127.0.0.1:7002"`, `"0.0.0.0:7002"`, "call_address", "0.0.0.0"},
		{`"127.0.0.1:7001", "call`, `"127.0.0.1:0", "call`, "peer_address", ":0"},
		{`"127.0.0.1:7003"`, `"127.0.0.1:7002"`, "admin_address", "also call_address"},
		{`"slots": 9`, `"slots": 0`, "backend.slots", "the number 0"},
		{`"slots": 9`, `"slots": "9"`, "backend.slots", `"9"`},
		{`"slots": 9`, `"slots": 61`, "backend.connections", "the number 60"},
		{`"slots": 9`, `"slots": 9.5`, "backend.slots", "9.5"},
		{`http://127.0.0.1:7004`, `http://192.0.2.1:7004`, "backend.url", "192.0.2.1"},
		{`http://127.0.0.1:7004`, `http://127.0.0.1:7004/x`, "backend.url", "/x"},
		{`http://127.0.0.1:2379`, `http://u:p@127.0.0.1:2379`, "platform.urls[0]", "u:p"},
		{`["http://127.0.0.1:2379"]`, `[]`, "platform.urls", "0 values"},
		{`"127.0.0.1:7011"`, `"127.0.0.1:7001"`, "peers[1]", "a second time"},
		{`["holdership"]`, `"holdership"`, "calls", `"holdership"`},
		{`"level": "warn"`, `"level": "loud"`, "log.level", "loud"},
		{`"20s"`, `20`, "drain_limit", "the number 20"},
		{`"20s"`, `"20"`, "drain_limit", `"20"`},
		{`"20s"`, `"20h"`, "drain_limit", `"20h"`},
		{`{"level": "warn"}`, `null`, "log", "null"},
		{`"20s"`, `"20s"} {`, "", "more data"},
		{`"20s"`, `"20s"`[:2], "", "malformed JSON on line 7"},
		{`"20s"`, "\"\xff\"", "", "not UTF-8"},
	}
	for _, c := range cases {
		if !strings.Contains(valid, c.old) {
			t.Fatalf("case %q changes nothing", c.old)
		}
		_, err := Parse("s.json", []byte(strings.Replace(valid, c.old, c.new, 1)))
		var p Problem
		if !errors.As(err, &p) {
			t.Errorf("%s: got error %v", c.new, err)
			continue
		}
		if p.File != "s.json" || p.Field != c.field || !strings.Contains(p.Found, c.found) || p.Allowed == "" {
			t.Errorf("%s: got %+v", c.new, p)
		}
	}
}

// Guards against a report that stops at the first problem, and against one that reports an object of the wrong type
// once per field.
func TestLoadReportsAllProblemsAtOnce(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.json")
	text := strings.Replace(valid, `"slots": 9`, `"slots": -1, "size": 1`, 1)
	text = strings.Replace(text, `{"urls": ["http://127.0.0.1:2379"]}`, `3`, 1)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(file)
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got error %v", err)
	}
	var fields []string
	for _, p := range invalid.Problems {
		fields = append(fields, p.Field)
	}
	want := []string{"backend.size", "backend.slots", "platform", "tls.certificate", "tls.key", "tls.authority"}
	if !slices.Equal(fields, want) {
		t.Errorf("got %v, want %v\n%v", fields, want, err)
	}
	if name := filepath.Join(filepath.Dir(file), "ca.pem"); !strings.Contains(err.Error(), name) {
		t.Errorf("%v doesn't name %s", err, name)
	}
}

// Guards against a missing file that is reported as invalid content.
func TestLoadMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.json"))
	var read *ReadError
	if !errors.As(err, &read) || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got error %v", err)
	}
}

// Guards against input that makes the decoder panic, and input without the required values that is accepted.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"backend": [], "peers": [1, "x"], "drain_limit": "1s"}`))
	f.Add([]byte(`[[[[{"a":null}]]]]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if err != nil {
			var invalid *InvalidError
			if !errors.As(err, &invalid) || len(invalid.Problems) == 0 {
				t.Fatalf("error without problems: %v", err)
			}
			return
		}
		if s.Name == "" || s.PeerAddress == "" || s.Backend.Slots < 1 || s.Backend.Connections < s.Backend.Slots ||
			len(s.Platform.URLs) == 0 || s.DrainLimit < MinDrainLimit || s.TLS.Key == "" {
			t.Fatalf("accepted %+v", s)
		}
	})
}
