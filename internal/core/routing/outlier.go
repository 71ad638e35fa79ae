package routing

import (
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

const (
	// outlierMargin is how much larger an upstream's share of failed requests is than the mean of the others when it is
	// passed over. Where a deeper service fails, all upstreams above it fail alike and none is an outlier.
	outlierMargin = 0.15
	// failingMemory is how long a reported share counts without a newer one. Then the upstream is tried again, also by
	// requests that can not be repeated. It is twice failingProbe.
	failingMemory = 6 * time.Second
	// failingProbe spaces the requests with which each daemon tries an outlier again. All daemons of a fleet do so, and
	// each probe may fail, so it is longer than slowProbe.
	failingProbe = 3 * time.Second
)

// recordFailing takes the share of failed requests from a response of the upstream's daemon. Other results carry none.
func (u *upstream) recordFailing(now time.Time, r Result) {
	if r.Failing > 0 || r.Outcome == call.OutcomeAnswered || refusedByUpstream(r) {
		u.failRate, u.failRateAt = r.Failing, now
	}
}

// recentFailing returns the share of failed requests that the upstream's daemon reported lately.
func (u *upstream) recentFailing(now time.Time) float64 {
	if !u.failingKnown(now) {
		return 0
	}
	return u.failRate
}

func (u *upstream) failingKnown(now time.Time) bool {
	return now.Sub(u.failRateAt) <= failingMemory
}

// outlier reports whether an upstream fails more of its requests than the others of its service do on average, as far
// as they have reported lately.
func (p *Picker) outlier(now time.Time, u *upstream) bool {
	own := u.recentFailing(now)
	if own <= outlierMargin {
		return false
	}
	others, sum := 0, 0.0
	for _, o := range p.upstreams {
		if o != u && o.failingKnown(now) {
			others++
			sum += o.failRate
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

// mayProbeFailing reports whether an outlier may be tried with this request. Only requests that can be repeated are used.
func (p *Picker) mayProbeFailing(now time.Time, u *upstream, q Query) bool {
	return q.Repeatable && u.inFlight == 0 && now.Sub(u.lastPick) >= failingProbe
}
