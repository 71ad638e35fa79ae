package daemon

import (
	"context"
	"net/http"
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Guards against reporting "not run" to the caller although an earlier attempt was answered, and against discarding an
// answer because a later attempt failed.
func TestLaterFailureKeepsEarlierAnswer(t *testing.T) {
	answered := &result{outcome: call.OutcomeAnswered, status: http.StatusInternalServerError}
	for _, later := range []*result{notRun(call.ReasonOverload), unknown(call.ReasonConnectionLost)} {
		if got := combineResults(answered, later); got != answered {
			t.Errorf("combining an answer with a later %v gives %v, want the answer", later.outcome, got.outcome)
		}
	}
	better := &result{outcome: call.OutcomeAnswered, status: http.StatusOK}
	if got := combineResults(answered, better); got != better {
		t.Error("combining two answers doesn't give the later one")
	}
	if got := combineResults(unknown(call.ReasonConnectionLost),
		notRun(call.ReasonOverload)); got.outcome != call.OutcomeUnknown {
		t.Error("a request that may have run is reported as not run")
	}
}

// Guards against throttling the callers because of faults of an upstream that aren't overload, and against not
// throttling them when a service further down the call graph is overloaded.
func TestOverloadFailure(t *testing.T) {
	for _, c := range []struct {
		name string
		res  *result
		want bool
	}{
		{"refused by admission control", notRun(call.ReasonOverload), true},
		{"deadline passed before it ran", notRun(call.ReasonDeadline), true},
		{"no upstream", notRun(call.ReasonNoUpstream), false},
		{"refused by the backend server", notRun(call.ReasonBackendRefused), false},
		{"connection lost", unknown(call.ReasonConnectionLost), false},
		{"answered with an error", &result{outcome: call.OutcomeAnswered, status: 500}, false},
		{"answered with an error after a refused child call",
			&result{outcome: call.OutcomeAnswered, status: 500, overloaded: true}, true},
	} {
		if got := overloadFailure(c.res); got != c.want {
			t.Errorf("%s: overloadFailure is %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against counting a failure as overload long after the last refusal.
func TestRecentRefusalExpires(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	r := &refusalTracker{now: func() time.Time { return now }}
	if r.recent() {
		t.Error("a refusal is recent before any was recorded")
	}
	r.record()
	now = now.Add(refusalWindow)
	if !r.recent() {
		t.Error("a refusal isn't recent at the end of refusalWindow")
	}
	now = now.Add(time.Millisecond)
	if r.recent() {
		t.Error("a refusal is still recent after refusalWindow")
	}
}

// Guards against counting requests that their callers canceled as failures of the backend server.
func TestCanceledRequestsAreNotCounted(t *testing.T) {
	f := &failureMeter{now: time.Now}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 20 {
		f.record(ctx, unknown(call.ReasonTimeout))
	}
	if f.percent() != 0 {
		t.Errorf("%d%% failures after canceled requests only, want 0%%", f.percent())
	}
	for range 20 {
		f.record(t.Context(), unknown(call.ReasonTimeout))
	}
	if f.percent() != 100 {
		t.Errorf("%d%% failures after as many unanswered requests, want 100%%", f.percent())
	}
}
