// Package sockets holds what the project's TCP connections have in common.
package sockets

import (
	"net"
	"syscall"
	"time"
)

// KeepAlive ends a connection whose peer has lost its power or is cut off, within 3 s. Nothing is sent on an idle
// connection otherwise, so that its end would show with the next request only. Linux counts these times in seconds.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// NoPendingInput reports whether nothing has arrived on an idle connection: neither its end nor bytes that belong to no request.
// Bytes that it finds are consumed; the connection is unusable then.
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
		return true
	})
	return err == nil && empty
}
