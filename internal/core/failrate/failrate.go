// Package failrate measures which share of the requests that a backend server began has failed lately.
//
// It answers one load pattern: a backend server fails part of its requests, or all of them, while its health check is
// good. Failures are fast, so such a server looks idle and attracts work, and a request that needs several calls rarely
// completes. Its daemon sees all of its answers and tells the callers with each of them.
package failrate

import (
	"math"
	"time"
)

const (
	// halfLife is the age at which a request counts half. A server with a few requests a second is judged within seconds,
	// and one that has recovered is cleared as fast.
	halfLife = time.Second
	// minWeight is the weight of requests below which nothing is said: one failure of a few says little.
	minWeight = 4
)

// Meter counts the ends of requests with weights that fall with their age. It is not safe for concurrent use.
type Meter struct {
	updatedAt time.Time
	ended     float64
	failed    float64
}

// Record counts the end of a request.
func (m *Meter) Record(now time.Time, failed bool) {
	m.decay(now)
	m.ended++
	if failed {
		m.failed++
	}
}

// FailureShare returns the share of requests that failed, from 0 to 1, and 0 while too few are known.
func (m *Meter) FailureShare(now time.Time) float64 {
	m.decay(now)
	if m.ended < minWeight {
		return 0
	}
	return m.failed / m.ended
}

// decay lowers the weights. A clock that steps back changes nothing.
func (m *Meter) decay(now time.Time) {
	if passed := now.Sub(m.updatedAt); passed > 0 {
		weight := math.Exp2(-passed.Seconds() / halfLife.Seconds())
		m.ended *= weight
		m.failed *= weight
		m.updatedAt = now
	}
}
