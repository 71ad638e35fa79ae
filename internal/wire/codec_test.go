package wire

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"guavapoint.example/guavapoint/internal/core/call"
)

func callHeader() *CallHeader {
	return &CallHeader{
		RootID: "r-1", Rank: 7, Depth: 2, Timeout: 1e9, Retries: 3, Service: "lookup", Incarnation: 9, Token: "t",
		Method: "GET", Path: "/blocks/7?x=1", Header: []Header{{Name: "Accept", Values: []string{"a", "\xe9"}}},
		BodyLength: -1, TraceParent: "00-1", Config: ConfigVersion{Epoch: 1, Revision: 2},
	}
}

func answerHeader() *AnswerHeader {
	return &AnswerHeader{Outcome: call.OutcomeAnswered, Status: 200, BodyLength: 4, Cutoff: 5}
}

func encoded(t testing.TB, k Kind, v validator) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := writeMessage(&b, k, v); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// raw returns a message with an arbitrary payload.
func raw(k Kind, payload string) []byte {
	b := make([]byte, PrefixSize, PrefixSize+len(payload))
	putPrefix(b, k, len(payload))
	return append(b, payload...)
}

// Guards against fields that are lost in encoding, and against a call that fails because a header value is not UTF-8.
func TestRoundTrip(t *testing.T) {
	m, err := ReadFirst(bytes.NewReader(encoded(t, KindCallHeader, callHeader())))
	if err != nil || !reflect.DeepEqual(m.Call, callHeader()) {
		t.Errorf("got %+v, %v", m.Call, err)
	}
	h, err := ReadAnswerHeader(bytes.NewReader(encoded(t, KindAnswerHeader, answerHeader())))
	if err != nil || !reflect.DeepEqual(h, answerHeader()) {
		t.Errorf("got %+v, %v", h, err)
	}
	want := &Control{From: "127.0.0.1:1", ResolveAnswer: &ResolveAnswer{Body: []byte("b"), Header: callHeader().Header}}
	got, err := ReadReply(bytes.NewReader(encoded(t, KindReply, want)))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v", got, err)
	}
}

// Guards against a decoder that accepts messages that no daemon sends, and against errors that don't identify the
// cause.
func TestReadRefuses(t *testing.T) {
	big := make([]byte, PrefixSize)
	putPrefix(big, KindCallHeader, MaxHeaderSize+1)
	valid := encoded(t, KindNotice, &Control{Ping: &Ping{Number: 1}})
	for name, c := range map[string]struct {
		input []byte
		want  any
	}{
		"empty":               {nil, io.EOF},
		"cut prefix":          {valid[:3], io.ErrUnexpectedEOF},
		"cut payload":         {valid[:len(valid)-1], io.ErrUnexpectedEOF},
		"unknown kind":        {raw(99, ""), &KindError{}},
		"kind of a body":      {raw(KindBody, "x"), &KindError{}},
		"oversized":           {big, &SizeError{}},
		"not CBOR":            {raw(KindNotice, "\xff"), &CodecError{}},
		"trailing bytes":      {raw(KindNotice, "\xa1\x03\xa1\x01\x01\x00"), &CodecError{}},
		"duplicate key":       {raw(KindNotice, "\xa2\x03\xa1\x01\x01\x03\xa1\x01\x02"), &CodecError{}},
		"nested too deep":     {raw(KindNotice, "\xa1\x18\x63"+strings.Repeat("\x81", maxNesting)+"\x00"), &CodecError{}},
		"long array":          {raw(KindNotice, "\xa1\x18\x63\x99\x04\x01"+strings.Repeat("\x00", 1025)), &CodecError{}},
		"big map":             {raw(KindNotice, "\xa1\x18\x63\xb8\x41"+strings.Repeat("\x00", 130)), &CodecError{}},
		"indefinite length":   {raw(KindNotice, "\xbf\x03\xa1\x01\x01\xff"), &CodecError{}},
		"tag":                 {raw(KindNotice, "\xc1\xa1\x03\xa1\x01\x01"), &CodecError{}},
		"no message":          {raw(KindNotice, "\xa0"), &FieldError{}},
		"two messages":        {raw(KindNotice, "\xa2\x03\xa1\x01\x01\x09\xa0"), &FieldError{}},
		"empty call":          {raw(KindCallHeader, "\xa0"), &FieldError{}},
		"reply at the begin":  {encoded(t, KindReply, &Control{Ping: &Ping{}}), &KindError{}},
		"answer at the begin": {encoded(t, KindAnswerHeader, answerHeader()), &KindError{}},
	} {
		_, err := ReadFirst(bytes.NewReader(c.input))
		if err == c.want { // io.EOF and io.ErrUnexpectedEOF are not wrapped
			continue
		}
		if reflect.TypeOf(err) != reflect.TypeOf(c.want) {
			t.Errorf("%s: got %T %v, want %T", name, err, err, c.want)
		}
	}
}

// Guards against an answer of a peer that callers could read as another one, or that no backend server gives.
func TestReadAnswerHeaderRefuses(t *testing.T) {
	for name, change := range map[string]func(*AnswerHeader){
		"informational status": func(h *AnswerHeader) { h.Status = 101 },
		"no status":            func(h *AnswerHeader) { h.Status = 0 },
		"high status":          func(h *AnswerHeader) { h.Status = 600 },
		"blank in a name":      func(h *AnswerHeader) { h.Header = []Header{{Name: "X Odd", Values: []string{"1"}}} },
		"control byte":         func(h *AnswerHeader) { h.Header = []Header{{Name: "X\x01", Values: []string{"1"}}} },
	} {
		h := answerHeader()
		change(h)
		payload, err := encMode.Marshal(h)
		if err != nil {
			t.Fatal(err)
		}
		var field *FieldError
		if _, err := ReadAnswerHeader(bytes.NewReader(raw(KindAnswerHeader, string(payload)))); !errors.As(err, &field) {
			t.Errorf("%s: got %v, want a FieldError", name, err)
		}
	}
}

// Guards against a daemon of an older version that refuses a field added later.
func TestUnknownFieldIsSkipped(t *testing.T) {
	m, err := ReadFirst(bytes.NewReader(raw(KindNotice, "\xa2\x03\xa1\x01\x07\x18\x63\x81\x00")))
	if err != nil || m.Control.Ping.Number != 7 {
		t.Fatalf("got %+v, %v", m.Control, err)
	}
}

// Guards against a header that the sender encodes but every receiver refuses, and against a partly written buffer.
func TestWriteRefuses(t *testing.T) {
	for name, change := range map[string]func(*CallHeader){
		"root ID": func(h *CallHeader) { h.RootID = "a b" },
		"depth":   func(h *CallHeader) { h.Depth = -1 },
		"retries": func(h *CallHeader) { h.Retries = -1 },
		"token":   func(h *CallHeader) { h.Token = strings.Repeat("t", call.MaxTokenLength+1) },
		"method":  func(h *CallHeader) { h.Method = "" },
		"path":    func(h *CallHeader) { h.Path = "x" },
		"length":  func(h *CallHeader) { h.BodyLength = -2 },
		"size":    func(h *CallHeader) { h.TraceParent = strings.Repeat("x", MaxHeaderSize) },
	} {
		h := callHeader()
		change(h)
		b := bytes.NewBufferString("kept")
		err := WriteCallHeader(b, h)
		var field *FieldError
		var size *SizeError
		if !errors.As(err, &field) && !errors.As(err, &size) || b.String() != "kept" {
			t.Errorf("%s: got %v and %d bytes", name, err, b.Len())
		}
	}
}

// Guards against a truncated body that looks complete.
func TestBodyEndsOnlyWithItsEndFrame(t *testing.T) {
	request := AppendEnd(raw(KindBody, "abcd"))
	response := append(raw(KindBody, "abcd"), encoded(t, KindTrailer, &Trailer{UnusedRetries: 2, Length: 4})...)
	for name, c := range map[string]struct {
		whole []byte
		open  func(io.Reader) *BodyReader
	}{"request": {request, NewRequestBody}, "response": {response, NewAnswerBody}} {
		for n := range len(c.whole) {
			body := c.open(bytes.NewReader(c.whole[:n]))
			if _, err := io.ReadAll(body); err != io.ErrUnexpectedEOF || body.Done() {
				t.Fatalf("%s of %d bytes: got %v", name, n, err)
			}
		}
		body := c.open(bytes.NewReader(c.whole))
		if got, err := io.ReadAll(body); string(got) != "abcd" || err != nil || !body.Done() {
			t.Fatalf("%s: got %q, %v", name, got, err)
		}
	}
	short := append(raw(KindBody, "abc"), encoded(t, KindTrailer, &Trailer{Length: 4})...)
	if _, err := io.ReadAll(NewAnswerBody(bytes.NewReader(short))); !reflect.DeepEqual(err, &LengthError{3, 4}) {
		t.Errorf("short body: got %v", err)
	}
}
