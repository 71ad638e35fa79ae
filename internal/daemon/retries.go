package daemon

import (
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/chainretry"
	"guavapoint.example/guavapoint/internal/core/retry"
)

// retryLimits are this daemon's limits on the retries to each service.
type retryLimits struct {
	ratio float64 // of the retries to the requests in a window
	slack float64 // retries per window beyond the ratio
}

// retryLimiter limits the retries to one service. It is not safe for concurrent use.
type retryLimiter interface {
	RecordFirst(now time.Time, retriedShare float64)
	Allow(now time.Time, p chainretry.Priority) bool
	SetLimits(ratio, slack float64)
}

// presetLimiter limits the retries by the ratio of the active preset, where the deployment sets no common bound.
type presetLimiter struct {
	*retry.RatioLimiter
}

// RecordFirst implements retryLimiter. Callers without an ingress pass on the retry budget of the root request, which
// bounds the calls of retried requests.
func (l presetLimiter) RecordFirst(now time.Time, _ float64) { l.RatioLimiter.RecordFirst(now) }

// Allow implements retryLimiter.
func (l presetLimiter) Allow(now time.Time, p chainretry.Priority) bool {
	return l.AllowClass(now, p.Class)
}

// SetLimits implements retryLimiter. The slack is fixed.
func (l presetLimiter) SetLimits(ratio, _ float64) { l.SetRatio(ratio) }

// serviceRetries limits the retries to one service. It is safe for concurrent use.
type serviceRetries struct {
	mu      sync.Mutex
	limiter retryLimiter
}

// recordFirst records the first attempt of a request, to which the limits relate.
func (r *serviceRetries) recordFirst(now time.Time, retriedShare float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.RecordFirst(now, retriedShare)
}

// allow reports whether a request may be sent once more, and counts the retry if so.
func (r *serviceRetries) allow(now time.Time, p chainretry.Priority) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limiter.Allow(now, p)
}

func (r *serviceRetries) setLimits(l retryLimits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.SetLimits(l.ratio, l.slack)
}

const (
	// retryRatioShare is the share of the deployment's retry ratio that the daemons use. The rest is a margin: requests
	// may move from one daemon to another, and the windows of the daemons are not aligned.
	retryRatioShare = 0.7
	// retrySlackShare is the share of the deployment's additional retries that the daemons use. It is smaller, because
	// daemons that don't reach each other count fewer members and so take larger parts.
	retrySlackShare = 0.5
)

// newRetryLimiter returns a limiter with the current limits.
func (d *Daemon) newRetryLimiter() retryLimiter {
	l := d.retryLimits()
	if d.settings.Ingress == nil {
		return presetLimiter{retry.NewRatioLimiter(retry.RatioLimiterConfig{Ratio: l.ratio, Floor: retry.DefaultFloor})}
	}
	return chainretry.New(chainretry.Config{Ratio: l.ratio, Slack: l.slack, Window: d.settings.Bounds.RetryWindow})
}

// retryLimits returns this daemon's limits. With an ingress they are its part of the bounds that hold for all daemons
// together. It needs no coordination: each daemon applies the same ratio to its own requests and takes an equal part of
// the additional number. Without an ingress the ratio is that of the active preset.
func (d *Daemon) retryLimits() retryLimits {
	if d.settings.Ingress == nil {
		ratio := retry.DefaultRatio
		if _, doc := d.config.Current(); doc != nil {
			ratio = doc.ActivePreset().RetryRatio
		}
		return retryLimits{ratio: ratio}
	}
	b := d.settings.Bounds
	alive := 0
	for _, r := range d.members.records() {
		if r.Alive() {
			alive++
		}
	}
	return retryLimits{
		ratio: retryRatioShare * b.RetryRatio,
		slack: retrySlackShare * float64(b.RetrySlack) / float64(max(alive, 1)),
	}
}
