package routing

import (
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

const (
	// outlierMargin is how much larger an upstream's share of failed requests is than the mean of the others when it is
	// passed over. Where a deeper service fails, all upstreams above it fail alike and none is an outlier.
	outlierMargin = 0.15
	// failureRateMaxAge is how long a reported share counts without a newer one. Then the upstream is tried again, also by
	// requests that can not be repeated. It is twice outlierProbeInterval.
	failureRateMaxAge = 6 * time.Second
	// outlierProbeInterval spaces the requests with which each daemon tries an outlier again. All daemons of a fleet do so, and
	// each probe may fail, so it is longer than slowProbeInterval.
	outlierProbeInterval = 3 * time.Second
)

// recordFailureRate takes the share of failed requests from a response of the upstream's daemon. Other results carry none.
func (u *upstream) recordFailureRate(now time.Time, info DoneInfo) {
	if info.FailureRate > 0 || info.Outcome == call.OutcomeAnswered || refusedByUpstream(info) {
		u.failureRate, u.failureRateAt = info.FailureRate, now
	}
}

// recentFailureRate returns the share of failed requests that the upstream's daemon reported lately.
func (u *upstream) recentFailureRate(now time.Time) float64 {
	if !u.failureRateKnown(now) {
		return 0
	}
	return u.failureRate
}

func (u *upstream) failureRateKnown(now time.Time) bool {
	return now.Sub(u.failureRateAt) <= failureRateMaxAge
}

// outlier reports whether an upstream fails more of its requests than the others of its service do on average, as far
// as they have reported lately.
func (p *Picker) outlier(now time.Time, u *upstream) bool {
	own := u.recentFailureRate(now)
	if own <= outlierMargin {
		return false
	}
	others, sum := 0, 0.0
	for _, o := range p.upstreams {
		if o != u && o.failureRateKnown(now) {
			others++
			sum += o.failureRate
		}
	}
	return others > 0 && own > sum/float64(others)+outlierMargin
}

// Outlier reports whether the upstream at an address is one, so that a request that failed there is worth sending to
// another upstream.
func (p *Picker) Outlier(now time.Time, address string) bool {
	u := p.byAddress[address]
	return u != nil && p.outlier(now, u)
}

// mayProbeOutlier reports whether an outlier may be tried with this request. Only requests that can be repeated are used.
func (p *Picker) mayProbeOutlier(now time.Time, u *upstream, info PickInfo) bool {
	return info.Idempotent && u.inFlight == 0 && now.Sub(u.lastPick) >= outlierProbeInterval
}
