package transport

import (
	"context"
	"errors"

	"guavapoint.example/guavapoint/internal/wire"
)

// Send delivers a control message that has no reply. It returns nil as soon as the peer's transport has acknowledged
// the whole message, before the peer's handler has run, and otherwise a *NotSentError or a *LostError.
func (t *Transport) Send(ctx context.Context, address string, m *wire.Control) error {
	x, err := t.sendControl(ctx, address, wire.KindNotice, m)
	if err != nil {
		return err
	}
	if err := wire.ReadAck(x.conn.reader); err != nil {
		return x.fail(err)
	}
	x.finish()
	return nil
}

// Request sends a control message and returns the peer's reply. The error is a *NotSentError, a *LostError, or a
// *RefusalError where the peer's handler returned an error.
func (t *Transport) Request(ctx context.Context, address string, m *wire.Control) (*wire.Control, error) {
	x, err := t.sendControl(ctx, address, wire.KindRequest, m)
	if err != nil {
		return nil, err
	}
	reply, err := wire.ReadReply(x.conn.reader)
	if err != nil {
		return nil, x.fail(err)
	}
	x.finish()
	if r := reply.Refusal; r != nil {
		return nil, &RefusalError{Code: r.Code, Message: r.Message}
	}
	return reply, nil
}

// sendControl starts an exchange with a control message.
func (t *Transport) sendControl(ctx context.Context, address string, k wire.Kind, m *wire.Control) (*exchange, error) {
	b := newBuffer()
	defer putBuffer(b)
	if err := wire.WriteControl(b, k, m); err != nil {
		return nil, &NotSentError{Address: address, Err: err}
	}
	x, err := t.startExchange(ctx, address)
	if err != nil {
		return nil, err
	}
	if _, err := x.conn.Write(b.Bytes()); err != nil {
		return nil, x.fail(err)
	}
	x.requestSent.Store(true)
	return x, nil
}

// exchangeError converts an error of an exchange with a peer to a *NotSentError or a *LostError.
func exchangeError(ctx context.Context, address string, err error) error {
	switch {
	case ctx.Err() != nil:
		return &LostError{Address: address, Err: ctx.Err()}
	case errors.Is(err, wire.ErrConnectionClose):
		return &NotSentError{Address: address, Err: ErrRefused}
	default:
		return &LostError{Address: address, Silent: errors.Is(err, errSilent), Err: err}
	}
}
