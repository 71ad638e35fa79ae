package wire

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

// checkError fails the test for an error that has none of the documented types or values.
func checkError(t *testing.T, err error) {
	t.Helper()
	var (
		kind   *KindError
		size   *SizeError
		codec  *CodecError
		field  *FieldError
		length *LengthError
	)
	switch {
	case err == io.EOF, err == io.ErrUnexpectedEOF:
	case errors.As(err, &kind), errors.As(err, &size), errors.As(err, &codec), errors.As(err, &field):
	case errors.As(err, &length):
	default:
		t.Fatalf("untyped error %T: %v", err, err)
	}
}

// checkStable fails the test for a message whose encoding changes when it is decoded and encoded again. read decodes
// it.
func checkStable(t *testing.T, k Kind, v validator, read func(io.Reader) (validator, error)) {
	t.Helper()
	var first, second bytes.Buffer
	err := writeMessage(&first, k, v)
	var size *SizeError
	if errors.As(err, &size) {
		return // the encoder writes fields that the input left out, which can exceed the limit
	}
	if err != nil {
		t.Fatalf("decoded, but can't be encoded: %v", err)
	}
	again, err := read(bytes.NewReader(first.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	if err := writeMessage(&second, k, again); err != nil || !bytes.Equal(first.Bytes(), second.Bytes()) {
		t.Fatalf("%x became %x, %v", first.Bytes(), second.Bytes(), err)
	}
}

func (m Message) message() validator {
	if m.Call != nil {
		return m.Call
	}
	return m.Control
}

// Guards against input that crashes the decoder of a stream's first message.
func FuzzReadFirst(f *testing.F) {
	f.Add(encoded(f, KindCallHeader, callHeader()))
	f.Add(encoded(f, KindRequest, &Control{From: "a", TokenRequest: &TokenRequest{Service: "s"}}))
	f.Add(encoded(f, KindNotice, &Control{Quarantine: &Quarantine{Payload: []byte("p")}}))
	f.Add(raw(KindNotice, "\xa2\x03\xa1\x01\x01\x03\xa1\x01\x02"))
	f.Fuzz(func(t *testing.T, input []byte) {
		m, err := ReadFirst(bytes.NewReader(input))
		if err != nil {
			checkError(t, err)
			return
		}
		checkStable(t, m.Kind, m.message(), func(r io.Reader) (validator, error) {
			again, err := ReadFirst(r)
			return again.message(), err
		})
	})
}

// Guards against input that crashes the decoder of an answer's header.
func FuzzReadAnswerHeader(f *testing.F) {
	f.Add(encoded(f, KindAnswerHeader, answerHeader()))
	f.Add(raw(KindAnswerHeader, "\xa1\x05\x20"))
	f.Fuzz(func(t *testing.T, input []byte) {
		h, err := ReadAnswerHeader(bytes.NewReader(input))
		if err != nil {
			checkError(t, err)
			return
		}
		checkStable(t, KindAnswerHeader, h, func(r io.Reader) (validator, error) { return ReadAnswerHeader(r) })
	})
}

// Guards against input that crashes the decoder of control replies.
func FuzzReadReply(f *testing.F) {
	f.Add(encoded(f, KindReply, &Control{Ping: &Ping{Number: 3}}))
	f.Add(encoded(f, KindReply, &Control{Refusal: &Refusal{Code: "c", Message: "m"}}))
	f.Fuzz(func(t *testing.T, input []byte) {
		m, err := ReadReply(bytes.NewReader(input))
		if err != nil {
			checkError(t, err)
			return
		}
		checkStable(t, KindReply, m, func(r io.Reader) (validator, error) { return ReadReply(r) })
	})
}

// Guards against bodies that crash their readers, that are longer than the input, or that end without their end frame.
func FuzzBody(f *testing.F) {
	f.Add(AppendEnd(raw(KindBody, "abcd")))
	f.Add(append(raw(KindBody, "abcd"), encoded(f, KindTrailer, &Trailer{UnusedRetries: 1, Length: 4})...))
	f.Add(raw(KindTrailer, "\xa1\x02\x20"))
	f.Fuzz(func(t *testing.T, input []byte) {
		for _, body := range []*BodyReader{NewRequestBody(bytes.NewReader(input)), NewAnswerBody(bytes.NewReader(input))} {
			got, err := io.ReadAll(body)
			if len(got) > len(input) || body.Done() != (err == nil) {
				t.Fatalf("%d bytes became %d, done %v, %v", len(input), len(got), body.Done(), err)
			}
			if err != nil {
				checkError(t, err)
			}
		}
	})
}
