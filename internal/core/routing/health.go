package routing

import (
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

const (
	// failuresInRow ejects an upstream that has stopped working.
	failuresInRow = 5
	// healthCalls and failureShare eject an upstream that fails part of its calls: at least half out of 20 or more.
	healthCalls  = 20
	failureShare = 0.5
	// healthWindow is how long calls are counted.
	healthWindow = 10 * time.Second
	// ejectionStep is the duration of the first ejection; each further one is a step longer, up to maxEjection.
	ejectionStep = 5 * time.Second
	maxEjection  = time.Minute
)

// health counts the recent failures of one upstream. Refusals are not failures: an upstream that sheds load works.
type health struct {
	windowStart time.Time
	calls       int
	failures    int
	inRow       int
	ejections   int
	until       time.Time // end of the last ejection
}

func (u *upstream) recordHealth(now time.Time, r Result) {
	h := &u.health
	if now.Sub(h.windowStart) >= healthWindow {
		h.windowStart, h.calls, h.failures = now, 0, 0
	}
	switch {
	case r.Outcome == call.OutcomeAnswered:
		h.calls++
		h.inRow = 0
	case isFailure(r):
		h.calls++
		h.failures++
		h.inRow++
	}
	// Each call to an upstream that can't be reached waits for the dial timeout, so one failure is enough.
	if r.Reason == call.ReasonUnreachable {
		h.inRow = failuresInRow
	}
}

// isFailure reports whether the result shows a fault of this upstream. A timeout doesn't: a slow deeper service causes
// timeouts at all upstreams above it.
func isFailure(r Result) bool {
	switch r.Reason {
	case call.ReasonConnectionLost, call.ReasonBackendCrashed, call.ReasonBackendRefused, call.ReasonTruncated,
		call.ReasonIncarnationGone, call.ReasonWrongUpstream, call.ReasonUnreachable:
		return true
	default:
		return false
	}
}

func (u *upstream) failing() bool {
	h := &u.health
	return h.inRow >= failuresInRow ||
		(h.calls >= healthCalls && float64(h.failures) >= failureShare*float64(h.calls))
}

func (u *upstream) eject(now time.Time) {
	h := &u.health
	h.ejections++
	h.until = now.Add(min(time.Duration(h.ejections)*ejectionStep, maxEjection))
	h.windowStart, h.calls, h.failures, h.inRow = now, 0, 0, 0
}

func (u *upstream) ejected(now time.Time) bool {
	return now.Before(u.health.until)
}

// mayEject reports whether one more ejection leaves at least half of the upstreams.
func (p *Picker) mayEject(now time.Time) bool {
	return p.ejections(now)+1 <= len(p.upstreams)/2
}

func (p *Picker) ejections(now time.Time) int {
	n := 0
	for _, u := range p.upstreams {
		if u.ejected(now) {
			n++
		}
	}
	return n
}

// boundEjections ends ejections until at most half of the upstreams are ejected, the one that ends soonest first.
func (p *Picker) boundEjections(now time.Time) {
	for n := p.ejections(now); n > len(p.upstreams)/2; n-- {
		p.soonestEnd(now).health.until = now
	}
}

func (p *Picker) soonestEnd(now time.Time) *upstream {
	var soonest *upstream
	for _, u := range p.upstreams {
		if u.ejected(now) && (soonest == nil || u.health.until.Before(soonest.health.until)) {
			soonest = u
		}
	}
	return soonest
}
