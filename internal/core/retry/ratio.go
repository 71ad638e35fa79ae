package retry

import (
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// ratioBuckets divides the window, so that old attempts leave it in steps of a tenth.
const ratioBuckets = 10

// Defaults of a RatioConfig.
const (
	// DefaultRatio is the share of the preset "ordinary" in the design.
	DefaultRatio = 0.1
	// DefaultWindow is long enough to hold some first attempts of a service with a few calls per second.
	DefaultWindow = 10 * time.Second
	// DefaultFloor is one retry per second. It is below 1% of the 160 calls/s of a daemon at the target size, and so
	// can't carry an overload.
	DefaultFloor = 10
)

// classShare is the part of the allowed retries that a class may use up. Under overload the least important requests are
// refused most often; without the shares their retries would leave none to the others.
var classShare = [call.NumClasses]float64{
	call.ClassLow:      0.4,
	call.ClassNormal:   0.6,
	call.ClassHigh:     0.8,
	call.ClassCritical: 1,
}

// RatioConfig holds the parameters of a Ratio.
type RatioConfig struct {
	// Ratio is the share of the recent first attempts that retries stay below. Zero allows no retries.
	Ratio float64
	// Window is how long an attempt counts as recent. Zero means DefaultWindow.
	Window time.Duration
	// Floor is the number of retries in each window that are allowed at any share. Without it a service with fewer than
	// 1/Ratio calls in a window could never retry. Zero means none.
	Floor int
}

// Ratio keeps the retries to one service below a share of the recent first attempts. It is not safe for concurrent use.
type Ratio struct {
	cfg     RatioConfig
	width   time.Duration
	current int64 // number of the newest bucket since the Unix epoch
	buckets [ratioBuckets]attempts
	total   attempts
}

type attempts struct {
	first, retries int
}

// NewRatio returns a Ratio without attempts.
func NewRatio(cfg RatioConfig) *Ratio {
	if cfg.Window <= 0 {
		cfg.Window = DefaultWindow
	}
	return &Ratio{cfg: cfg, width: max(cfg.Window/ratioBuckets, 1)}
}

// First records a first attempt.
func (r *Ratio) First(now time.Time) {
	b := r.advance(now)
	b.first++
	r.total.first++
}

// Allow reports whether one more retry keeps retries below the share, and records the retry if it does.
func (r *Ratio) Allow(now time.Time) bool {
	return r.AllowClass(now, call.ClassCritical)
}

// AllowClass is Allow for a request of the given class. Classes below critical are stopped before the share is used up,
// and are also held to their part of it in the newest tenth of the window.
func (r *Ratio) AllowClass(now time.Time, c call.Class) bool {
	b := r.advance(now)
	share := r.cfg.Ratio * classShare[min(c, call.ClassCritical)]
	if r.total.retries >= r.cfg.Floor && !r.withinShare(b, share, c) {
		return false
	}
	b.retries++
	r.total.retries++
	return true
}

// withinShare reports whether one more retry keeps to the share.
func (r *Ratio) withinShare(b *attempts, share float64, c call.Class) bool {
	// Without the check of the newest bucket the retries that the whole window allows are spent at once when an overload
	// begins. As first attempts then become fewer, none would be left for critical requests until those have left the
	// window.
	return r.total.below(share) && (c == call.ClassCritical || b.below(share))
}

// below reports whether one more retry stays below the share.
func (a attempts) below(share float64) bool {
	return float64(a.retries+1) < share*float64(a.first)
}

// SetRatio changes the share and keeps the recorded attempts.
func (r *Ratio) SetRatio(ratio float64) {
	r.cfg.Ratio = ratio
}

// advance drops the buckets that have left the window and returns the newest one. A clock that steps back adds to the
// newest bucket.
func (r *Ratio) advance(now time.Time) *attempts {
	n := now.UnixNano() / int64(r.width)
	steps := n - r.current
	for i := int64(1); i <= min(steps, ratioBuckets); i++ {
		r.drop(&r.buckets[(r.current+i)%ratioBuckets])
	}
	r.current = max(n, r.current)
	return &r.buckets[r.current%ratioBuckets]
}

func (r *Ratio) drop(b *attempts) {
	r.total.first -= b.first
	r.total.retries -= b.retries
	*b = attempts{}
}
