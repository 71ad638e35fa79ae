package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// scriptedConn is a connection with a fake clock: each read advances the clock by the next gap and returns a byte, or
// advances it to the deadline, plus the next pause of the process, and returns os.ErrDeadlineExceeded.
type scriptedConn struct {
	net.Conn
	now      time.Time
	deadline time.Time
	gaps     []time.Duration // until the next byte
	pauses   []time.Duration // of the process, at the deadlines that are reached
}

func (c *scriptedConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if len(c.gaps) == 0 {
		return 0, io.EOF
	}
	arrival := c.now.Add(c.gaps[0])
	if arrival.After(c.deadline) {
		c.gaps[0] -= c.deadline.Sub(c.now)
		c.now = c.deadline
		if len(c.pauses) > 0 {
			c.now = c.now.Add(c.pauses[0])
			c.gaps[0] = max(c.gaps[0]-c.pauses[0], 0)
			c.pauses = c.pauses[1:]
		}
		return 0, os.ErrDeadlineExceeded
	}
	c.now, c.gaps = arrival, c.gaps[1:]
	p[0] = 'x'
	return 1, nil
}

// readScript reads until an error, and returns the number of bytes before it and the error.
func readScript(c *scriptedConn, limit time.Duration) (int, error) {
	s := &keepAliveReader{conn: c, timeout: limit, now: func() time.Time { return c.now }}
	for n := 0; ; n++ {
		if _, err := s.Read(make([]byte, 1)); err != nil {
			return n, err
		}
	}
}

// Guards against a silent connection that is not detected, and against one that is closed although its peer sends
// keep-alive messages, or because this process was paused.
func TestSilence(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name   string
		gaps   []time.Duration
		pauses []time.Duration
		bytes  int
		silent bool
	}{
		{"nothing arrives", []time.Duration{time.Hour}, nil, 0, true},
		{"keep-alive messages, one of two lost", []time.Duration{400 * ms, 400 * ms, 400 * ms}, nil, 3, false},
		{"silent after keep-alive messages", []time.Duration{200 * ms, 200 * ms, time.Hour}, nil, 2, true},
		{"paused while bytes arrive", []time.Duration{700 * ms}, []time.Duration{10 * time.Second}, 1, false},
		{"paused and silent", []time.Duration{time.Hour}, []time.Duration{10 * time.Second}, 0, true},
	} {
		n, err := readScript(&scriptedConn{gaps: c.gaps, pauses: c.pauses}, DefaultKeepAliveTimeout)
		if n != c.bytes || errors.Is(err, errSilent) != c.silent {
			t.Errorf("%s: %d bytes, then %v", c.name, n, err)
		}
	}
}

// Guards against a timeout that depends on earlier input: a connection is silent if and only if a gap exceeds the
// timeout.
func TestSilenceProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gaps := rapid.SliceOfN(rapid.IntRange(1, 700), 1, 50).Draw(t, "gaps in ms")
		c := new(scriptedConn)
		want := len(gaps)
		for i, g := range gaps {
			gap := time.Duration(g) * time.Millisecond
			c.gaps = append(c.gaps, gap)
			if gap > DefaultKeepAliveTimeout && want == len(gaps) {
				want = i
			}
		}
		n, err := readScript(c, DefaultKeepAliveTimeout)
		if n != want || errors.Is(err, errSilent) != (want < len(gaps)) {
			t.Fatalf("%d bytes, then %v; want %d", n, err, want)
		}
	})
}
