package retry

import (
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// ratioBuckets is the number of buckets in a window. Old attempts leave the window one bucket, a tenth of it, at a
// time.
const ratioBuckets = 10

// Default values of a RatioLimiterConfig.
const (
	// DefaultRatio is the ratio in the design's preset "ordinary".
	DefaultRatio = 0.1
	// DefaultWindow is long enough to contain some first attempts to a service with a few calls per second.
	DefaultWindow = 10 * time.Second
	// DefaultFloor is in retries per window. With DefaultWindow it is one retry per second, below 1% of the 160 calls/s
	// of a daemon at the target size, and so can't sustain an overload.
	DefaultFloor = 10
)

// classShares holds, by class, the share of the allowed retries up to which the class may retry. Under overload the
// least important requests are refused most often; without the shares their retries would leave none to the others.
var classShares = [call.NumClasses]float64{
	call.ClassLow:      0.4,
	call.ClassNormal:   0.6,
	call.ClassHigh:     0.8,
	call.ClassCritical: 1,
}

// RatioLimiterConfig holds the parameters of a RatioLimiter.
type RatioLimiterConfig struct {
	// Ratio is the ratio of retries to recent first attempts that retries stay below. Zero allows none beyond Floor.
	Ratio float64
	// Window is the time for which an attempt counts as recent. Zero means DefaultWindow.
	Window time.Duration
	// Floor is the number of retries in each window that are allowed whatever the ratio. Without it a service with
	// fewer than 1/Ratio calls in a window could never be retried. Zero means none.
	Floor int
}

// RatioLimiter keeps the retries to one service below a ratio of the recent first attempts. It is not safe for
// concurrent use.
type RatioLimiter struct {
	cfg         RatioLimiterConfig
	bucketWidth time.Duration
	newest      int64 // number of the newest bucket since the Unix epoch
	buckets     [ratioBuckets]attempts
	total       attempts // sum of the buckets
}

// attempts counts the first attempts and the retries of a bucket or a window.
type attempts struct {
	first, retries int
}

// NewRatioLimiter returns a RatioLimiter without attempts.
func NewRatioLimiter(cfg RatioLimiterConfig) *RatioLimiter {
	if cfg.Window <= 0 {
		cfg.Window = DefaultWindow
	}
	return &RatioLimiter{cfg: cfg, bucketWidth: max(cfg.Window/ratioBuckets, 1)}
}

// RecordFirst records a first attempt.
func (r *RatioLimiter) RecordFirst(now time.Time) {
	b := r.advance(now)
	b.first++
	r.total.first++
}

// Allow reports whether one more retry is within Floor or keeps retries below the ratio, and records the retry if so.
func (r *RatioLimiter) Allow(now time.Time) bool {
	return r.AllowClass(now, call.ClassCritical)
}

// AllowClass is Allow for a request of the given class. Classes below critical are limited to a part of the ratio, both
// in the whole window and in its newest tenth.
func (r *RatioLimiter) AllowClass(now time.Time, c call.Class) bool {
	b := r.advance(now)
	ratio := r.cfg.Ratio * classShares[min(c, call.ClassCritical)]
	if r.total.retries >= r.cfg.Floor && !r.withinRatio(b, ratio, c) {
		return false
	}
	b.retries++
	r.total.retries++
	return true
}

// withinRatio reports whether one more retry stays below the class's ratio. b is the newest bucket.
func (r *RatioLimiter) withinRatio(b *attempts, ratio float64, c call.Class) bool {
	// Without the check of the newest bucket, all retries that the whole window allows would be spent at once when an
	// overload begins. First attempts then become fewer, and no retry would be left for critical requests until the
	// spent ones have left the window.
	return r.total.allowsRetry(ratio) && (c == call.ClassCritical || b.allowsRetry(ratio))
}

// allowsRetry reports whether one more retry stays below the ratio.
func (a attempts) allowsRetry(ratio float64) bool {
	return float64(a.retries+1) < ratio*float64(a.first)
}

// SetRatio changes the ratio and keeps the recorded attempts.
func (r *RatioLimiter) SetRatio(ratio float64) {
	r.cfg.Ratio = ratio
}

// advance clears the buckets that have left the window and returns the newest one. If the clock has gone back, it
// returns the newest bucket so far.
func (r *RatioLimiter) advance(now time.Time) *attempts {
	n := now.UnixNano() / int64(r.bucketWidth)
	steps := n - r.newest
	for i := int64(1); i <= min(steps, ratioBuckets); i++ {
		r.clear(&r.buckets[(r.newest+i)%ratioBuckets])
	}
	r.newest = max(n, r.newest)
	return &r.buckets[r.newest%ratioBuckets]
}

// clear empties a bucket and subtracts it from the total.
func (r *RatioLimiter) clear(b *attempts) {
	r.total.first -= b.first
	r.total.retries -= b.retries
	*b = attempts{}
}
