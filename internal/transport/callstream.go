package transport

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/wire"
)

// ErrAnswered reports a second answer to one call.
var ErrAnswered = errors.New("the call was answered already")

// CallStream is the answering side of one call. Answer and Abort may be called while another goroutine reads Body.
type CallStream struct {
	header   *wire.CallHeader
	stream   *quic.Stream
	from     string
	body     requestBody
	answered atomic.Bool
}

// Header returns the header of the call. The caller may change it.
func (s *CallStream) Header() *wire.CallHeader { return s.header }

// From returns the UDP address that the call came from.
func (s *CallStream) From() string { return s.from }

// Body returns the body of the call. It returns io.EOF only after the caller's end mark, and io.ErrUnexpectedEOF when
// the caller broke off. It must not be read after ServeCall has returned.
func (s *CallStream) Body() io.Reader { return &s.body }

// Context returns a context that ends when the caller cancels the call, when the connection ends, and after Answer or
// Abort.
func (s *CallStream) Context() context.Context { return s.stream.Context() }

// Answer sends the answer. Where h.Outcome is call.OutcomeAnswered, it sends body (nil for none), then calls unspent
// (nil for none) for the retries to give back. Otherwise body is ignored and the retries are sent in the header.
//
// When body or the connection fails, the stream is reset, so that the caller doesn't take the answer for complete. It
// returns ErrAnswered for a second answer, *wire.FieldError or *wire.SizeError, with nothing sent, for a header that
// can't be encoded, *BodyError for a failure of body, and other errors for a caller that can't be reached.
func (s *CallStream) Answer(h wire.AnswerHeader, body io.Reader, unspent func() int) error {
	if unspent == nil {
		unspent = func() int { return 0 }
	}
	whole := h.Outcome != call.OutcomeAnswered
	if whole {
		h.Unspent = unspent()
	}
	b := newBuffer()
	defer putBuffer(b)
	if err := wire.WriteAnswerHeader(b, &h); err != nil {
		return err
	}
	if !s.answered.CompareAndSwap(false, true) {
		return ErrAnswered
	}
	a := &answerWriter{stream: s.stream, buffer: b, unspent: unspent}
	var err error
	if whole {
		err = a.flush()
	} else {
		err = a.writeBody(body, h.BodyLength)
	}
	if err != nil {
		reset(s.stream, codeAborted)
		return err
	}
	return s.stream.Close()
}

// Abort resets the stream. The caller sees a call without an answer, or a truncated answer.
func (s *CallStream) Abort() {
	reset(s.stream, codeAborted)
}

// endTimeout is added to the time that the caller waits (CallHeader.Timeout), to bound the wait for the caller's end of
// the stream after the answer was written.
const endTimeout = 5 * time.Second

// maxTimeout is the longest time that a caller may wait, section 2.1 of the design.
const maxTimeout = 10 * time.Minute

// awaitEnd waits until the caller has received the answer, which it shows by ending its direction of the stream. What
// it still sends of its body is discarded.
func (s *CallStream) awaitEnd() {
	_ = s.stream.SetReadDeadline(time.Now()) // interrupts a handler's goroutine that still reads the body
	s.body.end()
	wait := endTimeout + min(max(0, s.header.Timeout), maxTimeout)
	_ = s.stream.SetReadDeadline(time.Now().Add(wait))
	if _, err := io.Copy(io.Discard, s.stream); err != nil {
		s.stream.CancelRead(codeAborted)
	}
}

// requestBody reads the body of a call until ServeCall has returned.
type requestBody struct {
	mu     sync.Mutex
	ended  bool
	frames *wire.BodyReader
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := b.frames.Read(p)
	if err != nil && err != io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *requestBody) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
}
