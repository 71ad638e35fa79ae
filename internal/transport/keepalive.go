package transport

import (
	"errors"
	"net"
	"os"
	"time"
)

// errSilent reports that nothing arrived, although the peer sends keep-alive messages while an answer is to come.
var errSilent = errors.New("nothing was received within the keep-alive timeout")

// keepAliveReader reads from a connection on which an answer is awaited, and fails with errSilent when nothing
// arrives within the timeout.
type keepAliveReader struct {
	conn    net.Conn
	timeout time.Duration
	now     func() time.Time
}

// Read implements io.Reader.
func (r *keepAliveReader) Read(p []byte) (int, error) {
	for {
		started := r.now()
		if err := r.conn.SetReadDeadline(started.Add(r.timeout)); err != nil {
			return 0, err
		}
		n, err := r.conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if !processPaused(started, r.now(), r.timeout) {
			return 0, errSilent
		}
	}
}

// processPaused reports whether a wait for the timeout ended so late that this process must have been paused. Input
// that arrived during the pause is still unread then, so the connection can't be called silent yet.
func processPaused(started, now time.Time, timeout time.Duration) bool {
	return now.Sub(started) > timeout+timeout/2
}
