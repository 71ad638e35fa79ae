package daemon

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

// replayLimit is the largest request body that is kept in memory to be sent again by a retry, in bytes. Larger bodies
// are streamed and their calls aren't repeated, so that uploads don't occupy the daemon's memory.
const replayLimit = 256 << 10

// requestBody is a request body that can be sent again while it is small.
type requestBody struct {
	prefix   []byte    // the first bytes, at most replayLimit
	rest     io.Reader // what follows the prefix, nil when the prefix is the whole body
	restUsed bool      // rest has been handed out
	length   int64     // declared length in bytes, or -1
}

// newRequestBody reads the start of a body. It returns the reader's error, or errShortBody when the body ends before its declared
// length.
func newRequestBody(r io.Reader, length int64) (*requestBody, error) {
	prefix, err := io.ReadAll(io.LimitReader(r, replayLimit))
	if err != nil {
		return nil, err
	}
	b := &requestBody{prefix: prefix, length: length}
	if length >= 0 && length <= replayLimit && int64(len(prefix)) < length {
		return nil, errShortBody
	}
	if len(prefix) == replayLimit {
		b.rest = r
		return b, nil
	}
	b.length = int64(len(prefix))
	return b, nil
}

// readBody reads the start of a caller's body. A caller that sends it too slowly must not hold the request past its
// deadline. The deadline is taken off again as soon as the body has been read: net/http goes on reading to notice the end of
// the connection, and a deadline that passes then would cancel all later requests of the connection.
func readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) (*requestBody, error) {
	if r.ContentLength == 0 {
		return newRequestBody(http.NoBody, 0)
	}
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(deadline) // fails for a connection that has ended, which the read shows
	body, err := newRequestBody(r.Body, r.ContentLength)
	if err != nil || body.rest != nil {
		w.Header().Set("Connection", "close") // its deadline may pass
		return body, err
	}
	_ = connection.SetReadDeadline(time.Time{}) // as above
	return body, nil
}

var errShortBody = errors.New("body ended before its declared length")

// reader returns the whole body for one attempt. The second result is false when the body can't be sent again.
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

// replayable reports whether another attempt can send the body.
func (b *requestBody) replayable() bool {
	return b.rest == nil || !b.restUsed
}
