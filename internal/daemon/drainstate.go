package daemon

import (
	"guavapoint.example/guavapoint/internal/settings"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/drain"
)

// leaveNotice is the shortest time between the begin of a drain and the exit. It lets the announcement reach the neighbours,
// and lets peers that have not heard it get the answer "leaving" instead of a connection that ends. Messages between
// regions take 30 ms.
const leaveNotice = 200 * time.Millisecond

// ingressNotice is leaveNotice for a daemon with an ingress: the readiness check asks once a second, and its callers go
// elsewhere after the second refusal. Half a second is left for requests that are on their way then.
const ingressNotice = 2500 * time.Millisecond

// leaveNoticeOf returns the shortest drain under the settings.
func leaveNoticeOf(s *settings.Settings) time.Duration {
	if s.Ingress != nil {
		return ingressNotice
	}
	return leaveNotice
}

// drainState is a drain.Machine that is safe for concurrent use.
type drainState struct {
	mu      sync.Mutex
	machine *drain.Machine
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
	return d.machine.Enter()
}

// leave ends work that enter has admitted.
func (d *drainState) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Leave()
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

// done reports whether the daemon can exit.
func (d *drainState) done(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.machine.Done(now) || now.Sub(d.since) < d.notice {
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
