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

// readBuffer is the size of a connection's read buffer in bytes. Most messages fit into it.
const readBuffer = 4 << 10

// errIdleTimeout is the reason for the end of a connection that was not used for Config.IdleTimeout.
var errIdleTimeout = errors.New("unused")

// clientConn is a connection that this side opened. It carries one exchange at a time.
type clientConn struct {
	net.Conn
	address  string
	socket   net.Conn // the TCP connection below TLS
	reader   *bufio.Reader
	lastUsed time.Time // end of the last exchange; guarded by the pool's mutex
}

// reusable reports whether the connection can carry another exchange. It can't if input or the end of the connection
// has arrived since the last one.
func (c *clientConn) reusable() bool {
	return c.reader.Buffered() == 0 && sockets.NoPendingInput(c.socket)
}

// dial opens a connection. With TLS it waits for the peer's keep-alive message, which shows that the peer has accepted
// the certificate: a TLS 1.3 client completes its handshake before the server has verified the client's certificate.
func (t *Transport) dial(ctx context.Context, address string) (*clientConn, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fmt.Errorf("invalid peer address %q: %w", address, err)
	}
	ctx, cancel := context.WithTimeout(ctx, t.cfg.DialTimeout)
	defer cancel()
	socket, err := t.dialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: socket, socket: socket, address: address}
	if t.cfg.TLS != nil {
		c.Conn = tls.Client(socket, clientTLS(t.cfg.TLS))
	}
	// The peer sends no keep-alive message before it has accepted the connection, so only DialTimeout bounds that wait.
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

// handshake performs the TLS handshake, in which both sides verify certificates, and waits until the peer has accepted
// the connection. The end of ctx closes the connection.
func (c *clientConn) handshake(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { c.socket.Close() })
	defer stop()
	if err := c.Conn.(*tls.Conn).HandshakeContext(ctx); err != nil {
		return fmt.Errorf("TLS handshake with %s: %w", c.address, err)
	}
	if err := wire.ReadKeepAlive(c.reader); err != nil {
		return fmt.Errorf("wait for %s to accept the connection: %w", c.address, err)
	}
	return nil
}
