// Package drain decides when a daemon that was asked to stop may exit.
//
// A daemon is open until Begin. From then on it refuses new requests, finishes those in flight, and may exit when none
// is in flight or the limit has passed. The decision doesn't depend on other daemons, so it holds even if every
// announcement of the shutdown is lost.
package drain

import "time"

// DefaultLimit is the maximum duration of a graceful shutdown. The users' platforms kill a process 45 s or more after
// the first signal, which leaves time to close connections.
const DefaultLimit = 30 * time.Second

// Phase is the phase of a shutdown.
type Phase uint8

// The phases in their order in time.
const (
	// Open means that no shutdown has begun.
	Open Phase = iota
	// Draining means that new requests are refused and some are in flight.
	Draining
	// Finished means that new requests are refused and none is in flight.
	Finished
)

// String returns the name used in logs.
func (p Phase) String() string {
	switch p {
	case Open:
		return "open"
	case Draining:
		return "draining"
	case Finished:
		return "finished"
	default:
		return "invalid"
	}
}

// Tracker counts requests in flight through a shutdown. It is not safe for concurrent use.
type Tracker struct {
	limit    time.Duration
	begun    bool
	beganAt  time.Time // zero before Begin
	inFlight int
}

// New returns a Tracker in phase Open. A limit of zero or less means DefaultLimit.
func New(limit time.Duration) *Tracker {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Tracker{limit: limit}
}

// Begin starts the shutdown. Later calls have no effect, so that a repeated command doesn't extend the limit.
func (t *Tracker) Begin(now time.Time) {
	if t.begun {
		return
	}
	t.begun = true
	t.beganAt = now
}

// StartRequest counts a new request and reports whether it may start. It returns false from Begin on; the caller then
// refuses the request with call.ReasonLeaving and doesn't call EndRequest. A child call of a request in flight is a
// part of that request and is not counted with StartRequest, otherwise a shutdown would interrupt its parent.
func (t *Tracker) StartRequest() bool {
	if t.begun {
		return false
	}
	t.inFlight++
	return true
}

// EndRequest ends a request for which StartRequest returned true. It panics if there is none, because a count that is
// too low would let the daemon exit while a later request is in flight.
func (t *Tracker) EndRequest() {
	if t.inFlight == 0 {
		panic("drain: EndRequest without StartRequest")
	}
	t.inFlight--
}

// CanExit reports whether the daemon may exit: the shutdown has begun, and nothing is in flight or the limit has
// passed.
func (t *Tracker) CanExit(now time.Time) bool {
	if !t.begun {
		return false
	}
	return t.inFlight == 0 || now.Sub(t.beganAt) >= t.limit
}

// Phase returns the current phase.
func (t *Tracker) Phase() Phase {
	switch {
	case !t.begun:
		return Open
	case t.inFlight > 0:
		return Draining
	default:
		return Finished
	}
}

// InFlight returns the number of requests in flight. Once CanExit returns true, it is the number of requests that the
// limit interrupts.
func (t *Tracker) InFlight() int {
	return t.inFlight
}
