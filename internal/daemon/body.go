package daemon

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"guavapoint.example/guavapoint/internal/core/quarantine"
	"guavapoint.example/guavapoint/internal/intake"
)

// replayLimit is the size in bytes below which a request body is kept in memory, so that a retry can send it again.
// Other bodies are streamed and their calls aren't retried, so that uploads don't fill the daemon's memory.
const replayLimit = 256 << 10

// requestBody is the body of a request. It can be sent more than once if it is shorter than replayLimit.
type requestBody struct {
	prefix   []byte          // the first bytes, at most replayLimit
	rest     io.Reader       // the bytes after the prefix; nil if the prefix is the whole body
	restUsed bool            // reader has returned rest, which can be read only once
	length   int64           // declared length in bytes, or -1
	holding  *intake.Holding // of the prefix
}

// newRequestBody reads up to replayLimit bytes of a body. length is the declared length in bytes, or -1. It returns the
// reader's error, errShortBody if the body ends before its declared length, or errNoMemory if the holding doesn't allow even
// the part of the body that belongs to its fingerprint. If it doesn't allow more than that, the rest is streamed. The caller
// releases the body; after an error nothing is held.
func newRequestBody(r io.Reader, length int64, h *intake.Holding) (*requestBody, error) {
	prefix, err := readHeld(r, replayLimit, h)
	b := &requestBody{prefix: prefix, length: length, holding: h}
	switch {
	case err == nil, err == errNoMemory && len(prefix) >= quarantine.FingerprintBodySize:
		b.rest = r
		return b, nil
	case err == io.EOF && length > int64(len(prefix)):
		err = errShortBody
	case err == io.EOF:
		b.length = int64(len(prefix))
		return b, nil
	}
	b.release()
	return nil, err
}

// release returns the memory of the prefix. The body isn't sent again. A nil body holds none.
func (b *requestBody) release() {
	if b != nil {
		b.holding.Release()
	}
}

// readBody reads the start of a caller's body. It sets the read deadline of the connection to the deadline of the
// request, so that a caller that sends slowly can't keep the request beyond it. Once the whole body has been read it
// removes the read deadline: net/http keeps reading to detect the end of the connection, and a deadline that passed
// during that read would cancel all later requests on the connection.
func readBody(w http.ResponseWriter, r *http.Request, deadline time.Time, h *intake.Holding) (*requestBody, error) {
	if r.ContentLength == 0 {
		body, _ := newRequestBody(http.NoBody, 0, h) // never fails without bytes
		return passOn(r, body)
	}
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(deadline) // fails only on a closed connection, on which the read fails too
	body, err := newRequestBody(r.Body, r.ContentLength, h)
	if err != nil || body.rest != nil {
		w.Header().Set("Connection", "close") // its read deadline stays set and may pass
	} else {
		_ = connection.SetReadDeadline(time.Time{}) // as above
	}
	switch {
	case err != nil && intake.Interrupted(r.Context()):
		return nil, errNoMemory
	case err != nil:
		return nil, err
	default:
		return passOn(r, body)
	}
}

// passOn returns the body of a request that is passed on from now, or errNoMemory if the request was interrupted for lack of
// room before.
func passOn(r *http.Request, body *requestBody) (*requestBody, error) {
	if err := intake.PassOn(r.Context()); err != nil {
		body.release()
		return nil, errNoMemory
	}
	return body, nil
}

// errShortBody reports a request body that ended before its declared length.
var errShortBody = errors.New("request body ended before its declared length")

// reader returns a reader of the whole body for one attempt. The second result is false if the body can't be sent
// again.
func (b *requestBody) reader() (io.Reader, bool) {
	if b.rest == nil {
		return bytes.NewReader(b.prefix), true
	}
	if b.restUsed {
		return nil, false
	}
	b.restUsed = true
	return io.MultiReader(bytes.NewReader(b.prefix), b.rest), true
}

// replayable reports whether the body can be sent by another attempt.
func (b *requestBody) replayable() bool {
	return b.rest == nil || !b.restUsed
}
