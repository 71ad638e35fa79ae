package daemon

import (
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/drain"
	"guavapoint.example/guavapoint/internal/settings"
)

// minDrainTime is the shortest time between the start of a drain and the exit. In this time the announcement reaches
// the neighbors, and peers that have not yet received it are refused with the reason "leaving" instead of losing their
// connection. Messages between regions take 30 ms.
const minDrainTime = 200 * time.Millisecond

// Times of the shutdown of a daemon with an ingress. The readiness check runs once a second, and callers use other
// daemons after the second refusal. Until readinessDelay has passed since the request to stop, the backend server still
// takes requests, because it can serve nobody once its daemon is gone. ingressCloseDelay after that the ingress closes;
// requests that it has read by then are served.
const (
	readinessDelay    = 1300 * time.Millisecond
	ingressCloseDelay = 1500 * time.Millisecond
)

// drainTimes are the times of a drain after its begin.
type drainTimes struct {
	minTime   time.Duration // before it the daemon doesn't exit
	lastStart time.Duration // from then on only work that has started before goes on
	limit     time.Duration // at which the daemon exits
}

// drainTimesFor returns the times of a drain under the settings. With an ingress no request of a caller starts once the
// ingress has closed: its caller uses other daemons by then. Without one, such requests are those that were accepted before
// the drain and whose body arrives slowly; the second half of the drain is left to those that run.
func drainTimesFor(s *settings.Settings) drainTimes {
	if s.Ingress != nil {
		return drainTimes{minTime: ingressCloseDelay, lastStart: ingressCloseDelay, limit: max(s.DrainLimit-readinessDelay, 0)}
	}
	return drainTimes{minTime: minDrainTime, lastStart: s.DrainLimit / 2, limit: s.DrainLimit}
}

// drainState is a drain.Tracker that is safe for concurrent use.
type drainState struct {
	mu             sync.Mutex
	tracker        *drain.Tracker
	times          drainTimes
	begun          time.Time    // when the drain began
	window         drain.Window // set once the daemon was asked to stop
	callerRequests int          // requests of callers in flight, which the drain doesn't refuse
}

func newDrainState(times drainTimes) *drainState {
	times.minTime = min(times.minTime, times.limit)
	return &drainState{tracker: drain.New(times.limit), times: times}
}

// announce records that the drain will begin at the given time.
func (d *drainState) announce(begin time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setWindow(begin)
}

// setWindow sets the window of a drain that begins at the given time, unless it is set. The caller holds the mutex.
func (d *drainState) setWindow(begin time.Time) {
	if d.window.Exit.IsZero() {
		d.window = drain.Window{LastStart: begin.Add(d.times.lastStart), Exit: begin.Add(d.times.limit)}
	}
}

// mayStart reports whether a request that starts now can be expected to end before the exit of the daemon. It always
// may while the daemon wasn't asked to stop.
func (d *drainState) mayStart(now time.Time, s drain.Start) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.window.MayStart(now, s)
}

// startRequest counts a new request. It returns false, and the request must be refused, once the drain has begun.
func (d *drainState) startRequest() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.StartRequest()
}

// endRequest ends a request for which startRequest returned true.
func (d *drainState) endRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.EndRequest()
}

// startCallerRequest counts a request that delays the exit of the daemon and that the drain doesn't refuse.
func (d *drainState) startCallerRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callerRequests++
}

// endCallerRequest ends a request that startCallerRequest has counted.
func (d *drainState) endCallerRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callerRequests--
}

// begin starts the drain. Later calls have no effect. The limit counts from the announced begin, if there is one: a process
// that is frozen may begin later than it has announced, and is killed no later for that.
func (d *drainState) begin(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tracker.Phase() == drain.Open {
		d.begun = now
		d.setWindow(now)
		d.tracker.Begin(d.window.Exit.Add(-d.times.limit))
	}
}

// draining reports whether the drain has begun.
func (d *drainState) draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Phase() != drain.Open
}

// minTimePassed reports whether the drain has lasted its shortest time, after which no peer should still send requests.
func (d *drainState) minTimePassed(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Phase() != drain.Open && now.Sub(d.begun) >= d.times.minTime
}

// canExit reports whether the daemon can exit: the limit has passed, or the shortest time has and nothing is in flight.
func (d *drainState) canExit(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.tracker.Phase() == drain.Open:
		return false
	case !now.Before(d.window.Exit):
		return true
	default:
		return now.Sub(d.begun) >= d.times.minTime && d.tracker.CanExit(now) && d.callerRequests == 0
	}
}

// inFlight returns the number of requests in flight, including those of callers.
func (d *drainState) inFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.InFlight() + d.callerRequests
}
