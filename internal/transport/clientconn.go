package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"guavapoint.example/guavapoint/internal/sockets"
	"guavapoint.example/guavapoint/internal/wire"
)

// readBuffer is the size in bytes of a connection's buffer, which takes most messages whole.
const readBuffer = 4 << 10

// errIdleTimeout is the reason for the end of a connection that was not used for Config.IdleTimeout.
var errIdleTimeout = errors.New("unused")

// conn is a connection that this side opened. It carries one exchange at a time.
type clientConn struct {
	net.Conn
	address  string
	socket   net.Conn // below TLS
	reader   *bufio.Reader
	lastUsed time.Time // end of the last exchange; guarded by the pool's mutex
}

// sound reports whether nothing has arrived since the last exchange.
func (c *clientConn) reusable() bool {
	return c.reader.Buffered() == 0 && sockets.NoPendingInput(c.socket)
}

// dial opens a connection. With TLS it waits for the peer's sign of life, which proves that the peer has accepted the
// certificate: a TLS 1.3 client completes its handshake before the server has checked that.
func (t *Transport) dial(ctx context.Context, address string) (*clientConn, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, t.cfg.DialTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: sockets.KeepAlive}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: socket, socket: socket, address: address}
	if t.cfg.TLS != nil {
		c.Conn = tls.Client(socket, clientTLS(t.cfg.TLS))
	}
	// No sign of life comes before the peer has accepted the connection, so only the dial's timeout bounds that wait.
	reader := &keepAliveReader{conn: c.Conn, timeout: t.cfg.DialTimeout, now: time.Now}
	c.reader = bufio.NewReaderSize(reader, readBuffer)
	if t.cfg.TLS != nil {
		err = c.handshake(ctx)
	}
	reader.timeout = t.cfg.KeepAliveTimeout
	if err != nil {
		socket.Close()
		return nil, err
	}
	return c, nil
}

// handshake proves both certificates.
func (c *clientConn) handshake(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { c.socket.Close() })
	defer stop()
	if err := c.Conn.(*tls.Conn).HandshakeContext(ctx); err != nil {
		return err
	}
	if err := wire.ReadKeepAlive(c.reader); err != nil {
		return fmt.Errorf("the peer has not accepted the connection: %w", err)
	}
	return nil
}
