// Package throttle limits the requests that an entry admits while a service deep in the call graph is overloaded.
//
// The deep service sheds calls, so the requests above it fail after other services have spent work on them, while every
// service that they reach first has free slots and admits them. If only the deep service sheds, few whole requests
// complete: if it sheds half of the calls, a request that makes four of them completes one time in sixteen.
//
// A Throttle records how the requests of one route end at one entry and admits a fraction such that most of the
// admitted requests complete. The rest is refused at the entry, before any work is done. Only failures caused by
// overload count: a fault of an upstream fails requests at any load, so that admitting fewer would only reduce the
// answers. Requests of classes above HighestClass are not throttled: they complete on the capacity that the others
// leave.
package throttle

import (
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

const (
	// Interval is the shortest time between two changes of the fraction. Requests take a few hundred milliseconds, so
	// after a shorter interval the effect of the last change would not yet be visible.
	Interval = 500 * time.Millisecond
	// minSamples is the number of ended requests that a change needs if any of them failed; fewer give too uncertain a
	// failure rate.
	minSamples = 8
	// highFailureRate is the failure rate above which the fraction is reduced, and lowFailureRate the one below which
	// it rises.
	highFailureRate = 0.15
	lowFailureRate  = 0.08
	// minReductionFactor is the least factor of one reduction, because the failures of an interval partly come from
	// requests admitted before the last change.
	minReductionFactor = 0.5
	// firstStep is the first rise of the fraction after a reduction, and stepGrowth the factor between it and each
	// further rise. Small steps keep the load near the capacity of the deep service; growing steps open the throttle
	// soon after an overload.
	firstStep  = 0.06
	stepGrowth = 1.6
	// minAdmitFraction is the lower bound of the fraction. With fewer requests admitted, the end of an overload would
	// be noticed late.
	minAdmitFraction = 0.1
	// returningCallerFactor multiplies the random number of callers that come back after a refusal, which raises their
	// chance of admission by its inverse. They are at most as many as were refused, so that even if all of them are
	// admitted, little more than the fraction is.
	returningCallerFactor = 0.4
	// HighestClass is the highest class that is throttled. Higher classes are always admitted.
	HighestClass = call.ClassNormal
)

// Throttle controls the fraction of one route's requests that an entry admits. It is not safe for concurrent use.
type Throttle struct {
	admitFraction  float64
	longestTimeout time.Duration // of any caller of the route; first attempts have it
	intervalStart  time.Time
	ended          int
	failures       int
	nextStep       float64 // next rise of admitFraction
}

// New returns a Throttle that admits all requests.
func New() *Throttle {
	return &Throttle{admitFraction: 1, nextStep: firstStep}
}

// Allow reports whether to admit a request of the given class whose caller waits for callerTimeout. u is a random
// number, uniform in [0, 1). A caller that comes back after a refusal has less time left than at its first attempt:
// less than 3/4 of the longest timeout marks it. It is preferred, because after another refusal it has no time for a
// further attempt.
func (t *Throttle) Allow(class call.Class, callerTimeout time.Duration, u float64) bool {
	t.longestTimeout = max(t.longestTimeout, callerTimeout)
	if callerTimeout < t.longestTimeout*3/4 {
		u *= returningCallerFactor
	}
	return class > HighestClass || u < t.admitFraction
}

// AdmitFraction returns the fraction of the requests that is admitted, from minAdmitFraction to 1.
func (t *Throttle) AdmitFraction() float64 {
	return t.admitFraction
}

// Done records the end of a request that was admitted. overloaded means that it failed because of overload. Done
// changes the fraction at most once per Interval.
func (t *Throttle) Done(now time.Time, overloaded bool) {
	if t.intervalStart.IsZero() {
		t.intervalStart = now
	}
	t.ended++
	if overloaded {
		t.failures++
	}
	if now.Sub(t.intervalStart) < Interval {
		return
	}
	// Without failures the fraction rises after any number of requests: while few are admitted, waiting for minSamples
	// would delay the recovery. Failures need minSamples to count.
	if t.failures > 0 && t.ended < minSamples {
		return
	}
	t.adjust(float64(t.failures) / float64(t.ended))
	t.intervalStart, t.ended, t.failures = now, 0, 0
}

// adjust reduces or raises the fraction by the failure rate of the last interval.
func (t *Throttle) adjust(failureRate float64) {
	switch {
	case failureRate > highFailureRate:
		t.admitFraction *= max(1-failureRate, minReductionFactor)
		t.nextStep = firstStep
	case failureRate < lowFailureRate:
		t.admitFraction += t.nextStep
		t.nextStep *= stepGrowth
	}
	t.admitFraction = min(max(t.admitFraction, minAdmitFraction), 1)
	t.nextStep = min(t.nextStep, 1)
}
