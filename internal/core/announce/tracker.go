package announce

import (
	"errors"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

const (
	// overdueIntervals is the number of heartbeat intervals without a heartbeat after which one is overdue.
	overdueIntervals = 2
	// minInterval is the shortest gap that counts as a heartbeat interval. When a late heartbeat arrives together with
	// the next one, the gap between them is shorter and says nothing about the interval.
	minInterval = 500 * time.Millisecond
)

// State is the state of the backend server as the tracker knows it.
type State uint8

// The states of a backend server.
const (
	// Unknown means that no backend server was announced, or that the announced one has crashed.
	Unknown State = iota
	// Unverified means that the only heartbeat so far says ready. It may be older than an announcement to leave, so the
	// backend server takes no work yet. The logged name is "unproved".
	Unverified
	// Ready means that the backend server takes work.
	Ready
	// Leaving means that the backend server takes no new work.
	Leaving
)

var stateNames = [...]string{"unknown", "unproved", "ready", "leaving"}

// String returns the name used in logs. Values above Leaving have the name of Leaving.
func (s State) String() string {
	return stateNames[min(int(s), len(stateNames)-1)]
}

// Heartbeat is the decoded heartbeat of a backend server.
type Heartbeat struct {
	ID      string
	Service string
	// StartUnixMilli is the time of the start in Unix milliseconds, 0 if the heartbeat doesn't state it. A later start
	// replaces an earlier one.
	StartUnixMilli int64
	// Seq increases with each heartbeat of one start.
	Seq uint64
	// Slots is the number of requests that the backend server runs at once.
	Slots int
	// Leaving is set before a planned stop.
	Leaving bool
	// ColdRemaining is the remaining time during which the backend server is slow after its start.
	ColdRemaining time.Duration
}

// Errors of Tracker.Heartbeat.
var (
	// ErrOtherService reports a heartbeat from a backend server of another service than the daemon's.
	ErrOtherService = errors.New("heartbeat names another service")
	// ErrStale reports a heartbeat that is not newer than the last one, or comes from an earlier start. It has no effect;
	// callers acknowledge it all the same.
	ErrStale = errors.New("heartbeat is older than the last one")
)

// Instance is one start of a backend server. The zero Instance stands for none.
type Instance struct {
	ID             string
	StartUnixMilli int64
	Slots          int
	State          State
	ColdUntil      time.Time // the backend server is slow until then
	RateLimit      call.RateLimit
}

// Tracker tracks the backend server beside a daemon. It is not safe for concurrent use.
type Tracker struct {
	service string
	current Instance
	seq     uint64 // Seq of the last heartbeat of the current start, 0 before the first
	// crashedSeq is the Seq of the last heartbeat before a crash. Only a newer heartbeat shows that the backend server
	// is back.
	crashedSeq    uint64
	crashed       bool
	lastHeartbeat time.Time
	interval      time.Duration // shortest gap between heartbeats of one start, at least minInterval; 0 while unknown
	// everVerified is set once any backend server was ready. From then on the tracker has missed no announcement to
	// leave, so a first heartbeat of a new start needs no verification.
	everVerified bool
	knownSince   time.Time // arrival of the first heartbeat of the current start; zero if it was discovered
	// identifiedAt is the time at which the current instance became known by its ID alone, without its start. It is zero
	// otherwise.
	identifiedAt time.Time
	limitAt      time.Time // arrival of the last response that stated a rate limit
	// responded is set once a response of the current start has arrived. It is newer than all that peers know.
	responded bool
}

// NewTracker returns a tracker for the backend servers of a service, in state Unknown.
func NewTracker(service string) *Tracker {
	return &Tracker{service: service}
}

// Current returns the backend server as the tracker knows it now.
func (t *Tracker) Current() Instance {
	return t.current
}

// Heartbeat applies a heartbeat that arrived at now. It returns ErrOtherService or ErrStale for one that it ignores.
func (t *Tracker) Heartbeat(now time.Time, h Heartbeat) error {
	if h.Service != t.service {
		return ErrOtherService
	}
	if h.StartUnixMilli < t.current.StartUnixMilli || t.sameStart(h) && h.Seq <= t.seq {
		return ErrStale
	}
	if !t.sameStart(h) {
		t.reset(now, h)
	}
	t.current.StartUnixMilli, t.identifiedAt = h.StartUnixMilli, time.Time{}
	hasPrevious := t.seq > 0
	t.updateInterval(now, hasPrevious)
	t.seq = h.Seq
	t.current.Slots = h.Slots
	t.current.ColdUntil = now.Add(h.ColdRemaining)
	switch {
	case t.current.State == Leaving: // final for this start
	case h.Leaving:
		t.current.State = Leaving
	case t.crashed && h.Seq <= t.crashedSeq: // sent before the crash
	case t.everVerified || hasPrevious:
		t.markReady()
	default:
		t.current.State = Unverified
	}
	return nil
}

// updateInterval updates the estimate of the heartbeat interval. hasPrevious is false for the first heartbeat of a
// start, whose distance from the last heartbeat of an earlier start says nothing about the interval.
func (t *Tracker) updateInterval(now time.Time, hasPrevious bool) {
	if gap := now.Sub(t.lastHeartbeat); hasPrevious && gap >= minInterval && (t.interval == 0 || gap < t.interval) {
		t.interval = gap
	}
	t.lastHeartbeat = now
}

// Overdue reports whether a backend server that takes work has sent no heartbeat for more than overdueIntervals
// intervals. Its VM may have lost power; callers find out by a health check.
func (t *Tracker) Overdue(now time.Time) bool {
	return t.current.State == Ready && t.interval > 0 && now.Sub(t.lastHeartbeat) > overdueIntervals*t.interval
}

// sameStart reports whether a heartbeat comes from the current start. If only the ID of that is known, a heartbeat of a
// backend server that started before the ID became known does: it must not undo what was learned about the instance.
func (t *Tracker) sameStart(h Heartbeat) bool {
	if h.ID == t.current.ID && !t.identifiedAt.IsZero() {
		return h.StartUnixMilli <= t.identifiedAt.UnixMilli()
	}
	return h.ID == t.current.ID && h.StartUnixMilli == t.current.StartUnixMilli
}

// reset makes the start that sent h the current one, in state Unknown.
func (t *Tracker) reset(now time.Time, h Heartbeat) {
	t.current = Instance{ID: h.ID, StartUnixMilli: h.StartUnixMilli}
	t.seq, t.crashedSeq, t.crashed = 0, 0, false
	t.knownSince, t.limitAt, t.responded = now, time.Time{}, false
	t.identifiedAt = time.Time{}
}

// markReady records that the current start takes work.
func (t *Tracker) markReady() {
	t.current.State = Ready
	t.crashed = false
	t.everVerified = true
}

// MarkVerified records that the instance with the given ID has passed a health check. It has an effect only on the
// current instance and only in state Unverified.
func (t *Tracker) MarkVerified(id string) {
	if t.current.State == Unverified && t.current.ID == id {
		t.markReady()
	}
}

// Discover records an instance that passed a health check at now before any heartbeat arrived, as after a restart of the
// daemon. slots is the number of slots that it is assumed to have until its first heartbeat. Discover has no effect if
// an instance is known already or id is empty.
func (t *Tracker) Discover(now time.Time, id string, slots int) {
	if t.current != (Instance{}) || id == "" {
		return
	}
	t.current = Instance{ID: id, Slots: slots}
	t.identifiedAt = now
	t.markReady()
}

// SetDiscoveredSlots replaces the assumed slots of a discovered backend server. It has no effect for another instance
// or once a heartbeat has arrived, since that states the slots.
func (t *Tracker) SetDiscoveredSlots(id string, slots int) {
	if t.current.ID == id && t.seq == 0 {
		t.current.Slots = slots
	}
}

// MarkLeaving records the notice that an instance leaves, and reports whether the backend server is leaving now. A
// notice for another instance has no effect. If no instance is known, the notice's instance becomes the current one.
func (t *Tracker) MarkLeaving(now time.Time, id string) bool {
	if t.current.ID == "" {
		t.current.ID = id
		t.identifiedAt = now
	}
	if t.current.ID == id {
		t.current.State = Leaving
	}
	return t.current.ID == id
}

// Report is what a backend server's response says about the backend server itself.
type Report struct {
	RateLimit call.RateLimit
	// Leaving is set if the backend server leaves.
	Leaving bool
}

// Response records the report of a response that arrived at now, to a request that was sent at sentAt. A backend server
// that leaves takes no more work, as after a heartbeat that says so. A rate limit holds until a response without one
// arrives, but not one to a request that was sent before the limit was last stated: responses on several connections
// overtake each other. Responses to requests that were sent to an earlier start have no effect.
func (t *Tracker) Response(now, sentAt time.Time, r Report) {
	if sentAt.Before(t.knownSince) {
		return
	}
	t.responded = true
	if r.Leaving && t.current.ID != "" {
		t.current.State = Leaving
	}
	if r.RateLimit.Limited {
		t.limitAt = now
	} else if !sentAt.After(t.limitAt) {
		return
	}
	t.current.RateLimit = r.RateLimit
}

// PeerReport records what another daemon has learned from earlier responses of an instance. This daemon has missed them
// if it has just started. That the instance leaves is final. A rate limit counts until the first response; of several the
// lowest counts.
func (t *Tracker) PeerReport(id string, startUnixMilli int64, r Report) {
	otherStart := startUnixMilli != 0 && t.current.StartUnixMilli != 0 && startUnixMilli != t.current.StartUnixMilli
	if id == "" || id != t.current.ID || otherStart {
		return
	}
	if r.Leaving {
		t.current.State = Leaving
	}
	known := t.current.RateLimit
	if !t.responded && r.RateLimit.Limited && (!known.Limited || r.RateLimit.PerSecond < known.PerSecond) {
		t.current.RateLimit = r.RateLimit
	}
}

// MarkCrashed records that the backend server accepts no connections, until a newer heartbeat arrives. It has no effect
// on a backend server that is leaving.
func (t *Tracker) MarkCrashed() {
	if t.current.State == Ready || t.current.State == Unverified {
		t.current.State = Unknown
		t.crashed, t.crashedSeq = true, t.seq
	}
}
