package routing

import (
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

const (
	// outlierMargin is the difference above which an upstream's failure rate makes it an outlier compared with the mean
	// of the others. Where a service further down the call graph fails, all upstreams above it fail alike and none is
	// an outlier.
	outlierMargin = 0.15
	// failureRateMaxAge is how long a reported failure rate counts without a newer report. After that the upstream is
	// chosen again, also for requests that are not idempotent. It is twice outlierProbeInterval.
	failureRateMaxAge = 6 * time.Second
	// outlierProbeInterval is the shortest time between requests with which a daemon probes an outlier. Each probe may
	// fail and every daemon of the fleet sends them, so it is longer than slowProbeInterval.
	outlierProbeInterval = 3 * time.Second
)

// recordFailureRate records the failure rate from the header of the upstream's answer or refusal. Calls that ended
// without one carry none and are ignored.
func (u *upstream) recordFailureRate(now time.Time, info DoneInfo) {
	if info.FailureRate > 0 || info.Outcome == call.OutcomeAnswered || refusedByUpstream(info) {
		u.failureRate, u.failureRateAt = info.FailureRate, now
	}
}

// recentFailureRate returns the failure rate that the upstream's daemon reported last, or 0 if that report is older
// than failureRateMaxAge.
func (u *upstream) recentFailureRate(now time.Time) float64 {
	if !u.failureRateKnown(now) {
		return 0
	}
	return u.failureRate
}

// failureRateKnown reports whether the last reported failure rate still counts.
func (u *upstream) failureRateKnown(now time.Time) bool {
	return now.Sub(u.failureRateAt) <= failureRateMaxAge
}

// outlier reports whether an upstream's failure rate is above the mean of the other upstreams of its service by more
// than outlierMargin. Upstreams without a recent report are left out of the mean; if no other one has a report, none is
// an outlier.
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

// Outlier reports whether the upstream at the address fails clearly more of its requests than the others of its
// service. A request that failed at an outlier is worth sending to another upstream.
func (p *Picker) Outlier(now time.Time, address string) bool {
	u := p.byAddress[address]
	return u != nil && p.outlier(now, u)
}

// mayProbeOutlier reports whether the request may probe an outlier. Only idempotent requests do, because the probe may
// fail and the request may then be sent again. There is one probe at a time, and at most one per outlierProbeInterval.
func (p *Picker) mayProbeOutlier(now time.Time, u *upstream, info PickInfo) bool {
	return info.Idempotent && u.inFlight == 0 && now.Sub(u.lastPick) >= outlierProbeInterval
}
