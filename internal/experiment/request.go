package experiment

import (
	"math/rand/v2"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

const (
	// timeout is the default timeout of the preset "ordinary" in the design.
	timeout = 2 * time.Second
	// maxAggressiveResends is how many times an aggressive caller resends a failed request.
	maxAggressiveResends = 10
	// aggressiveResendDelay is the mean delay before each resend of an aggressive caller.
	aggressiveResendDelay = 100 * time.Millisecond
)

// request is one attempt of a caller, over all hops.
type request struct {
	op       *Operation
	rank     call.Rank
	deadline time.Duration
	retries  int // at all hops together
}

// bytes returns the size of the request on a hop.
func (r *request) bytes(hop int) int64 {
	if hop == 0 {
		return r.op.RequestBytes
	}
	return emptyMessageBytes
}

// callResult is the result of a call on one hop.
type callResult struct {
	outcome       call.Outcome
	failed        bool // answered by the backend server with an error, because a child call failed
	reason        call.Reason
	cutoff        call.Rank // of the upstream, at the time of the response
	unusedRetries int       // of those granted to the call
}

// succeeded reports whether the backend server answered without an error.
func (r callResult) succeeded() bool {
	return r.outcome == call.OutcomeAnswered && !r.failed
}

// bytes returns the size of the response.
func (r callResult) bytes(op *Operation) int64 {
	if r.succeeded() {
		return op.ResponseBytes
	}
	return emptyMessageBytes
}

// system is a deployment to which callers send requests.
type system interface {
	// submit sends a request of a caller in a zone and runs reply when the result reaches the caller.
	submit(from zone, r *request, reply func(callResult))
	// setLeaving drains the backend servers of a region except those of the bottleneck, or starts them again.
	setLeaving(region int, leaving bool)
}

// randomSelfTime returns the self time of one request. Half of the mean is fixed and half is exponentially distributed,
// so that single requests take a multiple of the mean. The slowdown is a factor on both halves.
func randomSelfTime(rng *rand.Rand, mean time.Duration, slowdown float64) time.Duration {
	return time.Duration(float64(mean) * slowdown * (0.5 + 0.5*rng.ExpFloat64()))
}

// faults holds the faults that a case injects while it runs.
type faults struct {
	slowdown map[string]float64 // factors on self times, by service; 1 if absent
}

func (f *faults) slowdownFactor(service string) float64 {
	if s, ok := f.slowdown[service]; ok {
		return s
	}
	return 1
}
