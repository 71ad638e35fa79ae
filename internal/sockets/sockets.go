// Package sockets holds the settings of the project's TCP connections, and the check of idle connections before they are
// used again.
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

// ReceiveBuffer is the size of the kernel's buffer for what arrives on a connection to a daemon or a backend server, in
// bytes. What waits in it counts as memory of the process, so it is not left to the kernel, which may use several MB. It
// covers what a fast link between regions carries in a round trip.
const ReceiveBuffer = 128 << 10

// WithReceiveBuffer returns a Control function of a net.ListenConfig or net.Dialer that sets the receive buffer of a socket,
// in bytes. A connection takes it over from its listener.
func WithReceiveBuffer(size int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// If this failed, the kernel's own size would apply.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
		})
	}
}
