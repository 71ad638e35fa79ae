package experiment

import (
	"math/rand/v2"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

const (
	// timeout is the default of the preset "ordinary" in the design.
	timeout = 2 * time.Second
	// maxAggressiveResends is how often a caller that retries hard resends a failed request.
	maxAggressiveResends = 10
	// aggressiveResendDelay is the mean delay before such a resend.
	aggressiveResendDelay = 100 * time.Millisecond
)

// request is one attempt of a caller, through all hops.
type request struct {
	op       *Operation
	rank     call.Rank
	deadline time.Duration
	retries  int
}

// bytes returns the size of the request on a hop.
func (r *request) bytes(hop int) int64 {
	if hop == 0 {
		return r.op.RequestBytes
	}
	return emptyMessageBytes
}

// callResult is the response to one hop.
type callResult struct {
	outcome       call.Outcome
	failed        bool // answered by the backend server with an error, because a child call failed
	reason        call.Reason
	cutoff        call.Rank
	unusedRetries int
}

func (r callResult) succeeded() bool {
	return r.outcome == call.OutcomeAnswered && !r.failed
}

func (r callResult) bytes(op *Operation) int64 {
	if r.succeeded() {
		return op.ResponseBytes
	}
	return emptyMessageBytes
}

// system is what callers send requests to.
type system interface {
	submit(from zone, r *request, reply func(callResult))
	setLeaving(region int, leaving bool)
}

// randomSelfTime draws the own time of one request. Half of it is fixed and half exponential, so that single requests take a
// multiple of the mean.
func randomSelfTime(rng *rand.Rand, mean time.Duration, slow float64) time.Duration {
	return time.Duration(float64(mean) * slow * (0.5 + 0.5*rng.ExpFloat64()))
}

// faults are the conditions that a case changes while it runs.
type faults struct {
	slowdown map[string]float64 // factor on own times by service
}

func (f *faults) slowdownFactor(service string) float64 {
	if s, ok := f.slowdown[service]; ok {
		return s
	}
	return 1
}
