package backend

import (
	"net"
	"sync"
	"sync/atomic"
)

// LimitConnections returns a listener that keeps at most n connections open at once. It closes further connections
// immediately, like a server that has run out of file descriptors. With n = 0 it returns l itself.
func LimitConnections(l net.Listener, n int) net.Listener {
	if n == 0 {
		return l
	}
	return &limitedListener{Listener: l, max: int64(n)}
}

// limitedListener closes accepted connections while max connections are open.
type limitedListener struct {
	net.Listener
	max  int64
	open atomic.Int64
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &limitedConn{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		_ = c.Close() // the client sees the connection close without a response
	}
}

// limitedConn decrements the listener's count of open connections once, however often it is closed.
type limitedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
