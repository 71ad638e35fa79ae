package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// load sends requests and records what becomes of them.
type load struct {
	*clock
	d       *Deployment
	sys     system
	rng     *rand.Rand
	rate    float64 // requests per second, all operations
	hard    bool    // callers resend failed requests at once and often
	nextID  int
	records records
}

// root is a request as its caller sees it, over all resends.
type root struct {
	op    *Operation
	id    string
	from  place
	tries int
}

// run starts one stream of requests for each operation and region.
func (l *load) run() {
	for i := range l.d.Operations {
		for region := range regions {
			l.stream(&l.d.Operations[i], region)
		}
	}
}

// stream sends one request at a random time in each interval. This keeps the number of requests in a measurement window
// nearly constant, so that a change of the goodput is not an accident of the arrivals.
func (l *load) stream(op *Operation, region int) {
	interval := time.Duration(float64(time.Second) * regions / (l.rate * op.Share))
	l.after(time.Duration(l.rng.Int64N(int64(interval))), func() {
		l.nextID++
		from := place(region*zonesPerRegion + l.rng.IntN(zonesPerRegion))
		l.try(&root{op: op, id: fmt.Sprint("request-", l.nextID), from: from})
	})
	l.after(interval, func() { l.stream(op, region) })
}

// try sends a request or resends it. The caller waits no longer than the timeout.
func (l *load) try(q *root) {
	r := &request{op: q.op, rank: call.NewRank(q.op.Class, q.id), deadline: l.now + timeout}
	ended := false
	end := func(res result) {
		if ended {
			return
		}
		ended = true
		l.end(q, r, res)
	}
	l.records.tried(l.now, q)
	l.sys.submit(q.from, r, func(res result) { end(res) })
	l.after(l.patience(), func() { end(result{reason: call.ReasonTimeout}) })
}

// patience is how long a caller waits. In the naive system the caller's own hop repeats the call after each timeout.
func (l *load) patience() time.Duration {
	if _, ok := l.sys.(*naive); ok {
		return timeout * (naiveRetries + 1)
	}
	return timeout
}

func (l *load) end(q *root, r *request, res result) {
	l.records.ended(l.now, q, r, res)
	q.tries++
	if res.good() || !l.hard || q.tries > hardResends {
		return
	}
	delay := hardDelay/2 + time.Duration(l.rng.Int64N(int64(hardDelay)))
	l.after(delay, func() { l.try(q) })
}

// records collects the outcomes by time.
type records struct {
	good       [][call.NumClasses]int // per bucket of bucketWidth, by time of completion
	from, to   time.Duration          // of the trigger
	topTried   int                    // in the trigger
	topRefused int
	maxRetries int
}

const bucketWidth = 100 * time.Millisecond

func (r *records) tried(now time.Duration, q *root) {
	if q.op.Class == call.ClassCritical && now >= r.from && now < r.to {
		r.topTried++
	}
}

func (r *records) ended(now time.Duration, q *root, req *request, res result) {
	r.maxRetries = max(r.maxRetries, req.retries)
	if res.good() {
		b := int(now / bucketWidth)
		for len(r.good) <= b {
			r.good = append(r.good, [call.NumClasses]int{})
		}
		r.good[b][q.op.Class]++
		return
	}
	if q.op.Class == call.ClassCritical && now >= r.from && now < r.to && res.reason != call.ReasonTimeout {
		r.topRefused++
	}
}

// count returns the completed requests of a time span by class.
func (r *records) count(from, to time.Duration) (sum [call.NumClasses]int) {
	for b := int(from / bucketWidth); b < min(int(to/bucketWidth), len(r.good)); b++ {
		for c, n := range r.good[b] {
			sum[c] += n
		}
	}
	return sum
}
