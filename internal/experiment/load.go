package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// loadGenerator sends the requests of all callers and records their results.
type loadGenerator struct {
	*clock
	deployment *Deployment
	sys        system
	rng        *rand.Rand
	rate       float64 // requests per second, all operations
	aggressive bool    // callers resend failed requests up to maxAggressiveResends times
	nextID     int
	measured   measurements
}

// rootRequest is a request of a caller, over all its attempts.
type rootRequest struct {
	op       *Operation
	id       string
	from     zone
	attempts int
}

// startStreams starts one stream of requests for each operation and region.
func (l *loadGenerator) startStreams() {
	for i := range l.deployment.Operations {
		for region := range regions {
			l.stream(&l.deployment.Operations[i], region)
		}
	}
}

// stream sends one request at a random time in each interval. This keeps the number of requests in a measurement window
// nearly constant, so that changes of the goodput aren't caused by random variation of the arrivals. A change of the
// rate takes effect at the next interval.
func (l *loadGenerator) stream(op *Operation, region int) {
	interval := time.Duration(float64(time.Second) * regions / (l.rate * op.DemandShare))
	l.after(time.Duration(l.rng.Int64N(int64(interval))), func() {
		l.nextID++
		from := zone(region*zonesPerRegion + l.rng.IntN(zonesPerRegion))
		l.send(&rootRequest{op: op, id: fmt.Sprint("request-", l.nextID), from: from})
	})
	l.after(interval, func() { l.stream(op, region) })
}

// send sends one attempt of a request. The caller waits no longer than callerWait and ignores a later result.
func (l *loadGenerator) send(q *rootRequest) {
	r := &request{op: q.op, rank: call.NewRank(q.op.Class, q.id), deadline: l.now + timeout}
	ended := false
	end := func(res callResult) {
		if ended {
			return
		}
		ended = true
		l.finish(q, r, res)
	}
	l.measured.recordSent(l.now, q)
	l.sys.submit(q.from, r, func(res callResult) { end(res) })
	l.after(l.callerWait(), func() { end(callResult{reason: call.ReasonTimeout}) })
}

// callerWait returns how long a caller waits for the result of an attempt. In the naive system the caller's hop itself
// repeats the call after each timeout, so that the caller waits for all of these calls.
func (l *loadGenerator) callerWait() time.Duration {
	if _, ok := l.sys.(*naiveSystem); ok {
		return timeout * (naiveRetries + 1)
	}
	return timeout
}

// finish records the result of an attempt and schedules a resend if the caller is aggressive and attempts remain.
func (l *loadGenerator) finish(q *rootRequest, r *request, res callResult) {
	l.measured.recordResult(l.now, q, r, res)
	q.attempts++
	if res.succeeded() || !l.aggressive || q.attempts > maxAggressiveResends {
		return
	}
	delay := aggressiveResendDelay/2 + time.Duration(l.rng.Int64N(int64(aggressiveResendDelay)))
	l.after(delay, func() { l.send(q) })
}

// measurements counts the results of attempts.
type measurements struct {
	buckets                  [][call.NumClasses]int // successful attempts per bucketWidth, by time of completion
	triggerStart, triggerEnd time.Duration
	criticalSent             int // critical attempts sent during the trigger
	criticalRefused          int // those that failed during the trigger other than by a timeout
	maxRetries               int // of one attempt
}

const bucketWidth = 100 * time.Millisecond

func (m *measurements) recordSent(now time.Duration, q *rootRequest) {
	if q.op.Class == call.ClassCritical && now >= m.triggerStart && now < m.triggerEnd {
		m.criticalSent++
	}
}

func (m *measurements) recordResult(now time.Duration, q *rootRequest, req *request, res callResult) {
	m.maxRetries = max(m.maxRetries, req.retries)
	if res.succeeded() {
		b := int(now / bucketWidth)
		for len(m.buckets) <= b {
			m.buckets = append(m.buckets, [call.NumClasses]int{})
		}
		m.buckets[b][q.op.Class]++
		return
	}
	if q.op.Class == call.ClassCritical && now >= m.triggerStart && now < m.triggerEnd &&
		res.reason != call.ReasonTimeout {
		m.criticalRefused++
	}
}

// successes returns the number of successful attempts of a time span, by class.
func (m *measurements) successes(from, to time.Duration) (sum [call.NumClasses]int) {
	for b := int(from / bucketWidth); b < min(int(to/bucketWidth), len(m.buckets)); b++ {
		for c, n := range m.buckets[b] {
			sum[c] += n
		}
	}
	return sum
}
