package admission

import (
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
}

// set changes the limit. The bucket of a new limit is empty: before, requests started without counting.
func (l *rateLimiter) set(now time.Time, limit call.RateLimit) {
	if limit == l.limit {
		return
	}
	l.limit = limit
	if !limit.Limited {
		l.bucket = nil
		return
	}
	perSecond := max(limit.PerSecond, minRate)
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

// load returns the used share of the burst that all classes may use, from 0 to 1. It is 0 without a limit.
func (l *rateLimiter) load(now time.Time) float64 {
	if l.bucket == nil {
		return 0
	}
	usable := float64(l.bucket.Burst() - reservedBurst)
	left := l.bucket.TokensAt(now) - reservedBurst
	return 1 - min(max(left, 0), usable)/usable
}
