// Package throttle answers one load pattern: a deep service sheds calls, so the requests above it fail after their work
// was spent, while every service that they reach first has room and admits them. Shedding at the deep service alone
// then completes few whole requests: with four calls each, a request survives the loss of half of the calls one time in
// sixteen.
//
// A Throttle observes how the requests of one route end at one entry and lets a fraction pass such that most of those
// that pass complete. The rest is refused at the entry, before any work. Only failures that overload has caused count: a
// fault of an upstream fails requests at any load, so that fewer requests would only mean fewer answers. Routes of
// important classes are not throttled: they complete on what the others leave.
package throttle

import (
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

const (
	// Interval is the shortest time between two changes of the fraction. Requests take a few hundred milliseconds, so a
	// shorter one would judge a change before its effect shows.
	Interval = 500 * time.Millisecond
	// minSamples is the number of ended requests that a change needs; fewer say little about the rate of failures.
	minSamples = 8
	// highFailureShare is the share of failures above which less is let through, lowFailureShare the one below which more is.
	highFailureShare = 0.15
	lowFailureShare  = 0.08
	// minReductionFactor bounds one reduction, since the failures of an interval also come from the time before the last change.
	minReductionFactor = 0.5
	// firstStep is the first rise of the fraction after a reduction, stepGrowth the growth of the further ones: small steps keep
	// the load near what the deep service takes, and growing ones open the throttle soon after an overload.
	firstStep  = 0.06
	stepGrowth = 1.6
	// minAdmitFraction is the fraction that always passes, without which the end of an overload would not show soon.
	minAdmitFraction = 0.1
	// returningCallerFactor scales the chance of a refusal for callers that come back. They are at most as many as were refused,
	// so that with all of them admitted little more passes than the fraction allows.
	returningCallerFactor = 0.4
	// HighestClass is the highest class that is throttled.
	HighestClass = call.ClassNormal
)

// Throttle holds the fraction for one route. It is not safe for concurrent use.
type Throttle struct {
	admitFraction  float64
	longestTimeout time.Duration // wait of any caller of the route, which is that of its first attempts
	intervalStart  time.Time
	ended          int
	failures       int
	nextStep       float64 // next rise of the fraction
}

// New returns a throttle that lets everything pass.
func New() *Throttle {
	return &Throttle{admitFraction: 1, nextStep: firstStep}
}

// Allow decides on a request whose caller waits for wait. u is uniform in [0, 1). A caller that comes back after a refusal
// has less time left than one that comes first; it is preferred, since another refusal is its last.
func (t *Throttle) Allow(class call.Class, callerTimeout time.Duration, u float64) bool {
	t.longestTimeout = max(t.longestTimeout, callerTimeout)
	if callerTimeout < t.longestTimeout*3/4 {
		u *= returningCallerFactor
	}
	return class > HighestClass || u < t.admitFraction
}

// AdmitFraction returns the fraction of the requests that passes.
func (t *Throttle) AdmitFraction() float64 {
	return t.admitFraction
}

// Done reports the end of a request that was allowed. overloaded tells that it failed because of overload.
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
	// While little passes, waiting for more samples would hold back the recovery; failures are judged on enough of them.
	if t.failures > 0 && t.ended < minSamples {
		return
	}
	t.adjust(float64(t.failures) / float64(t.ended))
	t.intervalStart, t.ended, t.failures = now, 0, 0
}

func (t *Throttle) adjust(failureShare float64) {
	switch {
	case failureShare > highFailureShare:
		t.admitFraction *= max(1-failureShare, minReductionFactor)
		t.nextStep = firstStep
	case failureShare < lowFailureShare:
		t.admitFraction += t.nextStep
		t.nextStep *= stepGrowth
	}
	t.admitFraction = min(max(t.admitFraction, minAdmitFraction), 1)
	t.nextStep = min(t.nextStep, 1)
}
