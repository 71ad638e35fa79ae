package transport

import (
	"bytes"
	"context"
	"errors"
	"io"

	"guavapoint.example/guavapoint/internal/wire"
)

// Send delivers a control message that has no answer. It returns nil when the peer's transport has received the whole
// message and before its handler has run, else a *NotSentError or a *LostError.
func (t *Transport) Send(ctx context.Context, address string, m *wire.Control) error {
	var b bytes.Buffer
	if err := wire.WriteControl(&b, wire.KindNotice, m); err != nil {
		return &NotSentError{Address: address, Err: err}
	}
	x, err := t.startExchange(ctx, address)
	if err != nil {
		return err
	}
	_, writeErr := x.stream.Write(b.Bytes())
	_ = x.stream.Close()
	var end [1]byte
	if n, err := x.stream.Read(end[:]); n > 0 || err != io.EOF || writeErr != nil {
		return x.fail(errors.Join(err, writeErr, errUnexpectedReply(n)))
	}
	x.end(true)
	return nil
}

func errUnexpectedReply(n int) error {
	if n == 0 {
		return nil
	}
	return errors.New("peer answered a message that has no answer")
}

// Request sends a control message and returns the peer's reply. The error is a *NotSentError, a *LostError, or a
// *RefusalError where the peer's handler returned an error.
func (t *Transport) Request(ctx context.Context, address string, m *wire.Control) (*wire.Control, error) {
	x, err := t.startExchange(ctx, address)
	if err != nil {
		return nil, err
	}
	reply, err := roundTrip(x.stream, m)
	var field *wire.FieldError
	var size *wire.SizeError
	if errors.As(err, &field) || errors.As(err, &size) {
		x.end(true)
		return nil, &NotSentError{Address: address, Err: err}
	}
	if err != nil {
		return nil, x.fail(err)
	}
	x.end(true)
	if r := reply.Refusal; r != nil {
		return nil, &RefusalError{Code: r.Code, Message: r.Message}
	}
	return reply, nil
}
