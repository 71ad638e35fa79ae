package transport

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"guavapoint.example/guavapoint/internal/wire"
)

// Handler serves the calls and control messages of peers. Its methods are called concurrently, one goroutine for each
// stream, and must not panic.
type Handler interface {
	// ServeCall serves one call. A call that is neither answered nor aborted when it returns is aborted.
	ServeCall(s *CallStream)
	// ServeControl serves a control message. from is the UDP address that the message came from, which differs from
	// m.From where the peer sends from a new port. The reply of a message that came by Send is ignored. A nil reply
	// or an error to a Request is sent as a Refusal; a *RefusalError chooses its code. Pings are answered by the
	// transport. ctx ends when the peer gives up a Request, and for other messages when the transport stops.
	ServeControl(ctx context.Context, from string, m *wire.Control) (*wire.Control, error)
}

// handshakeKey finds the *handshake in a connection's context.
type handshakeKey struct{}

type handshake struct{ done atomic.Bool }

// watchHandshake reports incoming connections whose handshake fails, such as those of a peer without a valid
// certificate.
func (t *Transport) watchHandshake(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	h := new(handshake)
	ctx = context.WithValue(ctx, handshakeKey{}, h)
	address := info.RemoteAddr.String()
	context.AfterFunc(ctx, func() {
		if !h.done.Load() && t.ctx.Err() == nil {
			t.observe(Event{Kind: EventFailed, Address: address, Incoming: true, Err: context.Cause(ctx)})
		}
	})
	return ctx, nil
}

// accept serves connections until the listener is closed.
func (t *Transport) accept() {
	for {
		c, err := t.listen.Accept(t.ctx)
		if err != nil {
			return
		}
		if h, ok := c.Context().Value(handshakeKey{}).(*handshake); ok {
			h.done.Store(true)
		}
		if !t.track(c) {
			go func() { _ = c.CloseWithError(codeTooMany, "too many connections") }()
			continue
		}
		go t.serveConn(c)
	}
}

// track records an accepted connection. It reports false when there are too many.
func (t *Transport) track(c *quic.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.accepted) >= t.cfg.MaxConnections {
		return false
	}
	t.accepted[c] = struct{}{}
	return true
}

func (t *Transport) serveConn(c *quic.Conn) {
	address := c.RemoteAddr().String()
	t.observe(Event{Kind: EventOpened, Address: address, Incoming: true})
	ended := new(credits)
	for {
		s, err := c.AcceptStream(t.ctx)
		if err != nil {
			break
		}
		go func() {
			defer ended.add(s)
			t.serveStream(c, s)
		}()
	}
	<-c.Context().Done()
	t.mu.Lock()
	delete(t.accepted, c)
	t.mu.Unlock()
	t.observe(Event{Kind: EventClosed, Address: address, Incoming: true, Err: context.Cause(c.Context())})
}

// serveStream reads the first message of a stream and passes it on.
func (t *Transport) serveStream(c *quic.Conn, s *quic.Stream) {
	if !t.beginIncoming() {
		reset(s, codeRefused)
		return
	}
	defer t.endIncoming()
	_ = s.SetReadDeadline(time.Now().Add(t.cfg.MessageTimeout))
	m, err := wire.ReadFirst(s)
	if err != nil {
		reset(s, codeRefused)
		t.reject(c, err)
		return
	}
	if m.Call != nil {
		_ = s.SetReadDeadline(time.Time{})
		t.serveCall(c, s, m.Call)
		return
	}
	finishRead(s)
	t.serveControl(c, s, m)
}

// reject reports a first message that was refused. A sender that canceled, or whose connection ended, did no wrong.
func (t *Transport) reject(c *quic.Conn, err error) {
	var canceled *quic.StreamError
	if errors.As(err, &canceled) || c.Context().Err() != nil {
		return
	}
	t.observe(Event{Kind: EventRejected, Address: c.RemoteAddr().String(), Incoming: true, Err: err})
}

func (t *Transport) serveCall(c *quic.Conn, s *quic.Stream, h *wire.CallHeader) {
	cs := &CallStream{header: h, stream: s, from: c.RemoteAddr().String()}
	cs.body.frames = wire.NewRequestBody(s)
	t.cfg.Handler.ServeCall(cs)
	if !cs.answered.Load() {
		cs.Abort()
		return
	}
	cs.awaitEnd()
}

func (t *Transport) serveControl(c *quic.Conn, s *quic.Stream, m wire.Message) {
	from := c.RemoteAddr().String()
	if m.Kind == wire.KindNotice {
		_ = s.Close() // tells the sender that the message was received
		_, _ = t.cfg.Handler.ServeControl(t.ctx, from, m.Control)
		return
	}
	reply := t.reply(s.Context(), from, m.Control)
	b := newBuffer()
	defer putBuffer(b)
	if err := wire.WriteControl(b, wire.KindReply, reply); err != nil {
		refusal := &wire.Refusal{Code: codeInvalidReply, Message: err.Error()}
		_ = wire.WriteControl(b, wire.KindReply, &wire.Control{From: t.Address(), Refusal: refusal})
	}
	if _, err := s.Write(b.Bytes()); err != nil {
		reset(s, codeAborted)
		return
	}
	_ = s.Close()
}

// Codes of Refusals that the transport itself sends.
const (
	codeFailed       = "failed"        // the handler returned an error
	codeNoReply      = "no-reply"      // the handler returned no reply
	codeInvalidReply = "invalid-reply" // the handler's reply can't be encoded
)

// reply returns the answer to a control request.
func (t *Transport) reply(ctx context.Context, from string, m *wire.Control) *wire.Control {
	if m.Ping != nil {
		return &wire.Control{From: t.Address(), Ping: m.Ping}
	}
	r, err := t.cfg.Handler.ServeControl(ctx, from, m)
	if err == nil && r != nil {
		return r
	}
	refusal := &wire.Refusal{Code: codeNoReply, Message: "the message has no reply"}
	var chosen *RefusalError
	switch {
	case errors.As(err, &chosen):
		refusal = &wire.Refusal{Code: chosen.Code, Message: chosen.Message}
	case err != nil:
		refusal = &wire.Refusal{Code: codeFailed, Message: err.Error()}
	}
	return &wire.Control{From: t.Address(), Refusal: refusal}
}
