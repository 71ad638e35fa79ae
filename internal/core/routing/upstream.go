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
	// latencyHalfAge is the age at which a latency counts half. An upstream that was slow is so tried again.
	latencyHalfAge = 2 * time.Second
	// loadMaxAge is the age at which a reported load counts no more. Requests take a few hundred milliseconds, so the load
	// is another one after that.
	loadMaxAge = time.Second
	// slowFactor and slowMargin (in seconds) tell a slow upstream from the fastest one. Upstreams of one service differ by
	// up to three times; the margin covers a round trip between regions.
	slowFactor = 3
	slowMargin = 0.1
	// slowProbeInterval spaces the requests with which each daemon tries a slow upstream again.
	slowProbeInterval = 500 * time.Millisecond
	// minRampShare is the share of calls that a cold upstream begins with.
	minRampShare = 0.1
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

	reportedLoad     float64 // load at loadAt
	loadAt           time.Time
	inFlightAtReport int // inFlight at loadAt

	failureRate   float64 // share of recent requests that failed, at failureRateAt
	failureRateAt time.Time

	leavingUntil time.Time
	health       health
}

// usable reports whether a call may be sent, cutoffs aside.
func (u *upstream) usable(now time.Time, exclude []string) bool {
	return !u.ejected(now) && !now.Before(u.leavingUntil) && !slices.Contains(exclude, u.Address)
}

// belowCutoff reports whether a valid hint puts the rank below the upstream's cutoff.
func (u *upstream) belowCutoff(now time.Time, r call.Rank) bool {
	return r < u.cutoff && now.Sub(u.cutoffAt) < HintTTL
}

// recordCutoff takes the cutoff from a response of the upstream. Other results carry none.
func (u *upstream) recordCutoff(now time.Time, info DoneInfo) {
	if info.Outcome == call.OutcomeAnswered || refusedByUpstream(info) {
		u.cutoff = info.Cutoff
		u.cutoffAt = now
	}
}

// recordLoad takes the load from a response of the upstream.
func (u *upstream) recordLoad(now time.Time, info DoneInfo) {
	if info.Load >= 0 && (info.Outcome == call.OutcomeAnswered || refusedByUpstream(info)) {
		u.reportedLoad, u.loadAt, u.inFlightAtReport = info.Load, now, u.inFlight
	}
}

// load estimates the share of the upstream's limit that is taken: what it last reported, which counts less with its age,
// and what this daemon has sent since.
func (u *upstream) load(now time.Time) float64 {
	slots := float64(max(u.Slots, 1))
	own := float64(u.inFlight) / slots
	fresh := max(1-now.Sub(u.loadAt).Seconds()/loadMaxAge.Seconds(), 0)
	sent := float64(max(u.inFlight-u.inFlightAtReport, 0)) / slots
	return max(own, u.reportedLoad*fresh+sent)
}

func refusedByUpstream(info DoneInfo) bool {
	return info.Outcome == call.OutcomeNotRun && (info.Reason == call.ReasonOverload || info.Reason == call.ReasonDeadline)
}

func (u *upstream) recordLatency(now time.Time, d time.Duration) {
	u.latency = movingAverage(u.latency, d.Seconds())
	u.latencyAt = now
}

// recentLatency returns the average latency, which counts less the older it is.
func (u *upstream) recentLatency(now time.Time) float64 {
	if u.latency == 0 {
		return 0
	}
	age := max(now.Sub(u.latencyAt), 0)
	return max(u.latency/(1+age.Seconds()/latencyHalfAge.Seconds()), minLatency)
}

// rampShare returns the share of calls that a starting upstream takes, rising to 1 over the ramp. An upstream that
// returns from ejection starts again.
func (u *upstream) rampShare(now time.Time, ramp time.Duration) float64 {
	since := u.ServingSince
	if u.health.ejectedUntil.After(since) {
		since = u.health.ejectedUntil
	}
	share := now.Sub(since).Seconds() / ramp.Seconds()
	return min(max(share, minRampShare), 1)
}

func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + latencyWeight*(sample-old)
}
