package loopback

import (
	"net"
	"syscall"
)

// nothingToRead reports whether a non-blocking read on an idle connection finds nothing. Bytes or an end that it finds
// make the connection unusable, so consuming them does no harm.
func nothingToRead(c net.Conn) bool {
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
