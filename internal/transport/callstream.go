package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/wire"
)

// ErrAnswered reports a second answer to one call.
var ErrAnswered = errors.New("the call was answered already")

// CallStream is the answering side of one call. Answer and Abort may be called while another goroutine reads Body.
type CallStream struct {
	header   *wire.CallHeader
	conn     *serverConn
	ctx      context.Context
	cancel   context.CancelFunc
	body     requestBody
	answered atomic.Bool
}

// Header returns the header of the call. The caller may change it.
func (s *CallStream) Header() *wire.CallHeader { return s.header }

// Body returns the body of the call. It returns io.EOF only after the caller's end frame, and io.ErrUnexpectedEOF when
// the caller sent only a part of it. It must not be read after ServeCall has returned.
func (s *CallStream) Body() io.Reader { return &s.body }

// Context returns a context that ends when the caller cancels the call, when the connection ends, and after Answer or
// Abort. While the body is neither read to its end nor being read, the end of the connection is not detected.
func (s *CallStream) Context() context.Context { return s.ctx }

// Answer sends the answer. Where h.Outcome is call.OutcomeAnswered, it sends body (nil for none), then calls
// unusedRetries (nil for none) for the number of retries to return to the caller. Otherwise body is ignored and the
// retries are sent in the header.
//
// When body or the connection fails, the connection is closed, so that the caller doesn't treat the answer as complete.
// It returns ErrAnswered for a second answer, *wire.FieldError or *wire.SizeError, with nothing sent, for a header that
// can't be encoded, *BodyError for a failure of body, and other errors for a caller that can't be reached.
func (s *CallStream) Answer(h wire.AnswerHeader, body io.Reader, unusedRetries func() int) error {
	if unusedRetries == nil {
		unusedRetries = func() int { return 0 }
	}
	headerOnly := h.Outcome != call.OutcomeAnswered
	if headerOnly {
		h.UnusedRetries = unusedRetries()
	}
	b := newBuffer()
	defer putBuffer(b)
	if err := wire.WriteAnswerHeader(b, &h); err != nil {
		return err
	}
	if !s.answered.CompareAndSwap(false, true) {
		return ErrAnswered
	}
	a := &answerWriter{conn: s.conn, buffer: b, unusedRetries: unusedRetries}
	var err error
	if headerOnly {
		err = s.conn.writeLast(b.Bytes())
	} else {
		err = a.writeBody(body, h.BodyLength)
	}
	if err != nil {
		s.conn.Close()
	}
	s.cancel()
	return err
}

// Abort closes the connection. The caller sees a call without an answer, or a truncated answer.
func (s *CallStream) Abort() {
	s.conn.Close()
	s.cancel()
}

// end ends the call after its handler has returned.
func (s *CallStream) end() {
	if !s.answered.Load() {
		s.Abort()
	}
	if isClosed(s.body.complete) {
		return
	}
	_ = s.conn.SetReadDeadline(time.Now()) // interrupts a goroutine of the handler that still reads the body
	if s.body.close() {
		return
	}
	// The caller still sends its body. It closes the connection once it has the answer.
	_ = s.conn.SetReadDeadline(time.Now().Add(transferAllowance))
	s.conn.closeWriteAndDrain()
}

// requestBody reads the body of a call until ServeCall has returned.
type requestBody struct {
	mu       sync.Mutex
	closed   bool
	frames   *wire.BodyReader
	complete chan struct{} // closed when the body was read to its end
	onError  func()        // called when the body ends early or can't be read
}

// consumeEmptyBody reads the end frame of an empty body if it has arrived with the header.
func (b *requestBody) consumeEmptyBody(r *bufio.Reader) {
	if r.Buffered() < wire.PrefixSize {
		return
	}
	if next, err := r.Peek(wire.PrefixSize); err == nil && wire.IsEnd(next) {
		_, _ = b.Read(make([]byte, 1)) // returns io.EOF
	}
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if isClosed(b.complete) {
		return 0, io.EOF
	}
	if b.closed {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := b.frames.Read(p)
	switch err {
	case nil:
	case io.EOF:
		close(b.complete)
	default:
		err = io.ErrUnexpectedEOF
		b.onError()
	}
	return n, err
}

// close ends the reading and reports whether the body was read to its end.
func (b *requestBody) close() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return isClosed(b.complete)
}
