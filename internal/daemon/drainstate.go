package daemon

import (
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/drain"
	"guavapoint.example/guavapoint/internal/settings"
)

// minDrainTime is the shortest time between the begin of a drain and the exit. It lets the announcement reach the neighbours,
// and lets peers that have not heard it get the answer "leaving" instead of a connection that ends. Messages between
// regions take 30 ms.
const minDrainTime = 200 * time.Millisecond

// Stop of a daemon with an ingress. The readiness check asks once a second, and callers go elsewhere after the second
// refusal. Until readyNotice has passed the backend server goes on taking work, since it serves nobody while its daemon
// is away. ingressNotice later the ingress closes; requests that it has read by then are served.
const (
	readinessDelay    = 1300 * time.Millisecond
	ingressCloseDelay = 1500 * time.Millisecond
)

// drainTimes returns the longest and the shortest drain under the settings.
func drainTimes(s *settings.Settings) (limit, minTime time.Duration) {
	if s.Ingress != nil {
		return max(s.DrainLimit-readinessDelay, 0), ingressCloseDelay
	}
	return s.DrainLimit, minDrainTime
}

// drainState is a drain.Tracker that is safe for concurrent use.
type drainState struct {
	mu             sync.Mutex
	tracker        *drain.Tracker
	limit          time.Duration
	minTime        time.Duration
	begun          time.Time // of the begin
	callerRequests int       // requests of callers, which are served until the exit
}

func newDrainState(limit, minTime time.Duration) *drainState {
	return &drainState{tracker: drain.New(limit), limit: limit, minTime: min(minTime, limit)}
}

// startRequest admits new work. It returns false once the drain has begun.
func (d *drainState) startRequest() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.StartRequest()
}

// endRequest ends work that enter has admitted.
func (d *drainState) endRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.EndRequest()
}

// startCallerRequest counts a request that keeps the daemon from exiting and that the drain doesn't refuse.
func (d *drainState) startCallerRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callerRequests++
}

// endCallerRequest ends a request that hold has counted.
func (d *drainState) endCallerRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callerRequests--
}

// begin starts the drain.
func (d *drainState) begin(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tracker.Phase() == drain.Open {
		d.begun = now
		d.tracker.Begin(now)
	}
}

// draining reports whether the drain has begun.
func (d *drainState) draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Phase() != drain.Open
}

// minTimePassed reports whether the drain has begun and all that come late have had their answer.
func (d *drainState) minTimePassed(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Phase() != drain.Open && now.Sub(d.begun) >= d.minTime
}

// canExit reports whether the daemon can exit.
func (d *drainState) canExit(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.tracker.CanExit(now) || now.Sub(d.begun) < d.minTime {
		return false
	}
	return d.callerRequests == 0 || now.Sub(d.begun) >= d.limit
}

// inFlight returns the number of requests in flight.
func (d *drainState) inFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.InFlight() + d.callerRequests
}
