package transport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"guavapoint.example/guavapoint/internal/wire"
)

// conn is a connection that this side opened. The pool's mutex guards the fields up to watch.
type conn struct {
	address string
	quic    *quic.Conn
	socket  *socket // its own socket, nil for the shared one

	outstanding int       // streams in use
	unanswered  bool      // a stream ended without an answer, and no packet has arrived since
	retired     bool      // takes no new streams
	lastUsed    time.Time // end of the last stream
	watch       silence

	silent atomic.Bool
	pings  atomic.Uint64
}

// usable reports whether new streams may be opened.
func (c *conn) usable() bool {
	return !c.retired && !c.silent.Load() && c.quic.Context().Err() == nil
}

// step advances the silence machine. The pool's mutex is held.
func (c *conn) step(now time.Time) action {
	packets := c.quic.ConnectionStats().PacketsReceived
	if packets != c.watch.packets {
		c.unanswered = false
	}
	return c.watch.step(now, c.outstanding > 0 || c.unanswered, packets)
}

// close closes the connection and its own socket.
func (c *conn) close(code quic.ApplicationErrorCode, reason string) {
	_ = c.quic.CloseWithError(code, reason)
	if c.socket != nil {
		_ = c.socket.close()
	}
}

// ping sends a ping and reads its answer. The packets that this causes are what counts, so errors need no handling.
func (c *conn) ping(ctx context.Context, from string, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	stream, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return
	}
	defer resetOnEnd(ctx, stream)()
	m := &wire.Control{From: from, Ping: &wire.Ping{Number: c.pings.Add(1)}}
	_, _ = roundTrip(stream, m)
}

// roundTrip sends a control request and reads its reply.
func roundTrip(stream *quic.Stream, m *wire.Control) (*wire.Control, error) {
	var b bytes.Buffer
	if err := wire.WriteControl(&b, wire.KindRequest, m); err != nil {
		reset(stream, codeBroken)
		return nil, err
	}
	if _, err := stream.Write(b.Bytes()); err == nil {
		_ = stream.Close()
	} else {
		stream.CancelWrite(codeBroken)
	}
	reply, err := wire.ReadReply(stream)
	if err != nil {
		reset(stream, codeBroken)
		return nil, err
	}
	finishRead(stream)
	return reply, nil
}

// resetOnEnd resets both directions of a stream when ctx ends, so that the peer sees the cancellation. The returned
// function stops that.
func resetOnEnd(ctx context.Context, stream *quic.Stream) (stop func() bool) {
	return context.AfterFunc(ctx, func() { reset(stream, codeCanceled) })
}

func reset(stream *quic.Stream, code quic.StreamErrorCode) {
	stream.CancelRead(code)
	stream.CancelWrite(code)
}

// finishRead reads the end of a stream after its last message. quic-go keeps a stream until its end was read.
func finishRead(stream *quic.Stream) {
	var b [1]byte
	if n, err := stream.Read(b[:]); n > 0 || err != io.EOF {
		stream.CancelRead(codeBroken)
	}
}

// dial opens a connection, from a new port where fresh is set.
func (t *Transport) dial(ctx context.Context, address string, fresh bool) (*conn, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	c := &conn{
		address:  address,
		lastUsed: time.Now(),
		watch:    newSilence(t.cfg.PingAfter, t.cfg.SilentAfter),
	}
	from := t.socket
	if fresh {
		if c.socket, err = t.newSocket(); err != nil {
			return nil, fmt.Errorf("open a new port: %w", err)
		}
		from = c.socket
	}
	c.quic, err = from.quic.Dial(ctx, net.UDPAddrFromAddrPort(target), clientTLS(t.cfg.TLS), t.cfg.clientQUIC())
	if err != nil && c.socket != nil {
		_ = c.socket.close()
	}
	if err != nil {
		return nil, err
	}
	return c, nil
}

// newSocket opens a socket on a new port of the address that the transport listens on.
func (t *Transport) newSocket() (*socket, error) {
	local := *t.socket.conn.LocalAddr().(*net.UDPAddr)
	local.Port = 0
	udp, err := net.ListenUDP("udp", &local)
	if err != nil {
		return nil, err
	}
	return &socket{conn: udp, quic: &quic.Transport{Conn: udp}}, nil
}
