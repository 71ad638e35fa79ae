package transport

import (
	"errors"
	"net"
	"os"
	"time"
)

// errSilent reports that nothing arrived, although the peer sends signs of life while an answer is to come.
var errSilent = errors.New("nothing was received for too long")

// silenceReader reads from a connection on which an answer is awaited, and fails with errSilent when nothing arrives for
// the limit.
type silenceReader struct {
	conn  net.Conn
	limit time.Duration
	now   func() time.Time
}

// Read implements io.Reader.
func (s *silenceReader) Read(p []byte) (int, error) {
	for {
		armed := s.now()
		if err := s.conn.SetReadDeadline(armed.Add(s.limit)); err != nil {
			return 0, err
		}
		n, err := s.conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if !pausedWithin(armed, s.now(), s.limit) {
			return 0, errSilent
		}
	}
}

// pausedWithin reports whether a wait for the limit ended so late that this process must have been paused. What arrived
// meanwhile is unread then, so the peer is not silent.
func pausedWithin(armed, now time.Time, limit time.Duration) bool {
	return now.Sub(armed) > limit+limit/2
}
