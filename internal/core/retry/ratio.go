package retry

import (
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// ratioBuckets divides the window, so that old attempts leave it in steps of a tenth.
const ratioBuckets = 10

// Defaults of a RatioLimiterConfig.
const (
	// DefaultRatio is the share of the preset "ordinary" in the design.
	DefaultRatio = 0.1
	// DefaultWindow is long enough to hold some first attempts of a service with a few calls per second.
	DefaultWindow = 10 * time.Second
	// DefaultFloor is one retry per second. It is below 1% of the 160 calls/s of a daemon at the target size, and so
	// can't carry an overload.
	DefaultFloor = 10
)

// classShares is the part of the allowed retries that a class may use up. Under overload the least important requests are
// refused most often; without the shares their retries would leave none to the others.
var classShares = [call.NumClasses]float64{
	call.ClassLow:      0.4,
	call.ClassNormal:   0.6,
	call.ClassHigh:     0.8,
	call.ClassCritical: 1,
}

// RatioLimiterConfig holds the parameters of a RatioLimiter.
type RatioLimiterConfig struct {
	// Ratio is the share of the recent first attempts that retries stay below. Zero allows no retries.
	Ratio float64
	// Window is how long an attempt counts as recent. Zero means DefaultWindow.
	Window time.Duration
	// Floor is the number of retries in each window that are allowed at any share. Without it a service with fewer than
	// 1/Ratio calls in a window could never retry. Zero means none.
	Floor int
}

// RatioLimiter keeps the retries to one service below a share of the recent first attempts. It is not safe for concurrent use.
type RatioLimiter struct {
	cfg         RatioLimiterConfig
	bucketWidth time.Duration
	newest      int64 // number of the newest bucket since the Unix epoch
	buckets     [ratioBuckets]attempts
	total       attempts
}

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

// Allow reports whether one more retry keeps retries below the share, and records the retry if it does.
func (r *RatioLimiter) Allow(now time.Time) bool {
	return r.AllowClass(now, call.ClassCritical)
}

// AllowClass is Allow for a request of the given class. Classes below critical are stopped before the share is used up,
// and are also held to their part of it in the newest tenth of the window.
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

// withinRatio reports whether one more retry keeps to the share.
func (r *RatioLimiter) withinRatio(b *attempts, ratio float64, c call.Class) bool {
	// Without the check of the newest bucket the retries that the whole window allows are spent at once when an overload
	// begins. As first attempts then become fewer, none would be left for critical requests until those have left the
	// window.
	return r.total.allowsRetry(ratio) && (c == call.ClassCritical || b.allowsRetry(ratio))
}

// allowsRetry reports whether one more retry stays below the share.
func (a attempts) allowsRetry(ratio float64) bool {
	return float64(a.retries+1) < ratio*float64(a.first)
}

// SetRatio changes the share and keeps the recorded attempts.
func (r *RatioLimiter) SetRatio(ratio float64) {
	r.cfg.Ratio = ratio
}

// advance drops the buckets that have left the window and returns the newest one. A clock that steps back adds to the
// newest bucket.
func (r *RatioLimiter) advance(now time.Time) *attempts {
	n := now.UnixNano() / int64(r.bucketWidth)
	steps := n - r.newest
	for i := int64(1); i <= min(steps, ratioBuckets); i++ {
		r.clear(&r.buckets[(r.newest+i)%ratioBuckets])
	}
	r.newest = max(n, r.newest)
	return &r.buckets[r.newest%ratioBuckets]
}

func (r *RatioLimiter) clear(b *attempts) {
	r.total.first -= b.first
	r.total.retries -= b.retries
	*b = attempts{}
}
