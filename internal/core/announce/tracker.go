package announce

import (
	"errors"
	"time"
)

const (
	// overdueIntervals is the number of heartbeats after which silence is looked into.
	overdueIntervals = 2
	// minInterval keeps two heartbeats that arrive together, the first of them late, from counting as the interval.
	minInterval = 500 * time.Millisecond
)

// State is what is known of the backend server.
type State uint8

// The states of a backend server.
const (
	// Unknown means that nothing was announced, or that the announced one has crashed.
	Unknown State = iota
	// Unverified means that one heartbeat says ready, which may be older than an announcement to leave.
	Unverified
	// Ready means that the backend server takes work.
	Ready
	// Leaving means that the backend server takes no new work.
	Leaving
)

var stateNames = [...]string{"unknown", "unproved", "ready", "leaving"}

// String returns the name used in logs.
func (s State) String() string {
	return stateNames[min(int(s), len(stateNames)-1)]
}

// Heartbeat is what a backend server says of itself.
type Heartbeat struct {
	ID      string
	Service string
	// StartUnixMilli is the time of the start in Unix milliseconds, 0 where it isn't said. A later start replaces an earlier one.
	StartUnixMilli int64
	// Seq increases with each heartbeat of one start.
	Seq   uint64
	Slots int
	// Leaving is set before a planned stop.
	Leaving bool
	// ColdRemaining is how much longer the backend server is slow after its start.
	ColdRemaining time.Duration
}

// Errors of Tracker.Heartbeat.
var (
	// ErrOtherService reports a heartbeat of a backend server that doesn't belong beside this daemon.
	ErrOtherService = errors.New("heartbeat names another service")
	// ErrStale reports a heartbeat that is older than what is known. It is acknowledged and has no effect.
	ErrStale = errors.New("heartbeat is older than the last one")
)

// Instance is one start of a backend server.
type Instance struct {
	ID             string
	StartUnixMilli int64
	Slots          int
	State          State
	ColdUntil      time.Time
}

// Tracker holds the backend server beside a daemon. It is not safe for concurrent use.
type Tracker struct {
	service string
	current Instance
	seq     uint64
	// crashedSeq is the last heartbeat before a crash; only newer ones show that the backend server is back.
	crashedSeq    uint64
	crashed       bool
	lastHeartbeat time.Time
	interval      time.Duration // shortest time between two heartbeats of one start, 0 while unknown
	everVerified  bool          // the tracker has once known a backend server for sure, so nothing that it missed can matter
}

// NewTracker returns a tracker for the backend servers of a service.
func NewTracker(service string) *Tracker {
	return &Tracker{service: service}
}

// Current returns the backend server as it is known now.
func (t *Tracker) Current() Instance {
	return t.current
}

// Heartbeat takes a heartbeat. Errors are ErrOtherService and ErrOld.
func (t *Tracker) Heartbeat(now time.Time, h Heartbeat) error {
	if h.Service != t.service {
		return ErrOtherService
	}
	if h.StartUnixMilli < t.current.StartUnixMilli || t.sameStart(h) && h.Seq <= t.seq {
		return ErrStale
	}
	if !t.sameStart(h) {
		t.reset(h)
	}
	hasPrevious := t.seq > 0
	t.updateInterval(now, hasPrevious)
	t.seq = h.Seq
	t.current.Slots = h.Slots
	t.current.ColdUntil = now.Add(h.ColdRemaining)
	switch {
	case t.current.State == Leaving:
	case h.Leaving:
		t.current.State = Leaving
	case t.crashed && h.Seq <= t.crashedSeq:
	case t.everVerified || hasPrevious:
		t.markReady()
	default:
		t.current.State = Unverified
	}
	return nil
}

// updateInterval learns how often heartbeats come.
func (t *Tracker) updateInterval(now time.Time, hasPrevious bool) {
	if gap := now.Sub(t.lastHeartbeat); hasPrevious && gap >= minInterval && (t.interval == 0 || gap < t.interval) {
		t.interval = gap
	}
	t.lastHeartbeat = now
}

// Overdue reports whether a backend server that takes work has not been heard of for several heartbeats. It may have lost
// its power; a health check tells.
func (t *Tracker) Overdue(now time.Time) bool {
	return t.current.State == Ready && t.interval > 0 && now.Sub(t.lastHeartbeat) > overdueIntervals*t.interval
}

// sameStart reports whether a heartbeat comes from the start that is known.
func (t *Tracker) sameStart(h Heartbeat) bool {
	return h.ID == t.current.ID && h.StartUnixMilli == t.current.StartUnixMilli
}

func (t *Tracker) reset(h Heartbeat) {
	t.current = Instance{ID: h.ID, StartUnixMilli: h.StartUnixMilli}
	t.seq, t.crashedSeq, t.crashed = 0, 0, false
}

func (t *Tracker) markReady() {
	t.current.State = Ready
	t.crashed = false
	t.everVerified = true
}

// MarkVerified takes a health check that an instance has passed.
func (t *Tracker) MarkVerified(id string) {
	if t.current.State == Unverified && t.current.ID == id {
		t.markReady()
	}
}

// Discover takes a health check that an instance has passed before any heartbeat came, as after a restart of the daemon.
// slots is what it is trusted with until its first heartbeat.
func (t *Tracker) Discover(id string, slots int) {
	if t.current != (Instance{}) || id == "" {
		return
	}
	t.current = Instance{ID: id, Slots: slots}
	t.markReady()
}

// SetDiscoveredSlots replaces the slots of a discovered backend server, as long as no heartbeat has told them.
func (t *Tracker) SetDiscoveredSlots(id string, slots int) {
	if t.current.ID == id && t.seq == 0 {
		t.current.Slots = slots
	}
}

// MarkLeaving takes the notice that an instance leaves. A notice for another instance has no effect. It reports whether the
// backend server is leaving now.
func (t *Tracker) MarkLeaving(id string) bool {
	if t.current.ID == "" {
		t.current.ID = id
	}
	if t.current.ID == id {
		t.current.State = Leaving
	}
	return t.current.ID == id
}

// MarkCrashed notes that the backend server accepts no connections. A newer heartbeat ends that.
func (t *Tracker) MarkCrashed() {
	if t.current.State == Ready || t.current.State == Unverified {
		t.current.State = Unknown
		t.crashed, t.crashedSeq = true, t.seq
	}
}
