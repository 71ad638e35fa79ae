package routing

import (
	"slices"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

const (
	// minLatency stands in for an unknown latency, in seconds: a round trip within a zone (2 x 0.5 ms).
	minLatency = 0.001
	// latencyWeight is the weight of one sample in a moving average of latencies.
	latencyWeight = 0.1
	// latencyMemory is the age at which a latency counts half. An upstream that was slow is so tried again.
	latencyMemory = 2 * time.Second
	// loadMemory is the age at which a reported load counts no more. Requests take a few hundred milliseconds, so the load
	// is another one after that.
	loadMemory = time.Second
	// slowFactor and slowMargin (in seconds) tell a slow upstream from the fastest one. Upstreams of one service differ by
	// up to three times; the margin covers a round trip between regions.
	slowFactor = 3
	slowMargin = 0.1
	// slowProbe spaces the requests with which each daemon tries a slow upstream again.
	slowProbe = 500 * time.Millisecond
	// rampStart is the share of calls that a cold upstream begins with.
	rampStart = 0.1
)

// tier is the distance of an upstream. Lower is preferred.
type tier uint8

const (
	tierZone tier = iota
	tierRegion
	tierRemote
	numTiers
)

// upstream is what the picker knows about one candidate.
type upstream struct {
	Candidate
	tier     tier
	inFlight int

	latency   float64 // moving average in seconds, 0 while unknown
	latencyAt time.Time
	slow      bool      // takes much longer than the fastest upstream
	lastPick  time.Time // time of the last call that was sent here

	cutoff   call.Rank
	cutoffAt time.Time

	reported     float64 // load at loadAt
	loadAt       time.Time
	sentAtReport int // inFlight at loadAt

	failRate   float64 // share of recent requests that failed, at failRateAt
	failRateAt time.Time

	leavingUntil time.Time
	health       health
}

// usable reports whether a call may be sent, cutoffs aside.
func (u *upstream) usable(now time.Time, exclude []string) bool {
	return !u.ejected(now) && !now.Before(u.leavingUntil) && !slices.Contains(exclude, u.Address)
}

// refuses reports whether a valid hint puts the rank below the upstream's cutoff.
func (u *upstream) refuses(now time.Time, r call.Rank) bool {
	return r < u.cutoff && now.Sub(u.cutoffAt) < HintTTL
}

// recordHint takes the cutoff from a response of the upstream. Other results carry none.
func (u *upstream) recordHint(now time.Time, r Result) {
	if r.Outcome == call.OutcomeAnswered || refusedByUpstream(r) {
		u.cutoff = r.Cutoff
		u.cutoffAt = now
	}
}

// recordLoad takes the load from a response of the upstream.
func (u *upstream) recordLoad(now time.Time, r Result) {
	if r.Load >= 0 && (r.Outcome == call.OutcomeAnswered || refusedByUpstream(r)) {
		u.reported, u.loadAt, u.sentAtReport = r.Load, now, u.inFlight
	}
}

// load estimates the share of the upstream's limit that is taken: what it last reported, which counts less with its age,
// and what this daemon has sent since.
func (u *upstream) load(now time.Time) float64 {
	slots := float64(max(u.Slots, 1))
	own := float64(u.inFlight) / slots
	fresh := max(1-now.Sub(u.loadAt).Seconds()/loadMemory.Seconds(), 0)
	sent := float64(max(u.inFlight-u.sentAtReport, 0)) / slots
	return max(own, u.reported*fresh+sent)
}

func refusedByUpstream(r Result) bool {
	return r.Outcome == call.OutcomeNotRun && (r.Reason == call.ReasonOverload || r.Reason == call.ReasonDeadline)
}

func (u *upstream) recordLatency(now time.Time, d time.Duration) {
	u.latency = average(u.latency, d.Seconds())
	u.latencyAt = now
}

// recentLatency returns the average latency, which counts less the older it is.
func (u *upstream) recentLatency(now time.Time) float64 {
	if u.latency == 0 {
		return 0
	}
	age := max(now.Sub(u.latencyAt), 0)
	return max(u.latency/(1+age.Seconds()/latencyMemory.Seconds()), minLatency)
}

// rampShare returns the share of calls that a starting upstream takes, rising to 1 over the ramp. An upstream that
// returns from ejection starts again.
func (u *upstream) rampShare(now time.Time, ramp time.Duration) float64 {
	since := u.ServingSince
	if u.health.until.After(since) {
		since = u.health.until
	}
	share := now.Sub(since).Seconds() / ramp.Seconds()
	return min(max(share, rampStart), 1)
}

func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + latencyWeight*(sample-old)
}
