package backend

import (
	"net"
	"sync"
	"sync/atomic"
)

// LimitConnections returns a listener that accepts up to n connections at once and closes those beyond it, as a server
// does that has run out of file descriptors. With n = 0 it returns l.
func LimitConnections(l net.Listener, n int) net.Listener {
	if n == 0 {
		return l
	}
	return &limitedListener{Listener: l, max: int64(n)}
}

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
		_ = c.Close() // the peer sees the connection end
	}
}

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
