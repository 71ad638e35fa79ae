package routing

import (
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Errors of Pick and PickAddress, besides *LinkBudgetError. With each of them the call was not sent.
var (
	// ErrNoUpstream reports that no upstream is known, or that all are excluded, leaving or ejected.
	ErrNoUpstream = errors.New("no upstream available")
	// ErrBelowCutoff reports that the rank is below the cutoff of every upstream that could be chosen.
	ErrBelowCutoff = errors.New("rank below the cutoff of all upstreams")
)

const (
	// DefaultRamp is the time in which a cold upstream reaches its full share of calls.
	DefaultRamp = 10 * time.Second
	// HintTTL is how long a cutoff that an upstream reported is valid (a cutoff hint).
	HintTTL = time.Second
	// ProbeShare is the share of the requests below the cutoff that are sent anyway, so that a lower cutoff is noticed.
	ProbeShare = 0.02
	// leavingTTL is how long an upstream that answered "leaving" is left out. Before it ends, membership has removed
	// the upstream or the restarted daemon has announced a new incarnation.
	leavingTTL = 5 * time.Second
)

// Config holds the parameters of a Picker.
type Config struct {
	// Zone and Region are those of the calling daemon.
	Zone, Region string
	// Ramp is the time in which a cold upstream reaches its full share of calls. Zero means DefaultRamp.
	Ramp time.Duration
	// Link is the daemon's budget on the region link, shared by its pickers. Nil means no limit.
	Link *Link
}

// Candidate is an upstream as the membership list describes it.
type Candidate struct {
	Address      string
	Incarnation  call.Incarnation
	Zone, Region string
	Slots        int
	ServingSince time.Time
}

// Picked is the upstream that a call was assigned to.
type Picked struct {
	Candidate
	// Charge is the call's use of the region link, nil for a call that stays in the region. The caller ends it when the
	// call has ended.
	Charge *Charge
}

// PickInfo describes the call that needs an upstream.
type PickInfo struct {
	Rank call.Rank
	// Bytes is the part of the request that the daemon holds and sends at once, in bytes. It is no size that a caller has
	// only stated.
	Bytes int64
	// Upload marks an operation whose request body is large. Uploads are limited to their share of the link.
	Upload bool
	// Idempotent marks a request that may be sent again if it fails.
	Idempotent bool
	// Exclude holds the addresses of upstreams that have already refused this request.
	Exclude []string
	// Among holds the addresses of the only upstreams that may be chosen; empty means all.
	Among []string
	// AvoidRateLimited is set for a request that an upstream has refused because of the rate limit of its backend server.
	// An upstream with such a limit is then chosen only if no other has room.
	AvoidRateLimited bool
}

// DoneInfo describes how a call ended. Cutoff, Load and FailureRate come from the header of the answer, which the
// upstream's daemon also sends when it refuses the call.
type DoneInfo struct {
	Latency time.Duration
	Outcome call.Outcome
	Reason  call.Reason
	// Cutoff is the upstream's cutoff rank.
	Cutoff call.Rank
	// Load is the upstream's running and waiting requests relative to its limit; negative if unknown.
	Load float64
	// FailureRate is the share of the upstream's recent requests that failed, from 0 to 1.
	FailureRate float64
	// RateLimited means that the backend server limits the rate of its requests.
	RateLimited bool
	// Failed means that the answer was a server error. Its latency says nothing about how long requests take.
	Failed bool
}

// Picker chooses among the upstreams of one service. It is not safe for concurrent use.
type Picker struct {
	cfg       Config
	rng       *rand.Rand
	upstreams []*upstream
	byAddress map[string]*upstream
	latency   float64 // moving average over all upstreams, in seconds
	deviation float64 // moving average of the distances of the latencies from it, in seconds
}

// NewPicker returns a picker without upstreams. The random source is used only while the picker's owner holds its
// mutex.
func NewPicker(cfg Config, rng *rand.Rand) *Picker {
	if cfg.Ramp <= 0 {
		cfg.Ramp = DefaultRamp
	}
	return &Picker{cfg: cfg, rng: rng, byAddress: make(map[string]*upstream)}
}

// Update replaces the list of upstreams. What was recorded about an upstream is kept while its incarnation stays the
// same. Of several candidates with the same address the first one counts.
func (p *Picker) Update(now time.Time, cs []Candidate) {
	known := p.byAddress
	p.byAddress = make(map[string]*upstream, len(cs))
	p.upstreams = make([]*upstream, 0, len(cs))
	for _, c := range cs {
		if p.byAddress[c.Address] != nil {
			continue
		}
		u := known[c.Address]
		if u == nil || u.Incarnation != c.Incarnation {
			u = &upstream{}
		}
		u.Candidate = c
		u.tier = p.tierOf(c)
		p.byAddress[c.Address] = u
		p.upstreams = append(p.upstreams, u)
	}
	p.limitEjections(now)
}

func (p *Picker) tierOf(c Candidate) tier {
	switch {
	case c.Region != p.cfg.Region:
		return tierRemote
	case c.Zone != p.cfg.Zone:
		return tierRegion
	default:
		return tierZone
	}
}

// Pick chooses an upstream for a call and counts the call as in flight there until Done is called. Its errors are
// ErrNoUpstream, ErrBelowCutoff and *LinkBudgetError.
func (p *Picker) Pick(now time.Time, info PickInfo) (Picked, error) {
	choices, anyUsable := p.choose(now, info)
	if !anyUsable {
		return Picked{}, ErrNoUpstream
	}
	u := choices.best()
	if u == nil {
		if u = p.probe(now, info); u == nil {
			return Picked{}, ErrBelowCutoff
		}
	}
	charge, err := p.chargeLink(now, u, info)
	if err != nil {
		return Picked{}, err
	}
	u.inFlight++
	u.lastPick = now
	return Picked{u.Candidate, charge}, nil
}

// PickAddress is Pick for a call that is bound to one upstream: it applies the cutoff and the byte budget and counts
// the call as in flight. Ejection, leaving and Exclude are not checked.
func (p *Picker) PickAddress(now time.Time, address string, info PickInfo) (Picked, error) {
	u := p.byAddress[address]
	if u == nil {
		return Picked{}, ErrNoUpstream
	}
	if u.belowCutoff(now, info.Rank) && p.rng.Float64() >= ProbeShare {
		return Picked{}, ErrBelowCutoff
	}
	charge, err := p.chargeLink(now, u, info)
	if err != nil {
		return Picked{}, err
	}
	u.inFlight++
	return Picked{u.Candidate, charge}, nil
}

// Done records the end of a call that Pick or PickAddress has assigned to the address. An address that is no longer
// known is ignored.
func (p *Picker) Done(now time.Time, address string, info DoneInfo) {
	u := p.byAddress[address]
	if u == nil {
		return
	}
	u.inFlight = max(u.inFlight-1, 0)
	u.recordCutoff(now, info)
	u.recordLoad(now, info)
	u.recordFailureRate(now, info)
	u.recordRateLimit(info)
	if info.Outcome == call.OutcomeNotRun && info.Reason == call.ReasonLeaving {
		u.leavingUntil = now.Add(leavingTTL)
	}
	if info.Reason == call.ReasonTimeout {
		u.recordLatency(now, info.Latency) // a lower bound: without the timeout the call would have taken longer
	}
	if info.Outcome == call.OutcomeAnswered && !info.Failed {
		u.recordLatency(now, info.Latency)
		p.recordLatency(info.Latency.Seconds())
	}
	p.updateSlow(now, u, info)
	u.recordHealth(now, info)
	if u.shouldEject() && p.mayEject(now) {
		u.eject(now)
	}
}

// choose collects the choices among the usable upstreams whose cutoff allows the rank. The boolean reports whether any
// upstream is usable at all, whatever its cutoff.
func (p *Picker) choose(now time.Time, info PickInfo) (choices, bool) {
	var cs choices
	anyUsable := false
	for _, u := range p.upstreams {
		if !u.usable(now, info) {
			continue
		}
		anyUsable = true
		if u.belowCutoff(now, info.Rank) {
			continue
		}
		p.addChoice(&cs, now, u, info)
	}
	return cs, anyUsable
}

// addChoice adds an upstream to the choices: by its score if it has room, otherwise by its expected wait. One that the
// request avoids because of its rate limit is treated as full. So is an outlier that may not be probed, which is chosen
// after all others that are.
func (p *Picker) addChoice(cs *choices, now time.Time, u *upstream, info PickInfo) {
	load := p.effectiveLoad(now, u)
	outlier := p.outlier(now, u)
	avoided := info.AvoidRateLimited && u.rateLimited
	if avoided || load > spillThreshold(u.tier, info) || (outlier && !p.mayProbeOutlier(now, u, info)) {
		cs.addFallback(u, p.expectedWait(now, u, load), outlier)
		return
	}
	cs.add(u, p.score(now, u), p.rng)
}

// probe chooses an upstream as if there were no cutoffs, for a random ProbeShare of the calls. For the others, and if
// no upstream is usable, it returns nil.
func (p *Picker) probe(now time.Time, info PickInfo) *upstream {
	if p.rng.Float64() >= ProbeShare {
		return nil
	}
	var cs choices
	for _, u := range p.upstreams {
		if u.usable(now, info) {
			p.addChoice(&cs, now, u, info)
		}
	}
	return cs.best()
}

// chargeLink charges the budget of the region link for a call to another region. Without a Link it always may be sent.
func (p *Picker) chargeLink(now time.Time, u *upstream, info PickInfo) (*Charge, error) {
	if u.tier != tierRemote || p.cfg.Link == nil {
		return nil, nil
	}
	return p.cfg.Link.begin(now, info)
}

// score estimates the delay of a further call at the upstream, in seconds. Lower is better.
func (p *Picker) score(now time.Time, u *upstream) float64 {
	latency := p.expectedLatency(now, u)
	slots := float64(max(u.Slots, 1))
	return latency * float64(u.inFlight+1) / (slots * u.rampShare(now, p.cfg.Ramp))
}

// lowestLatency returns the shortest recent latency of the upstreams in seconds, 0 while none is known.
func (p *Picker) lowestLatency(now time.Time) float64 {
	lowest := 0.0
	for _, u := range p.upstreams {
		if l := u.recentLatency(now); l > 0 && (lowest == 0 || l < lowest) {
			lowest = l
		}
	}
	return lowest
}

// updateSlow marks an upstream as slow if its average latency is much longer than that of the fastest one. The first
// answer within the limit clears the mark and replaces the average.
func (p *Picker) updateSlow(now time.Time, u *upstream, info DoneInfo) {
	if info.Failed || (info.Outcome != call.OutcomeAnswered && info.Reason != call.ReasonTimeout) {
		return
	}
	limit := slowFactor*p.lowestLatency(now) + slowMargin
	switch {
	case info.Outcome == call.OutcomeAnswered && info.Latency.Seconds() <= limit:
		if u.slow {
			u.latency = info.Latency.Seconds()
		}
		u.slow = false
	case u.latency > limit:
		u.slow = true
	}
}

// effectiveLoad returns the share of an upstream's limit that is in use, plus 1 for a slow upstream, which so counts as
// full: its calls hold their slots for long, so its load alone would show that late. It is probed with one request at a
// time, because all requests sent before the answer arrives would be late.
func (p *Picker) effectiveLoad(now time.Time, u *upstream) float64 {
	load := u.load(now)
	probe := u.inFlight == 0 && now.Sub(u.lastPick) >= slowProbeInterval
	if u.slow && !probe {
		return load + 1
	}
	return load
}

// recordLatency records the latency of an answer from any upstream, in seconds.
func (p *Picker) recordLatency(seconds float64) {
	p.latency = movingAverage(p.latency, seconds)
	p.deviation = movingAverage(p.deviation, math.Abs(seconds-p.latency))
}

// LatencyBound returns a time within which most calls are answered: the average of the recent latencies and twice their
// mean deviation. It is 0 while none is known.
func (p *Picker) LatencyBound() time.Duration {
	return time.Duration((p.latency + 2*p.deviation) * float64(time.Second))
}

// expectedLatency returns an upstream's recent latency in seconds, or the average over all upstreams while its own is
// unknown.
func (p *Picker) expectedLatency(now time.Time, u *upstream) float64 {
	if latency := u.recentLatency(now); latency > 0 {
		return latency
	}
	return max(p.latency, minLatency)
}

// expectedWait estimates how long a request would wait at an upstream without room, in seconds.
func (p *Picker) expectedWait(now time.Time, u *upstream, load float64) float64 {
	return p.expectedLatency(now, u) * load / u.rampShare(now, p.cfg.Ramp)
}
