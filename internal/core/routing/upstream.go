package routing

import (
	"slices"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

const (
	// minLatency is the smallest latency used in estimates, in seconds, and replaces an unknown one. It is a round trip
	// within a zone (2 x 0.5 ms).
	minLatency = 0.001
	// latencyWeight is the weight of one sample in a moving average, of latencies or of answer sizes.
	latencyWeight = 0.1
	// latencyHalfAge is the age at which a latency counts half, so that an upstream that was slow is tried again.
	latencyHalfAge = 2 * time.Second
	// loadMaxAge is the age at which a reported load no longer counts. Requests take a few hundred milliseconds, so the
	// load has changed by then.
	loadMaxAge = time.Second
	// An upstream is slow if its latency exceeds slowFactor times that of the fastest upstream plus slowMargin (in
	// seconds). Upstreams of one service differ by up to three times; the margin covers a round trip between regions.
	slowFactor = 3
	slowMargin = 0.1
	// slowProbeInterval is the shortest time between requests with which a daemon probes a slow upstream.
	slowProbeInterval = 500 * time.Millisecond
	// minRampShare is the share of calls that a cold upstream gets at the start of the ramp.
	minRampShare = 0.1
)

// tier is the distance of an upstream: own zone, own region or another region. Lower is preferred.
type tier uint8

const (
	tierZone tier = iota
	tierRegion
	tierRemote
	numTiers
)

// upstream is a candidate with what the picker has recorded about it.
type upstream struct {
	Candidate
	tier     tier
	inFlight int

	latency   float64   // moving average in seconds, 0 while unknown
	latencyAt time.Time // time of the last sample
	slow      bool      // takes much longer than the fastest upstream, see updateSlow
	lastPick  time.Time // time of the last call that was sent here

	cutoff   call.Rank // calls of a lower rank are refused; received at cutoffAt
	cutoffAt time.Time

	reportedLoad     float64 // load that the upstream reported at loadAt
	loadAt           time.Time
	inFlightAtReport int // inFlight at loadAt

	failureRate   float64 // share of its recent requests that failed, reported at failureRateAt
	failureRateAt time.Time

	rateLimited bool // its backend server limits the rate of its requests, by its last answer

	leavingUntil time.Time // left out until then, because it answered "leaving"
	health       health
}

// usable reports whether a call may be sent to the upstream: it is not ejected, leaving or excluded. The cutoff is not
// checked. An upstream to which a call is limited may be ejected, because the call has no other.
func (u *upstream) usable(now time.Time, info PickInfo) bool {
	if now.Before(u.leavingUntil) || slices.Contains(info.Exclude, u.Address) {
		return false
	}
	if len(info.Among) > 0 {
		return slices.Contains(info.Among, u.Address)
	}
	return !u.ejected(now)
}

// belowCutoff reports whether the rank is below a valid cutoff, which is one that the upstream reported less than
// HintTTL ago.
func (u *upstream) belowCutoff(now time.Time, r call.Rank) bool {
	return r < u.cutoff && now.Sub(u.cutoffAt) < HintTTL
}

// recordCutoff records the cutoff from the header of the upstream's answer or refusal. Calls that ended without one
// carry none and are ignored.
func (u *upstream) recordCutoff(now time.Time, info DoneInfo) {
	if info.Outcome == call.OutcomeAnswered || refusedByUpstream(info) {
		u.cutoff = info.Cutoff
		u.cutoffAt = now
	}
}

// recordLoad records the load from the header of the upstream's answer or refusal, unless it is unknown (negative).
func (u *upstream) recordLoad(now time.Time, info DoneInfo) {
	if info.Load >= 0 && (info.Outcome == call.OutcomeAnswered || refusedByUpstream(info)) {
		u.reportedLoad, u.loadAt, u.inFlightAtReport = info.Load, now, u.inFlight
	}
}

// recordRateLimit records whether the backend server limits the rate of its requests. A refusal that doesn't say so proves
// nothing: the upstream's daemon may have just started.
func (u *upstream) recordRateLimit(info DoneInfo) {
	if info.RateLimited || info.Outcome == call.OutcomeAnswered {
		u.rateLimited = info.RateLimited
	}
}

// load estimates the share of the upstream's limit that is in use: the load that it last reported, which counts less
// the older it is, plus the calls that this daemon has sent since. It is at least the share of this daemon's own calls.
func (u *upstream) load(now time.Time) float64 {
	slots := float64(max(u.Slots, 1))
	own := float64(u.inFlight) / slots
	fresh := max(1-now.Sub(u.loadAt).Seconds()/loadMaxAge.Seconds(), 0)
	sent := float64(max(u.inFlight-u.inFlightAtReport, 0)) / slots
	return max(own, u.reportedLoad*fresh+sent)
}

// refusedByUpstream reports whether the upstream's daemon refused the call, for overload, the rate limit of its backend
// server or the call's deadline. Its refusal carries the cutoff, load and failure rate.
func refusedByUpstream(info DoneInfo) bool {
	return info.Outcome == call.OutcomeNotRun && (info.Reason == call.ReasonOverload ||
		info.Reason == call.ReasonRateLimit || info.Reason == call.ReasonDeadline)
}

// recordLatency adds a sample to the moving average of the latency.
func (u *upstream) recordLatency(now time.Time, d time.Duration) {
	u.latency = movingAverage(u.latency, d.Seconds())
	u.latencyAt = now
}

// recentLatency returns the average latency in seconds, or 0 while unknown. The average is reduced with its age, but
// not below minLatency.
func (u *upstream) recentLatency(now time.Time) float64 {
	if u.latency == 0 {
		return 0
	}
	age := max(now.Sub(u.latencyAt), 0)
	return max(u.latency/(1+age.Seconds()/latencyHalfAge.Seconds()), minLatency)
}

// rampShare returns the share of calls that the upstream gets. For a cold upstream it rises from minRampShare to 1 over
// the ramp. The ramp starts again when an ejection ends.
func (u *upstream) rampShare(now time.Time, ramp time.Duration) float64 {
	since := u.ServingSince
	if u.health.ejectedUntil.After(since) {
		since = u.health.ejectedUntil
	}
	share := now.Sub(since).Seconds() / ramp.Seconds()
	return min(max(share, minRampShare), 1)
}

// movingAverage returns the exponentially weighted moving average after a further sample. An average of 0 stands for
// none; the sample becomes the average then.
func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + latencyWeight*(sample-old)
}
