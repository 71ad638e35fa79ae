package routing

import (
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

const (
	// consecutiveFailureThreshold ejects an upstream that has stopped working.
	consecutiveFailureThreshold = 5
	// minHealthCalls and failureRateThreshold eject an upstream that fails part of its calls: at least half out of 20 or more.
	minHealthCalls       = 20
	failureRateThreshold = 0.5
	// healthWindow is how long calls are counted.
	healthWindow = 10 * time.Second
	// ejectionStep is the duration of the first ejection; each further one is a step longer, up to maxEjection.
	ejectionStep = 5 * time.Second
	maxEjection  = time.Minute
)

// health counts the recent failures of one upstream. Refusals are not failures: an upstream that sheds load works.
type health struct {
	windowStart         time.Time
	calls               int
	failures            int
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time // end of the last ejection
}

func (u *upstream) recordHealth(now time.Time, info DoneInfo) {
	h := &u.health
	if now.Sub(h.windowStart) >= healthWindow {
		h.windowStart, h.calls, h.failures = now, 0, 0
	}
	switch {
	case info.Outcome == call.OutcomeAnswered:
		h.calls++
		h.consecutiveFailures = 0
	case isFailure(info):
		h.calls++
		h.failures++
		h.consecutiveFailures++
	}
	// Each call to an upstream that can't be reached waits for the dial timeout, so one failure is enough.
	if info.Reason == call.ReasonUnreachable {
		h.consecutiveFailures = consecutiveFailureThreshold
	}
}

// isFailure reports whether the result shows a fault of this upstream. A timeout doesn't: a slow deeper service causes
// timeouts at all upstreams above it.
func isFailure(info DoneInfo) bool {
	switch info.Reason {
	case call.ReasonConnectionLost, call.ReasonBackendCrashed, call.ReasonBackendRefused, call.ReasonTruncated,
		call.ReasonIncarnationGone, call.ReasonWrongUpstream, call.ReasonUnreachable:
		return true
	default:
		return false
	}
}

func (u *upstream) shouldEject() bool {
	h := &u.health
	return h.consecutiveFailures >= consecutiveFailureThreshold ||
		(h.calls >= minHealthCalls && float64(h.failures) >= failureRateThreshold*float64(h.calls))
}

func (u *upstream) eject(now time.Time) {
	h := &u.health
	h.ejections++
	h.ejectedUntil = now.Add(min(time.Duration(h.ejections)*ejectionStep, maxEjection))
	h.windowStart, h.calls, h.failures, h.consecutiveFailures = now, 0, 0, 0
}

func (u *upstream) ejected(now time.Time) bool {
	return now.Before(u.health.ejectedUntil)
}

// mayEject reports whether one more ejection leaves at least half of the upstreams.
func (p *Picker) mayEject(now time.Time) bool {
	return p.ejectedCount(now)+1 <= len(p.upstreams)/2
}

func (p *Picker) ejectedCount(now time.Time) int {
	n := 0
	for _, u := range p.upstreams {
		if u.ejected(now) {
			n++
		}
	}
	return n
}

// limitEjections ends ejections until at most half of the upstreams are ejected, the one that ends soonest first.
func (p *Picker) limitEjections(now time.Time) {
	for n := p.ejectedCount(now); n > len(p.upstreams)/2; n-- {
		p.firstEjectionToEnd(now).health.ejectedUntil = now
	}
}

func (p *Picker) firstEjectionToEnd(now time.Time) *upstream {
	var soonest *upstream
	for _, u := range p.upstreams {
		if u.ejected(now) && (soonest == nil || u.health.ejectedUntil.Before(soonest.health.ejectedUntil)) {
			soonest = u
		}
	}
	return soonest
}
