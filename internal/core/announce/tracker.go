package announce

import (
	"errors"
	"slices"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

const (
	// overdueIntervals is the number of heartbeat intervals without a heartbeat after which one is overdue.
	overdueIntervals = 2
	// minInterval is the shortest gap that counts as a heartbeat interval. When a late heartbeat arrives together with
	// the next one, the gap between them is shorter and says nothing about the interval.
	minInterval = 500 * time.Millisecond
	// firstHeartbeatTime is the time after which a backend server that a health check discovered is overdue if no
	// heartbeat has arrived.
	firstHeartbeatTime = 5 * time.Second
)

// State is the state of the backend server as the tracker knows it.
type State uint8

// The states of a backend server.
const (
	// Unknown means that no backend server was announced, or that the announced one has crashed.
	Unknown State = iota
	// Unverified means that what is known so far says ready and may be older than an announcement to leave, so the
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
	// ErrImplausibleStart reports a heartbeat of a start that can't have come yet.
	ErrImplausibleStart = errors.New("heartbeat names a start in the future or before 1970")
	// ErrStale reports a heartbeat that is not newer than the last one, or comes from an earlier start. It has no effect;
	// callers acknowledge it all the same.
	ErrStale = errors.New("heartbeat is older than the last one")
)

// Instance is one start of a backend server. The zero Instance stands for none.
type Instance struct {
	ID             string
	StartUnixMilli int64 // 0 if it isn't known
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
	heartbeats    int           // of the current start
	interval      time.Duration // shortest gap between heartbeats of one start, at least minInterval; 0 while unknown
	// startKnown is set once a heartbeat of the current start has arrived. Before that only its ID is known.
	startKnown bool
	// recovered is set once the departures that an earlier daemon learned have been looked up.
	recovered  bool
	departures departures
	unsaved    []Departure // learned first by this tracker and not taken yet
	// everVerified is set once any backend server was ready. From then on the tracker has missed no announcement to
	// leave, so a first heartbeat of a new start needs no verification.
	everVerified    bool
	knownSince      time.Time // when the current start became known, by its first heartbeat or by its ID
	discoveredSlots int       // see SetDiscoveredSlots
	limitAt         time.Time // arrival of the last response that stated a rate limit
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

// Heartbeat applies a heartbeat that arrived at now. It returns ErrOtherService, ErrImplausibleStart or ErrStale
// for one that it ignores.
func (t *Tracker) Heartbeat(now time.Time, h Heartbeat) error {
	if h.Service != t.service {
		return ErrOtherService
	}
	if !PlausibleTime(now, h.StartUnixMilli) {
		return ErrImplausibleStart
	}
	if h.StartUnixMilli < t.current.StartUnixMilli || t.sameStart(h) && h.Seq <= t.seq {
		return ErrStale
	}
	if !t.sameStart(h) {
		t.reset(now, h.ID)
	}
	hasPrevious := t.seq > 0
	t.updateInterval(now, hasPrevious)
	t.current.StartUnixMilli, t.startKnown = h.StartUnixMilli, true
	t.seq = h.Seq
	t.heartbeats++
	t.current.Slots = h.Slots
	t.current.ColdUntil = now.Add(h.ColdRemaining)
	t.updateState(now, h, hasPrevious)
	return nil
}

// updateState updates the state of the current start after a heartbeat of it.
func (t *Tracker) updateState(now time.Time, h Heartbeat, hasPrevious bool) {
	if h.Leaving {
		t.saveDeparture(Departure{ID: h.ID, StartUnixMilli: h.StartUnixMilli})
	} else if hasPrevious && h.StartUnixMilli > 0 {
		t.departures.dropDisproved(now, h.ID)
	}
	switch {
	case t.departures.cover(h.ID, h.StartUnixMilli):
		t.current.State = Leaving
	case t.crashed && h.Seq <= t.crashedSeq: // sent before the crash
	case t.recovered && (t.everVerified || hasPrevious):
		t.markReady()
	case t.current.State != Ready:
		t.current.State = Unverified
	}
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
	switch {
	case t.current.State != Ready:
		return false
	case !t.startKnown:
		return now.Sub(t.knownSince) > firstHeartbeatTime
	default:
		return t.interval > 0 && now.Sub(t.lastHeartbeat) > overdueIntervals*t.interval
	}
}

// sameStart reports whether a heartbeat comes from the current start. If only the ID of that is known, a heartbeat with
// this ID does, unless the current start has left and the heartbeat is from a later one.
func (t *Tracker) sameStart(h Heartbeat) bool {
	switch {
	case h.ID != t.current.ID:
		return false
	case t.startKnown:
		return h.StartUnixMilli == t.current.StartUnixMilli
	default:
		return t.current.State != Leaving || t.departures.cover(h.ID, h.StartUnixMilli)
	}
}

// reset makes another start the current one, in state Unknown. Only its ID is known yet.
func (t *Tracker) reset(now time.Time, id string) {
	t.current = Instance{ID: id}
	t.seq, t.heartbeats, t.crashedSeq, t.crashed = 0, 0, 0, false
	t.knownSince, t.limitAt, t.responded = now, time.Time{}, false
	t.startKnown = false
}

// markReady records that the current start takes work.
func (t *Tracker) markReady() {
	t.current.State = Ready
	t.crashed = false
	t.everVerified = true
}

// NeedsVerification reports whether a health check that names the current instance would make it ready. If only the ID is
// known and a start with this ID has left, a health check can't tell which start responds; a heartbeat can. While the
// earlier departures are unknown, two heartbeats must have arrived too: neither late heartbeats nor false health checks
// suffice then.
func (t *Tracker) NeedsVerification() bool {
	switch {
	case t.current.State != Unverified:
		return false
	case !t.startKnown:
		return t.recovered && !t.departures.name(t.current.ID)
	default:
		return t.recovered || t.heartbeats >= 2
	}
}

// MarkVerified records that the instance with the given ID has passed a health check. It has an effect only on the
// current instance and only while NeedsVerification holds.
func (t *Tracker) MarkVerified(id string) {
	if t.current.ID == id && t.NeedsVerification() {
		t.markReady()
	}
}

// MarkRecovered records at now the departures that an earlier daemon has learned. From then on no departure is unknown to
// the tracker.
func (t *Tracker) MarkRecovered(now time.Time, earlier []Departure) {
	t.recovered = true
	for _, d := range earlier {
		t.ApplyDeparture(now, d)
	}
	if t.current.State == Unverified && !t.startKnown && !t.departures.name(t.current.ID) {
		t.markReady() // discovered by a health check
	}
}

// Discover records an instance that passed a health check at now before any heartbeat arrived, as after a restart of the
// daemon. Discover has no effect if an instance is known already or id is empty.
func (t *Tracker) Discover(now time.Time, id string) {
	if t.current != (Instance{}) || id == "" {
		return
	}
	t.reset(now, id)
	t.current.Slots, t.current.State = t.discoveredSlots, Unverified
	t.MarkVerified(id)
}

// SetDiscoveredSlots sets the number of slots that a discovered backend server is assumed to have until its first
// heartbeat, which states the slots.
func (t *Tracker) SetDiscoveredSlots(slots int) {
	t.discoveredSlots = slots
	if t.current.ID != "" && !t.startKnown {
		t.current.Slots = slots
	}
}

// MarkLeaving records the notice that an instance leaves, and reports whether the backend server is leaving now. A
// notice for another instance than the current one has no effect on that. If no instance is known, the notice's instance
// becomes the current one.
func (t *Tracker) MarkLeaving(now time.Time, id string) bool {
	if t.current.ID == "" {
		t.reset(now, id)
	}
	d := Departure{ID: id, NoticeUnixMilli: now.UnixMilli()}
	if t.current.ID == id {
		d.StartUnixMilli = t.current.StartUnixMilli
		t.current.State = Leaving
	}
	t.saveDeparture(d)
	return t.current.ID == id
}

// saveDeparture adds a departure that is to be kept outside the daemon.
func (t *Tracker) saveDeparture(d Departure) {
	if t.departures.add(d) {
		t.unsaved = append(t.unsaved, d)
	}
}

// ApplyDeparture adds at now a departure that another daemon, or an earlier one at this address, has learned. One from the
// future has no effect: it would concern starts that are to come.
func (t *Tracker) ApplyDeparture(now time.Time, d Departure) {
	if d.ID == "" || !PlausibleTime(now, d.StartUnixMilli) || !PlausibleTime(now, d.NoticeUnixMilli) {
		return
	}
	d.NoticeUnixMilli = min(d.NoticeUnixMilli, now.UnixMilli())
	t.departures.add(d)
	switch {
	case d.ID != t.current.ID || t.current.State == Leaving || t.current.State == Unknown:
	case !t.startKnown:
		t.current.State = Unverified // until a heartbeat shows which start it is
	case d.covers(d.ID, t.current.StartUnixMilli):
		t.current.State = Leaving
	}
}

// TakeUnsaved returns the departures that this tracker has learned first since the last call. They must be kept where a
// later daemon finds them.
func (t *Tracker) TakeUnsaved() []Departure {
	taken := t.unsaved
	t.unsaved = nil
	return taken
}

// CurrentDeparture returns the departure of the current start. ok is false if it isn't leaving.
func (t *Tracker) CurrentDeparture() (d Departure, ok bool) {
	if t.current.State != Leaving {
		return Departure{}, false
	}
	for _, d := range slices.Backward(t.departures) {
		if d.covers(t.current.ID, t.current.StartUnixMilli) {
			return d, true
		}
	}
	return Departure{}, false
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
		t.saveDeparture(t.respondedDeparture(now))
	}
	if r.RateLimit.Limited() {
		t.limitAt = now
	} else if !sentAt.After(t.limitAt) {
		return
	}
	t.current.RateLimit = r.RateLimit
}

// respondedDeparture returns the departure that a response of the current start states.
func (t *Tracker) respondedDeparture(now time.Time) Departure {
	d := Departure{ID: t.current.ID, StartUnixMilli: t.current.StartUnixMilli}
	if !t.startKnown {
		d.NoticeUnixMilli = now.UnixMilli()
	}
	return d
}

// PeerRateLimit records the rate limit that another daemon has learned from earlier responses of an instance. This daemon
// has missed them if it has just started. The limit counts until the first response; of several the lowest counts.
func (t *Tracker) PeerRateLimit(id string, startUnixMilli int64, l call.RateLimit) {
	otherStart := startUnixMilli != 0 && t.current.StartUnixMilli != 0 && startUnixMilli != t.current.StartUnixMilli
	if id == "" || id != t.current.ID || otherStart {
		return
	}
	known := t.current.RateLimit
	if !t.responded && l.Limited() && (!known.Limited() || l.PerSecond() < known.PerSecond()) {
		t.current.RateLimit = l
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
