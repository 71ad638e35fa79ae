package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"guavapoint.example/guavapoint/internal/core/call"
)

const (
	// The burst is the number of requests that may start at once after fewer have started before: minBurst and the
	// requests of burstTime. It lets the limit be used in full by uneven arrivals, and is small compared with the requests
	// of the seconds over which a backend server measures its limit.
	minBurst  = 4
	burstTime = 250 * time.Millisecond
	// reservedBurst is the number of requests of the burst that only ClassHigh and ClassCritical may use, so that such a
	// request starts at once although less important ones use up the rate.
	reservedBurst = 2
	// minRate replaces a lower limit, in requests per second. One request now and then must be sent, because only its
	// response shows that the limit has changed.
	minRate = 0.25
)

// rateLimiter limits the rate at which requests start to the rate that the backend server states. All requests to a
// backend server pass through the one controller beside it, so that the limit holds for all entries together without
// any agreement between them. The zero rateLimiter has no limit.
type rateLimiter struct {
	limit  call.RateLimit
	bucket *rate.Limiter // nil without a limit
	demand demand
}

// set changes the limit. The bucket of a new limit is empty: before, requests started without counting.
func (l *rateLimiter) set(now time.Time, limit call.RateLimit) {
	if limit == l.limit {
		return
	}
	l.limit = limit
	if !limit.Limited() {
		l.bucket = nil
		return
	}
	perSecond := max(limit.PerSecond(), minRate)
	burst := minBurst + int(perSecond*burstTime.Seconds())
	if l.bucket == nil {
		l.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		l.bucket.AllowN(now, burst)
		return
	}
	l.bucket.SetLimitAt(now, rate.Limit(perSecond))
	l.bucket.SetBurstAt(now, burst)
}

// allows reports whether the limit allows a request of the given rank to start.
func (l *rateLimiter) allows(now time.Time, r call.Rank) bool {
	if l.bucket == nil {
		return true
	}
	needed := 1.0
	if onlyUnreserved(r) {
		needed += reservedBurst
	}
	return l.bucket.TokensAt(now) >= needed
}

// take counts a request that starts.
func (l *rateLimiter) take(now time.Time) {
	if l.bucket != nil {
		l.bucket.AllowN(now, 1)
	}
}

// load returns the demand relative to the limit. While some of the burst is left it is less, down to 0. It is 0 without a
// limit.
func (l *rateLimiter) load(now time.Time) float64 {
	if l.bucket == nil {
		return 0
	}
	l.demand.advance(now)
	usable := float64(l.bucket.Burst() - reservedBurst)
	left := l.bucket.TokensAt(now) - reservedBurst
	used := 1 - min(max(left, 0), usable)/usable
	return used * max(l.demand.perSecond/float64(l.bucket.Limit()), 1)
}

// queueBound returns the number of waiting requests that the limit allows to start within the queue delay, and one that
// the burst may let start. Others would only wait to be refused.
func (l *rateLimiter) queueBound(delay time.Duration) int {
	if l.bucket == nil {
		return math.MaxInt
	}
	return int(float64(l.bucket.Limit())*delay.Seconds()) + 1
}

// demandTime is the time constant of the average of the demand. It covers several round trips between regions, after
// which the callers have adapted to the load that they were told.
const demandTime = time.Second

// demand is an exponentially weighted average of the requests offered per second.
type demand struct {
	perSecond float64
	at        time.Time
}

// advance lets the average decay until now.
func (d *demand) advance(now time.Time) {
	if now.After(d.at) {
		d.perSecond *= math.Exp(-now.Sub(d.at).Seconds() / demandTime.Seconds())
		d.at = now
	}
}

// record counts an offered request.
func (d *demand) record(now time.Time) {
	d.advance(now)
	d.perSecond += 1 / demandTime.Seconds()
}
