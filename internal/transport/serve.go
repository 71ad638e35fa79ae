package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"guavapoint.example/guavapoint/internal/wire"
)

// Handler serves the calls and control messages of peers. Its methods are called concurrently, one goroutine for each
// exchange, and must not panic.
type Handler interface {
	// ServeCall serves one call. A call that is neither answered nor aborted when it returns is aborted.
	ServeCall(s *CallStream)
	// ServeControl serves a control message. from is the address that the message came from, whose port differs from
	// that of m.From. The reply of a message that came by Send is ignored. A nil reply or an error to a Request is sent
	// as a Refusal; a *RefusalError chooses its code. Pings are answered by the transport. ctx ends when the peer
	// cancels a Request, and for other messages when the transport stops.
	ServeControl(ctx context.Context, from string, m *wire.Control) (*wire.Control, error)
}

// accept serves connections until the listener is closed.
func (t *Transport) accept() {
	for {
		raw, err := t.listener.Accept()
		switch {
		case t.ctx.Err() != nil:
			return
		case err != nil:
			t.observe(Event{Kind: EventFailed, Address: t.Address(), Incoming: true, Err: err})
			time.Sleep(acceptRetryDelay)
		default:
			t.tasks.Go(func() { t.serveConn(raw) })
		}
	}
}

// acceptRetryDelay is the wait after a failure to accept, such as a lack of file descriptors, which closing connections
// may free.
const acceptRetryDelay = 20 * time.Millisecond

// serveConn serves the messages of one connection until it ends.
func (t *Transport) serveConn(raw net.Conn) {
	defer raw.Close()
	secured, err := t.serverHandshake(raw)
	if err != nil {
		t.observe(Event{Kind: EventFailed, Address: raw.RemoteAddr().String(), Incoming: true, Err: err})
		return
	}
	c := newServerConn(t, secured)
	if !t.addServerConn(c) {
		c.sendConnectionClose()
		return
	}
	defer t.removeServerConn(c)
	address := raw.RemoteAddr().String()
	t.observe(Event{Kind: EventOpened, Address: address, Incoming: true})
	for c.awaitMessage() && t.serveExchange(c) {
	}
	if c.announceClose || t.isClosing() {
		c.sendConnectionClose()
	}
	t.observe(Event{Kind: EventClosed, Address: address, Incoming: true})
}

// serverHandshake performs the TLS handshake, if there are certificates, and sends a keep-alive message, which shows
// the peer that its certificate was accepted.
func (t *Transport) serverHandshake(raw net.Conn) (net.Conn, error) {
	if t.cfg.TLS == nil {
		return raw, nil
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.cfg.DialTimeout)
	defer cancel()
	secured := tls.Server(raw, serverTLS(t.cfg.TLS))
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("TLS handshake with %s: %w", raw.RemoteAddr(), err)
	}
	_, err := secured.Write(wire.AppendEmptyMessage(nil, wire.KindKeepAlive))
	return secured, err
}

// addServerConn records an accepted connection. It reports false when there are too many, or the transport is closing.
func (t *Transport) addServerConn(c *serverConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing || len(t.serverConns) >= t.cfg.MaxConnections {
		return false
	}
	t.serverConns[c] = struct{}{}
	return true
}

func (t *Transport) removeServerConn(c *serverConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.serverConns, c)
}

func (t *Transport) isClosing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closing
}

// serveExchange reads a first message and serves the exchange. It reports whether another one may follow.
func (t *Transport) serveExchange(c *serverConn) bool {
	if !t.beginIncoming() {
		return false
	}
	c.beginExchange(t.cfg.MessageTimeout)
	m, err := wire.ReadFirst(c.reader)
	if err != nil {
		t.endIncoming()
		c.announceClose = true
		t.observe(Event{Kind: EventRejected, Address: c.RemoteAddr().String(), Incoming: true, Err: err})
		return false
	}
	if m.Call != nil {
		return t.serveCall(c, m.Call)
	}
	return t.serveControl(c, m)
}

// Times that bound how long a peer can hold an exchange open.
const (
	// transferAllowance is added to the time that the caller waits (CallHeader.Timeout), to cover the transfer
	// between the two daemons.
	transferAllowance = 5 * time.Second
	// maxCallTimeout is the longest time that a caller may wait, section 2.1 of the design.
	maxCallTimeout = 10 * time.Minute
)

func (t *Transport) serveCall(c *serverConn, h *wire.CallHeader) bool {
	end := time.Now().Add(transferAllowance + min(max(0, h.Timeout), maxCallTimeout))
	_ = c.SetDeadline(end) // fails for a closed connection, which the next read shows
	s := &CallStream{header: h, conn: c}
	s.body.frames = wire.NewRequestBody(c.reader)
	s.body.complete = make(chan struct{})
	s.body.consumeEmptyBody(c.reader)
	return c.runHandler(s.body.complete, func(ctx context.Context) {
		s.ctx, s.cancel = context.WithCancel(ctx)
		defer s.cancel()
		s.body.onError = s.cancel
		t.cfg.Handler.ServeCall(s)
		s.end()
	})
}

// alwaysClosed is the requestRead channel of a request that has been read to its end.
var alwaysClosed = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func (t *Transport) serveControl(c *serverConn, m wire.Message) bool {
	from := c.RemoteAddr().String()
	_ = c.SetDeadline(time.Now().Add(t.cfg.MessageTimeout)) // as above
	if m.Kind == wire.KindNotice {
		_, err := c.write(wire.AppendEmptyMessage(nil, wire.KindAck))
		_, _ = t.cfg.Handler.ServeControl(t.ctx, from, m.Control)
		c.endExchange()
		return err == nil
	}
	return c.runHandler(alwaysClosed, func(ctx context.Context) {
		b := newBuffer()
		defer putBuffer(b)
		if err := wire.WriteControl(b, wire.KindReply, t.controlReply(ctx, from, m.Control)); err != nil {
			refusal := &wire.Refusal{Code: codeInvalidReply, Message: err.Error()}
			_ = wire.WriteControl(b, wire.KindReply, &wire.Control{From: t.Address(), Refusal: refusal})
		}
		if err := c.writeLast(b.Bytes()); err != nil {
			c.Close()
		}
	})
}

// Codes of Refusals that the transport itself sends.
const (
	codeFailed       = "failed"        // the handler returned an error
	codeNoReply      = "no-reply"      // the handler returned no reply
	codeInvalidReply = "invalid-reply" // the handler's reply can't be encoded
)

// controlReply returns the reply to a control request: a Refusal if the handler returned an error or no reply.
func (t *Transport) controlReply(ctx context.Context, from string, m *wire.Control) *wire.Control {
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
