// Package failrate measures the failure rate of a backend server: the share of failures among the requests that it has
// recently started.
//
// It addresses a backend server that fails some or all of its requests while its health check passes. Failures are
// fast, so such a server appears idle and attracts requests, and a request that needs several calls rarely completes.
// The server's daemon sees all of its answers and reports the failure rate to the callers with each answer.
package failrate

import (
	"math"
	"time"
)

const (
	// halfLife is the age at which a request counts half. The failures of a server with a few requests per second show
	// within seconds, and so does its recovery.
	halfLife = time.Second
	// minWeight is the total weight of requests below which FailureRate returns 0, because one failure among few
	// requests says little about the server.
	minWeight = 4
)

// Meter counts ended and failed requests with weights that fall exponentially with their age. The zero value is ready
// for use. It is not safe for concurrent use.
type Meter struct {
	updatedAt time.Time // to which the weights have decayed
	ended     float64   // total weight of ended requests
	failed    float64   // total weight of failed requests
}

// Record counts the end of a request.
func (m *Meter) Record(now time.Time, failed bool) {
	m.decay(now)
	m.ended++
	if failed {
		m.failed++
	}
}

// FailureRate returns the weighted share of requests that failed, from 0 to 1, and 0 while their weight is below
// minWeight.
func (m *Meter) FailureRate(now time.Time) float64 {
	m.decay(now)
	if m.ended < minWeight {
		return 0
	}
	return m.failed / m.ended
}

// decay lowers the weights to their values at now. It has no effect if the clock has gone back.
func (m *Meter) decay(now time.Time) {
	if passed := now.Sub(m.updatedAt); passed > 0 {
		weight := math.Exp2(-passed.Seconds() / halfLife.Seconds())
		m.ended *= weight
		m.failed *= weight
		m.updatedAt = now
	}
}
