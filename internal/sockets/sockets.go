// Package sockets holds the keep-alive settings of the project's TCP connections and the check of idle connections
// before they are used again.
package sockets

import (
	"net"
	"syscall"
	"time"
)

// KeepAlive closes a connection within 3 s after its peer has lost power or can't be reached any more. Without it
// nothing is sent on an idle connection, and only the next request would detect that the peer is gone. The times are
// whole seconds because Linux counts them in seconds.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// NoPendingInput reports whether nothing has arrived on an idle connection: the peer has not closed it, and no
// unexpected bytes are there to be read. It doesn't block. A byte that it finds is consumed, so the connection must be
// closed if it returns false. It returns true for connections without a file descriptor.
func NoPendingInput(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr := syscall.Read(int(fd), b[:])
		empty = readErr == syscall.EAGAIN
		return true // don't wait until the socket is readable
	})
	return err == nil && empty
}
