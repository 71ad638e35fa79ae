package routing

import (
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

const (
	// consecutiveFailureThreshold is the number of consecutive failures at which an upstream that has stopped working
	// is ejected.
	consecutiveFailureThreshold = 5
	// minHealthCalls and failureRateThreshold eject an upstream that fails only part of its calls: at least half of
	// them, once there are 20 or more in a window.
	minHealthCalls       = 20
	failureRateThreshold = 0.5
	// healthWindow is the time after which the counts of calls and failures start again from zero.
	healthWindow = 10 * time.Second
	// ejectionStep is the duration of an upstream's first ejection. Each further one is longer by the same time, up to
	// maxEjection.
	ejectionStep = 5 * time.Second
	maxEjection  = time.Minute
)

// health counts the recent calls and failures of one upstream. A refusal is not a failure: an upstream that sheds load
// still works.
type health struct {
	windowStart         time.Time
	calls               int
	failures            int
	consecutiveFailures int
	ejections           int       // number so far, sets the length of the next one
	ejectedUntil        time.Time // end of the last ejection
}

// recordHealth counts a call that has ended. Calls that were neither answered nor failed by the upstream don't count.
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
	// Each call to an unreachable upstream waits for the dial timeout, so a single failure ejects it.
	if info.Reason == call.ReasonUnreachable {
		h.consecutiveFailures = consecutiveFailureThreshold
	}
}

// isFailure reports whether the call failed through a fault of this upstream. A timeout doesn't count: a slow service
// further down the call graph causes timeouts at all upstreams above it.
func isFailure(info DoneInfo) bool {
	switch info.Reason {
	case call.ReasonConnectionLost, call.ReasonBackendCrashed, call.ReasonBackendRefused, call.ReasonTruncated,
		call.ReasonIncarnationGone, call.ReasonWrongUpstream, call.ReasonUnreachable:
		return true
	default:
		return false
	}
}

// shouldEject reports whether the failures have reached one of the thresholds.
func (u *upstream) shouldEject() bool {
	h := &u.health
	return h.consecutiveFailures >= consecutiveFailureThreshold ||
		(h.calls >= minHealthCalls && float64(h.failures) >= failureRateThreshold*float64(h.calls))
}

// eject leaves the upstream out for the duration of its next ejection and resets its counts.
func (u *upstream) eject(now time.Time) {
	h := &u.health
	h.ejections++
	h.ejectedUntil = now.Add(min(time.Duration(h.ejections)*ejectionStep, maxEjection))
	h.windowStart, h.calls, h.failures, h.consecutiveFailures = now, 0, 0, 0
}

func (u *upstream) ejected(now time.Time) bool {
	return now.Before(u.health.ejectedUntil)
}

// mayEject reports whether at least half of the upstreams remain after one more ejection.
func (p *Picker) mayEject(now time.Time) bool {
	return p.ejectedCount(now)+1 <= len(p.upstreams)/2
}

// ejectedCount returns the number of upstreams that are ejected now.
func (p *Picker) ejectedCount(now time.Time) int {
	n := 0
	for _, u := range p.upstreams {
		if u.ejected(now) {
			n++
		}
	}
	return n
}

// limitEjections ends ejections early until at most half of the upstreams are ejected. It starts with the ejection that
// would end first.
func (p *Picker) limitEjections(now time.Time) {
	for n := p.ejectedCount(now); n > len(p.upstreams)/2; n-- {
		p.firstEjectionToEnd(now).health.ejectedUntil = now
	}
}

// firstEjectionToEnd returns the upstream whose ejection ends first, or nil if none is ejected.
func (p *Picker) firstEjectionToEnd(now time.Time) *upstream {
	var soonest *upstream
	for _, u := range p.upstreams {
		if u.ejected(now) && (soonest == nil || u.health.ejectedUntil.Before(soonest.health.ejectedUntil)) {
			soonest = u
		}
	}
	return soonest
}
