package daemon

import (
	"context"
	"net/http"
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Guards against a caller that is told "not run" although an earlier attempt was answered, and against an answer that is
// thrown away for a later failure.
func TestLaterFailureKeepsEarlierAnswer(t *testing.T) {
	answered := &result{outcome: call.OutcomeAnswered, status: http.StatusInternalServerError}
	for _, later := range []*result{notRun(call.ReasonOverload), unknown(call.ReasonConnectionLost)} {
		if got := combineResults(answered, later); got != answered {
			t.Errorf("after an answer and %v the caller gets %v", later.outcome, got.outcome)
		}
	}
	better := &result{outcome: call.OutcomeAnswered, status: http.StatusOK}
	if got := combineResults(answered, better); got != better {
		t.Error("the later answer is not passed on")
	}
	if got := combineResults(unknown(call.ReasonConnectionLost), notRun(call.ReasonOverload)); got.outcome != call.OutcomeUnknown {
		t.Error("a request that may have run is reported as not run")
	}
}

// Guards against faults of an upstream that throttle its callers as if they were overload, and against overload deep in
// the chain that doesn't.
func TestOverloadFailure(t *testing.T) {
	for _, c := range []struct {
		name string
		res  *result
		want bool
	}{
		{"refused by a gate", notRun(call.ReasonOverload), true},
		{"too late for a gate", notRun(call.ReasonDeadline), true},
		{"no upstream", notRun(call.ReasonNoUpstream), false},
		{"refused by the backend server", notRun(call.ReasonBackendRefused), false},
		{"lost", unknown(call.ReasonConnectionLost), false},
		{"an error", &result{outcome: call.OutcomeAnswered, status: 500}, false},
		{"an error after a refused call", &result{outcome: call.OutcomeAnswered, status: 500, overloaded: true}, true},
	} {
		if got := overloadFailure(c.res); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Guards against a refusal that marks failures long after it.
func TestRecentRefusalExpires(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	r := &refusalTracker{now: func() time.Time { return now }}
	if r.recent() {
		t.Error("recent before any refusal")
	}
	r.record()
	now = now.Add(refusalWindow)
	if !r.recent() {
		t.Error("not recent right after a refusal")
	}
	now = now.Add(time.Millisecond)
	if r.recent() {
		t.Error("recent for too long")
	}
}

// Guards against requests that their callers have given up and that make a backend server look faulty.
func TestCanceledRequestsAreNotCounted(t *testing.T) {
	f := &failureMeter{now: time.Now}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 20 {
		f.record(ctx, unknown(call.ReasonTimeout))
	}
	if f.percent() != 0 {
		t.Errorf("%d%% failures", f.percent())
	}
	for range 20 {
		f.record(t.Context(), unknown(call.ReasonTimeout))
	}
	if f.percent() != 100 {
		t.Errorf("%d%% failures of requests that were not answered", f.percent())
	}
}
