package chainretry

import (
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

const (
	// bucketsPerWindow is the number of buckets in a window. Counts leave the window one bucket at a time.
	bucketsPerWindow = 20
	// historyBuckets covers the current window and the one before it, and one bucket more for retries, so that no
	// position of the window contains more retries than were counted.
	historyBuckets = 2*bucketsPerWindow + 1
	// spreadBuckets is the number of buckets over which the retries that are left are spread.
	spreadBuckets = 4
	// maxCarry bounds the requests of earlier windows that count, relative to those of the current one. Requests that
	// have moved to other daemons are counted there and must not be counted twice.
	maxCarry = 2.5
	// progressLevels is the number of values of Priority.Progress that are told apart; higher ones count as the highest.
	progressLevels = call.MaxProgress + 1
	numLevels      = call.NumClasses * progressLevels
)

// Priority orders the retries that compete for a Limiter.
type Priority struct {
	// Class is the class of the root request.
	Class call.Class
	// Progress is the number of calls that the same chain has completed before this one.
	Progress int
}

// level returns the rank of a priority, from 0 to numLevels-1. Class counts before Progress.
func (p Priority) level() int {
	class := min(int(p.Class), call.NumClasses-1)
	return class*progressLevels + min(max(p.Progress, 0), progressLevels-1)
}

// Config holds the parameters of a Limiter.
type Config struct {
	// Ratio is the ratio of retries to requests that retries stay below.
	Ratio float64
	// Slack is the number of retries per window that are allowed whatever the number of requests. It may be a fraction:
	// the daemon's part of a number for the whole deployment.
	Slack float64
	// Window is the length of the sliding window. Zero means DefaultWindow.
	Window time.Duration
}

// DefaultWindow is used where a Config has no window.
const DefaultWindow = 10 * time.Second

// Limiter limits the retries to one service. It is not safe for concurrent use.
type Limiter struct {
	cfg         Config
	bucketWidth time.Duration
	newest      int64 // number of the newest bucket since the Unix epoch
	buckets     [historyBuckets]bucket
}

// bucket holds the counts of one bucket.
type bucket struct {
	requests float64
	retries  float64
	// allowance is the number of retries that the bucket may take, set when the first one is asked for.
	allowance    float64
	hasAllowance bool
	asked        [numLevels]int
	allowed      [numLevels]int
}

// New returns a Limiter without counts.
func New(cfg Config) *Limiter {
	if cfg.Window <= 0 {
		cfg.Window = DefaultWindow
	}
	return &Limiter{cfg: cfg, bucketWidth: max(cfg.Window/bucketsPerWindow, 1)}
}

// SetLimits changes the ratio and the slack and keeps the counts.
func (l *Limiter) SetLimits(ratio, slack float64) {
	l.cfg.Ratio, l.cfg.Slack = ratio, slack
}

// RecordFirst counts the first attempt of a call. retriedShare is the probability, from 0 to 1, that the call belongs
// to a request that is itself a retry: the bound counts such calls as retries.
func (l *Limiter) RecordFirst(now time.Time, retriedShare float64) {
	b := l.advance(now)
	b.requests++
	b.retries += retriedShare
}

// Allow reports whether a call may be sent once more, and counts the retry if so.
func (l *Limiter) Allow(now time.Time, p Priority) bool {
	b := l.advance(now)
	level := p.level()
	b.asked[level]++
	left := l.left()
	if !b.hasAllowance {
		b.allowance, b.hasAllowance = b.retries+l.newAllowance(left), true
	}
	if left < 1 || b.retries+1+l.reserved(b, level) > b.allowance {
		return false
	}
	b.retries++
	b.allowed[level]++
	return true
}

// newAllowance returns the number of retries that a bucket may take: those that have just left the window, so that a
// steady demand gets all that the bound allows, and a part of the others.
func (l *Limiter) newAllowance(left float64) float64 {
	freed := min(l.at(bucketsPerWindow+1).retries, left)
	return max(freed+(left-freed)/spreadBuckets, 1)
}

// reserved returns the number of retries that the newest bucket keeps for higher levels: as many as these asked for in
// the bucket before, less those that they have already got.
func (l *Limiter) reserved(newest *bucket, level int) float64 {
	previous := l.at(1)
	reserved := 0
	for higher := level + 1; higher < numLevels; higher++ {
		reserved += max(previous.asked[higher]-newest.allowed[higher], 0)
	}
	return float64(reserved)
}

// left returns the number of retries that the window still allows.
func (l *Limiter) left() float64 {
	current := l.requestsBetween(0, bucketsPerWindow)
	most := current
	for _, shift := range []int{bucketsPerWindow / 2, bucketsPerWindow} {
		most = max(most, min(l.requestsBetween(shift, shift+bucketsPerWindow), maxCarry*current))
	}
	used := 0.0
	for age := range bucketsPerWindow + 1 {
		used += l.at(age).retries
	}
	return l.cfg.Ratio*most + l.cfg.Slack - used
}

// requestsBetween returns the requests in the buckets of the ages from first to before end, in buckets.
func (l *Limiter) requestsBetween(first, end int) float64 {
	sum := 0.0
	for age := first; age < end; age++ {
		sum += l.at(age).requests
	}
	return sum
}

// at returns the bucket of an age, in buckets before the newest one.
func (l *Limiter) at(age int) *bucket {
	return &l.buckets[(l.newest-int64(age)+historyBuckets)%historyBuckets]
}

// advance clears the buckets that have left the history and returns the newest one. If the clock has gone back, it
// returns the newest bucket so far.
func (l *Limiter) advance(now time.Time) *bucket {
	n := now.UnixNano() / int64(l.bucketWidth)
	for i := int64(1); i <= min(n-l.newest, historyBuckets); i++ {
		l.buckets[(l.newest+i)%historyBuckets] = bucket{}
	}
	l.newest = max(n, l.newest)
	return l.at(0)
}
