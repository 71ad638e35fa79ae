package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/wire"
)

// Answer is a peer's answer to a call. The caller must read Body to its end or close it.
type Answer struct {
	Header wire.AnswerHeader
	// Body returns io.EOF only after the peer's Trailer, and io.ErrUnexpectedEOF for a truncated answer. It returns the
	// context's error when the context of the call ended. Close discards what was not read.
	Body io.ReadCloser

	body *answerBody // nil where the header is the whole answer
}

// UnusedRetries returns the number of granted retries that the call didn't use. It is 0 until the body has been read to
// its end.
func (a *Answer) UnusedRetries() int {
	if a.body == nil {
		return a.Header.UnusedRetries
	}
	return a.body.frames.Trailer().UnusedRetries
}

// Call sends a call and returns its answer as soon as the header of the answer has arrived. body may be nil. It is
// read by another goroutine, possibly until the answer's body has ended, and is not closed.
//
// ctx also covers the reading of the answer's body: when it ends, the connection is closed and the peer sees the
// cancellation. The error is a *NotSentError or a *LostError.
func (t *Transport) Call(ctx context.Context, address string, h *wire.CallHeader, body io.Reader) (*Answer, error) {
	b := newBuffer()
	defer putBuffer(b)
	if err := wire.WriteCallHeader(b, h); err != nil {
		return nil, &NotSentError{Address: address, Err: err}
	}
	x, err := t.startExchange(ctx, address)
	if err != nil {
		return nil, err
	}
	x.send(b, body)
	header, err := wire.ReadAnswerHeader(x.conn.reader)
	if err != nil {
		return nil, x.fail(err)
	}
	a := &Answer{Header: *header, Body: noBody{}}
	if header.Outcome != call.OutcomeAnswered {
		x.finish()
		return a, nil
	}
	a.body = &answerBody{x: x, frames: wire.NewAnswerBody(x.conn.reader)}
	a.Body = a.body
	return a, nil
}

// noBody is the body of an answer that consists of its header.
type noBody struct{}

func (noBody) Read([]byte) (int, error) { return 0, io.EOF }
func (noBody) Close() error             { return nil }

// exchange is the calling side of one call or control message.
type exchange struct {
	t                *Transport
	ctx              context.Context
	conn             *clientConn
	stopContextWatch func() bool // stops the context.AfterFunc that closes conn when ctx ends
	endOnce          sync.Once   // guards end

	requestSent atomic.Bool // the request was written completely
	bodyErr     atomic.Pointer[BodyError]
}

// startExchange acquires a connection. Its errors are *NotSentError.
func (t *Transport) startExchange(ctx context.Context, address string) (*exchange, error) {
	if !t.beginOutgoing() {
		return nil, &NotSentError{Address: address, Err: ErrClosed}
	}
	c, err := t.pool.acquire(ctx, address)
	if err != nil {
		t.endOutgoing()
		return nil, &NotSentError{Address: address, Err: err}
	}
	x := &exchange{t: t, ctx: ctx, conn: c}
	x.stopContextWatch = context.AfterFunc(ctx, func() { c.Close() })
	return x, nil
}

// end ends the exchange. With reuse set, the connection goes back to the pool, unless ctx has ended or unread
// input is left; otherwise it is closed, with err as the reason. Later calls do nothing.
func (x *exchange) end(reuse bool, err error) {
	x.endOnce.Do(func() {
		if x.stopContextWatch() && reuse && x.conn.reader.Buffered() == 0 {
			x.t.pool.put(x.conn)
		} else {
			x.t.pool.discard(x.conn, err)
		}
		x.t.endOutgoing()
	})
}

// fail closes the connection of the exchange and converts the error for the caller.
func (x *exchange) fail(err error) error {
	silent := errors.Is(err, errSilent) && x.ctx.Err() == nil
	x.end(false, err)
	if silent {
		x.t.pool.closeIdle(x.conn.address)
		x.t.observe(Event{Kind: EventSilent, Address: x.conn.address, Err: errSilent})
	}
	if e := x.bodyErr.Load(); e != nil && x.ctx.Err() == nil {
		return &LostError{Address: x.conn.address, Err: e}
	}
	return exchangeError(x.ctx, x.conn.address, err)
}

// finish ends the exchange after the complete answer. A connection on which a part of the request is still to be sent
// can't be kept.
func (x *exchange) finish() {
	x.end(x.requestSent.Load(), nil)
}

// abandon cancels an exchange that has not ended.
func (x *exchange) abandon() {
	x.end(false, context.Canceled)
}

// send writes the header in b and the body. Bodies that are not in memory are sent by another goroutine. Errors of
// the connection are not returned: they occur again, with their reason, when the answer is read.
func (x *exchange) send(b *bytes.Buffer, body io.Reader) {
	if !x.appendSmallBody(b, body) {
		if _, err := x.conn.Write(b.Bytes()); err == nil {
			go x.sendBody(body)
		}
		return
	}
	if _, err := x.conn.Write(b.Bytes()); err == nil {
		x.requestSent.Store(true)
	}
}

// maxSmallBody is the size in bytes up to which a body is sent in one write with its header.
const maxSmallBody = 16 << 10

// appendSmallBody appends a small body that is in memory, and the end frame, to the header in b. It reports false if
// the body has to be sent separately.
func (x *exchange) appendSmallBody(b *bytes.Buffer, body io.Reader) bool {
	if body == nil {
		b.Write(wire.AppendEnd(b.AvailableBuffer()))
		return true
	}
	sized, ok := body.(interface{ Len() int })
	if !ok || sized.Len() > maxSmallBody {
		return false
	}
	f := framePool.Get().(*wire.FrameBuffer)
	defer framePool.Put(f)
	n, err := io.ReadFull(body, f.Payload()[:sized.Len()])
	if err != nil {
		return false // the reader returns the same error again
	}
	if n > 0 {
		b.Write(f.Frame(n))
	}
	b.Write(wire.AppendEnd(b.AvailableBuffer()))
	return true
}

func (x *exchange) sendBody(body io.Reader) {
	_, err := writeBodyFrames(x.conn, body)
	var readErr *BodyError
	if errors.As(err, &readErr) {
		x.bodyErr.Store(readErr)
		x.conn.Close() // the peer must not treat the body as complete
		return
	}
	if err != nil {
		return
	}
	if _, err := x.conn.Write(wire.AppendEnd(nil)); err == nil {
		x.requestSent.Store(true)
	}
}

// answerBody reads the body of an answer.
type answerBody struct {
	x      *exchange
	frames *wire.BodyReader
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.frames.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		b.x.finish()
		return n, io.EOF
	}
	_ = b.x.fail(err) // the reader gets io.ErrUnexpectedEOF or the error of the context instead
	if b.x.ctx.Err() != nil {
		return n, b.x.ctx.Err()
	}
	return n, io.ErrUnexpectedEOF
}

// Close implements io.Closer. It closes the connection unless the body was read to its end.
func (b *answerBody) Close() error {
	b.x.abandon()
	return nil
}
