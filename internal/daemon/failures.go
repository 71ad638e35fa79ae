package daemon

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/failrate"
)

// failureMeter measures the failure share of the backend server. It is a failrate.Meter that is safe for concurrent
// use.
type failureMeter struct {
	now func() time.Time

	mu    sync.Mutex
	meter failrate.Meter
}

// record counts a request that was sent to the backend server. A request that its caller canceled, or of which it sent only a
// part, is not counted, because its result says nothing about the backend server.
func (f *failureMeter) record(ctx context.Context, res *result) {
	if errors.Is(ctx.Err(), context.Canceled) || res.reason == call.ReasonCanceled {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.meter.Record(f.now(), failedAtBackend(res))
}

// failedAtBackend reports whether the backend server gave no answer, refused to run the request or answered with a
// server error.
func failedAtBackend(res *result) bool {
	return res.outcome != call.OutcomeAnswered || res.status >= http.StatusInternalServerError
}

// percent returns the share of failed requests in percent, rounded down.
func (f *failureMeter) percent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int(100 * f.meter.FailureRate(f.now()))
}

// refusalWindow is the time within which a backend server answers a request with an error after a child call of the
// request was refused.
const refusalWindow = 20 * time.Millisecond

// refusalTracker keeps the time at which a call by this VM's backend server was last refused because of overload. Such
// calls don't identify their parent request, but a request that fails within refusalWindow after a refusal most likely
// failed because of it. It is safe for concurrent use.
type refusalTracker struct {
	now func() time.Time

	mu   sync.Mutex
	last time.Time
}

// record records a refusal.
func (r *refusalTracker) record() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = r.now()
}

// recent reports whether a call was refused within the last refusalWindow.
func (r *refusalTracker) recent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now().Sub(r.last) <= refusalWindow
}

// overloadFailure reports whether a request failed because it, or one of its child calls, was refused because of
// overload.
func overloadFailure(res *result) bool {
	if res.outcome != call.OutcomeNotRun {
		return res.overloaded
	}
	switch res.reason {
	case call.ReasonOverload, call.ReasonRateLimit, call.ReasonDeadline, call.ReasonThrottled, call.ReasonMemory:
		return true
	default:
		return false
	}
}
