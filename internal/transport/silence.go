package transport

import "time"

// action is what a silence machine asks its owner to do.
type action uint8

const (
	actionNone   action = iota
	actionPing          // send a ping on the connection
	actionGiveUp        // the connection is silent
)

// silence decides when a connection with outstanding streams is silent. It is pure: its owner passes the time, whether
// an answer is awaited and the number of packets received so far. Any packet counts as a sign of life, also the mere
// acknowledgement of a ping, so that a backend server may run for long without an answer.
type silence struct {
	pingAfter   time.Duration
	silentAfter time.Duration

	busy    bool
	packets uint64
	since   time.Time // last arrival, or the start of the wait
	pinged  time.Time // zero before the ping
	last    time.Time // previous step
}

func newSilence(pingAfter, silentAfter time.Duration) silence {
	return silence{pingAfter: pingAfter, silentAfter: silentAfter}
}

// step advances the machine. Steps are expected several times within pingAfter.
func (s *silence) step(now time.Time, busy bool, packets uint64) action {
	// A gap between steps means that this process was paused. Packets that arrived meanwhile may be unread.
	paused := now.Sub(s.last) > s.pingAfter
	if !busy || !s.busy || packets != s.packets || paused {
		s.restart(now, busy, packets)
		return actionNone
	}
	s.last = now
	switch {
	case s.pinged.IsZero() && now.Sub(s.since) >= s.pingAfter:
		s.pinged = now
		return actionPing
	case now.Sub(s.since) >= s.silentAfter && now.Sub(s.pinged) >= s.silentAfter-s.pingAfter:
		return actionGiveUp
	default:
		return actionNone
	}
}

func (s *silence) restart(now time.Time, busy bool, packets uint64) {
	s.busy = busy
	s.packets = packets
	s.since = now
	s.last = now
	s.pinged = time.Time{}
}
