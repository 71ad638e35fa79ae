package daemon

import (
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/drain"
	"guavapoint.example/guavapoint/internal/settings"
)

// leaveNotice is the shortest time between the begin of a drain and the exit. It lets the announcement reach the neighbours,
// and lets peers that have not heard it get the answer "leaving" instead of a connection that ends. Messages between
// regions take 30 ms.
const leaveNotice = 200 * time.Millisecond

// Stop of a daemon with an ingress. The readiness check asks once a second, and callers go elsewhere after the second
// refusal. Until readyNotice has passed the backend server goes on taking work, since it serves nobody while its daemon
// is away. ingressNotice later the ingress closes; requests that it has read by then are served.
const (
	readyNotice   = 1300 * time.Millisecond
	ingressNotice = 1500 * time.Millisecond
)

// drainTimes returns the longest and the shortest drain under the settings.
func drainTimes(s *settings.Settings) (limit, notice time.Duration) {
	if s.Ingress != nil {
		return max(s.DrainLimit-readyNotice, 0), ingressNotice
	}
	return s.DrainLimit, leaveNotice
}

// drainState is a drain.Tracker that is safe for concurrent use.
type drainState struct {
	mu      sync.Mutex
	machine *drain.Tracker
	limit   time.Duration
	notice  time.Duration
	since   time.Time // of the begin
	held    int       // requests of callers, which are served until the exit
}

func newDrainState(limit, notice time.Duration) *drainState {
	return &drainState{machine: drain.New(limit), limit: limit, notice: min(notice, limit)}
}

// enter admits new work. It returns false once the drain has begun.
func (d *drainState) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.StartRequest()
}

// leave ends work that enter has admitted.
func (d *drainState) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.EndRequest()
}

// hold counts a request that keeps the daemon from exiting and that the drain doesn't refuse.
func (d *drainState) hold() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held++
}

// release ends a request that hold has counted.
func (d *drainState) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held--
}

// begin starts the drain.
func (d *drainState) begin(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.machine.Phase() == drain.Open {
		d.since = now
		d.machine.Begin(now)
	}
}

// draining reports whether the drain has begun.
func (d *drainState) draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Phase() != drain.Open
}

// noticePassed reports whether the drain has begun and all that come late have had their answer.
func (d *drainState) noticePassed(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Phase() != drain.Open && now.Sub(d.since) >= d.notice
}

// done reports whether the daemon can exit.
func (d *drainState) done(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.machine.CanExit(now) || now.Sub(d.since) < d.notice {
		return false
	}
	return d.held == 0 || now.Sub(d.since) >= d.limit
}

// inFlight returns the number of requests in flight.
func (d *drainState) inFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.InFlight() + d.held
}
