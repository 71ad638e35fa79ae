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

// failures is a failrate.Meter of the backend server that is safe for concurrent use.
type failureMeter struct {
	now func() time.Time

	mu    sync.Mutex
	meter failrate.Meter
}

// ended counts the end of a request that was handed to the backend server. One that its caller has given up says nothing.
func (f *failureMeter) record(ctx context.Context, res *result) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.meter.Record(f.now(), failedAtBackend(res))
}

// failedAtBackend reports whether the backend server gave no answer, refused to run the request or answered with an error.
func failedAtBackend(res *result) bool {
	return res.outcome != call.OutcomeAnswered || res.status >= http.StatusInternalServerError
}

// percent returns the share of failed requests in percent.
func (f *failureMeter) percent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int(100 * f.meter.FailureShare(f.now()))
}

// refusalMemory is the time within which a backend server answers with an error after a call that it needed was refused.
const refusalWindow = 20 * time.Millisecond

// deepRefusals remembers when a call of this VM was last refused for overload. Calls of the backend server don't name the
// request that they belong to, but a request that fails right after such a refusal most likely failed because of it. It
// is safe for concurrent use.
type refusalTracker struct {
	now func() time.Time

	mu   sync.Mutex
	last time.Time
}

func (r *refusalTracker) record() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = r.now()
}

// recent reports whether a call was refused within refusalMemory.
func (r *refusalTracker) recent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now().Sub(r.last) <= refusalWindow
}

// overloadFailure reports whether a request failed because it, or a call that it needed, was refused for overload.
func overloadFailure(res *result) bool {
	if res.outcome != call.OutcomeNotRun {
		return res.overloaded
	}
	switch res.reason {
	case call.ReasonOverload, call.ReasonDeadline, call.ReasonThrottled:
		return true
	default:
		return false
	}
}
