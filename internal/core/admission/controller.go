package admission

import (
	"math"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// TickInterval is the longest time between two calls of Tick. It is a fifth of the default queue delay, so that a
// waiting request exceeds the delay by at most that.
const TickInterval = 10 * time.Millisecond

// DefaultQueueDelay is the queue delay in the design's preset "ordinary".
const DefaultQueueDelay = 50 * time.Millisecond

// Config holds the parameters of a Controller.
type Config struct {
	// Slots is the number of requests that the backend server runs concurrently, at least 1.
	Slots int
	// SlotShare is the share of Slots that the controller uses, above 0 and at most 1. Any other value means 1.
	SlotShare float64
	// ReservedShare is the share of the current limit that ClassLow and ClassNormal can't take, 0 to 1.
	ReservedShare float64
	// QueueDelay is the maximum time that a request waits. Zero means DefaultQueueDelay.
	QueueDelay time.Duration
	// LowestClass is the lowest class that is admitted. Requests of lower classes are refused with ReasonOverload.
	LowestClass call.Class
	// SlotsAnnounced means that the backend server has announced Slots itself, so that no lower limit is tried. A
	// request that it refuses within those slots is refused for another reason than its load.
	SlotsAnnounced bool
}

func (cfg Config) normalized() Config {
	if cfg.SlotShare <= 0 || cfg.SlotShare > 1 {
		cfg.SlotShare = 1
	}
	if cfg.QueueDelay <= 0 {
		cfg.QueueDelay = DefaultQueueDelay
	}
	cfg.ReservedShare = min(max(cfg.ReservedShare, 0), 1)
	return cfg
}

// slots returns the highest limit that the configuration allows.
func (cfg Config) slots() int {
	return max(int(float64(cfg.Slots)*cfg.SlotShare), 1)
}

// Request is a request that is offered to a Controller. The ID is unique within the daemon. A zero Deadline means none.
type Request struct {
	ID       uint64
	Rank     call.Rank
	Deadline time.Time
}

// DecisionKind says whether a request is admitted or refused.
type DecisionKind uint8

const (
	// Admitted means that the request starts now.
	Admitted DecisionKind = iota + 1
	// Refused means that the request doesn't start, for the reason in the decision.
	Refused
)

// Decision admits or refuses the request with the given ID. Every offered request gets exactly one, unless it is
// canceled while it waits. Reason is set for refusals only.
type Decision struct {
	ID     uint64
	Kind   DecisionKind
	Reason call.Reason
}

// Sample holds the owner's measurements of a request that has ended.
type Sample struct {
	// SelfTime is the running time less the time spent waiting for child calls.
	SelfTime time.Duration
	// Overloaded means that the backend server itself refused the request for overload.
	Overloaded bool
}

// Load is a snapshot of a Controller for metrics, in requests.
type Load struct {
	Limit, InFlight, Waiting int
	// Started is the number of requests that were admitted so far.
	Started uint64
	// RunTime is the median running time of recent requests, 0 while it is unknown.
	RunTime time.Duration
}

// Controller admits the requests of one upstream.
type Controller struct {
	cfg                   Config
	running               map[uint64]runningRequest
	onlyUnreservedRunning int // running requests of the classes that can't take reserved slots
	started               uint64
	queue                 queue
	limiter               limiter
	rate                  rateLimiter
	medianRunTime         medianEstimator
	cutoff                cutoff
}

type runningRequest struct {
	startedAt      time.Time
	concurrency    int  // running requests at its start, including itself
	onlyUnreserved bool // it can't take reserved slots
}

// New returns a Controller without requests. Its limit starts at the configured slots.
func New(cfg Config) *Controller {
	cfg = cfg.normalized()
	return &Controller{
		cfg:     cfg,
		running: make(map[uint64]runningRequest),
		limiter: newLimiter(cfg.slots()),
	}
}

// Offer asks to start a request. If the returned decisions don't include it, it waits in the queue; they may include
// other requests. A request whose ID is already running or waiting is ignored.
func (c *Controller) Offer(now time.Time, req Request) []Decision {
	if _, ok := c.running[req.ID]; ok || c.queue.find(req.ID) >= 0 {
		return c.advance(now, nil)
	}
	if req.Rank.Class() < c.cfg.LowestClass {
		return append(c.advance(now, nil), Decision{req.ID, Refused, call.ReasonOverload})
	}
	c.advanceEstimators(now)
	if c.wouldMissDeadline(now, req) {
		return append(c.advance(now, nil), Decision{req.ID, Refused, call.ReasonDeadline})
	}
	c.cutoff.recordOffered(req.Rank)
	c.rate.demand.record(now)
	// The request joins the queue before expired requests are refused, so that it isn't left waiting when a request of
	// a higher class is refused.
	c.queue.insert(queuedRequest{Request: req, queuedAt: now})
	return c.shedExcess(now, c.advance(now, nil))
}

// Done reports the end of a running request and frees its slot. An unknown ID has no effect.
func (c *Controller) Done(now time.Time, id uint64, s Sample) []Decision {
	if r, ok := c.running[id]; ok {
		if !c.cfg.SlotsAnnounced {
			c.limiter.sample(r, s)
		}
		c.medianRunTime.sample(now, now.Sub(r.startedAt))
		c.release(id, r)
	}
	return c.advance(now, nil)
}

// Cancel withdraws a request. A waiting one leaves the queue without a decision; a running one frees its slot without a
// sample. An unknown ID has no effect.
func (c *Controller) Cancel(now time.Time, id uint64) []Decision {
	if i := c.queue.find(id); i >= 0 {
		c.queue.remove(i)
	}
	if r, ok := c.running[id]; ok {
		c.release(id, r)
	}
	return c.advance(now, nil)
}

// Tick applies the passage of time: it refuses requests that have waited too long, updates the limit and the cutoff,
// and starts requests if the limit has risen.
func (c *Controller) Tick(now time.Time) []Decision {
	return c.advance(now, nil)
}

// Cutoff returns the rank below which callers should currently not send requests. It is zero without overload.
func (c *Controller) Cutoff(now time.Time) call.Rank {
	c.cutoff.advance(now, c.hasFreeSlot(now))
	return c.cutoff.value
}

// SetConfig replaces the configuration. Running requests are not affected; waiting ones below the new lowest class are
// refused.
func (c *Controller) SetConfig(now time.Time, cfg Config) []Decision {
	c.cfg = cfg.normalized()
	c.limiter.setSlots(c.cfg.slots())
	if c.cfg.SlotsAnnounced {
		c.limiter.reset()
	}
	var decisions []Decision
	for n := c.queue.len(); n > 0 && c.queue.at(n-1).Rank.Class() < c.cfg.LowestClass; n-- {
		decisions = append(decisions, Decision{c.queue.remove(n - 1).ID, Refused, call.ReasonOverload})
	}
	return c.shedExcess(now, c.advance(now, decisions))
}

// SetRateLimit replaces the rate limit that the backend server states. Requests that have started are not affected.
func (c *Controller) SetRateLimit(now time.Time, limit call.RateLimit) []Decision {
	c.rate.set(now, limit)
	return c.advance(now, nil)
}

// RateLoad returns the demand relative to the rate limit, and less while some of its burst is left. It is 0 without a
// rate limit.
func (c *Controller) RateLoad(now time.Time) float64 {
	return c.rate.load(now)
}

// Load returns the current limit and the numbers of running and waiting requests.
func (c *Controller) Load() Load {
	return Load{Limit: c.limiter.current(), InFlight: len(c.running), Waiting: c.queue.len(), Started: c.started,
		RunTime: c.medianRunTime.value}
}

// advance closes elapsed measurement windows, starts waiting requests while there are slots, and refuses those that
// have waited too long. It starts requests first, so that none is refused while a slot is free for it. It appends to
// the given decisions.
func (c *Controller) advance(now time.Time, decisions []Decision) []Decision {
	c.advanceEstimators(now)
	decisions = c.dispatch(now, decisions)
	// A request that dispatch started at once never waited, so only those still queued count as demand.
	c.limiter.observe(len(c.running), c.queue.len())
	return c.expire(now, decisions)
}

// advanceEstimators updates the limit, the cutoff and the median running time for the time that has passed.
func (c *Controller) advanceEstimators(now time.Time) {
	c.limiter.advance(now)
	c.cutoff.advance(now, c.hasFreeSlot(now))
	c.medianRunTime.advance(now)
}

// dispatch starts waiting requests in descending order of rank while there are slots and the rate limit allows it. It
// stops at the first request that can't start, because no request behind it has a higher rank. Requests that would miss
// their deadline are refused.
func (c *Controller) dispatch(now time.Time, decisions []Decision) []Decision {
	for c.queue.len() > 0 && c.mayStart(now, c.queue.at(0).Rank) {
		item := c.queue.remove(0)
		if c.wouldMissDeadline(now, item.Request) {
			decisions = append(decisions, Decision{item.ID, Refused, call.ReasonDeadline})
			continue
		}
		c.start(now, item.Request)
		decisions = append(decisions, Decision{ID: item.ID, Kind: Admitted})
	}
	return decisions
}

// expire refuses the requests that have waited longer than the queue delay, and all requests of a class below the
// highest class among them. Slots are assigned in descending order of rank, so those would not start sooner, and no
// lower class may wait while a higher one is refused for overload. If any request may have expired, it also refuses
// those that would miss their deadline.
func (c *Controller) expire(now time.Time, decisions []Decision) []Decision {
	if !c.queue.mayHaveExpired(now, c.cfg.QueueDelay) {
		return decisions
	}
	highest := c.queue.highestExpiredClass(now, c.cfg.QueueDelay)
	for i := c.queue.len() - 1; i >= 0; i-- {
		if item := c.queue.at(i); item.Rank.Class() < highest || now.Sub(item.queuedAt) > c.cfg.QueueDelay {
			decisions = c.shed(now, i, decisions)
		}
	}
	for i := c.queue.len() - 1; i >= 0; i-- {
		if c.wouldMissDeadline(now, c.queue.at(i).Request) {
			decisions = append(decisions, Decision{c.queue.remove(i).ID, Refused, call.ReasonDeadline})
		}
	}
	return decisions
}

// shedExcess refuses the waiting requests of lowest rank until the queue length is within queueBound.
func (c *Controller) shedExcess(now time.Time, decisions []Decision) []Decision {
	for bound := min(c.queueBound(), c.rate.queueBound(c.cfg.QueueDelay)); c.queue.len() > bound; {
		decisions = c.shed(now, c.queue.len()-1, decisions)
	}
	return decisions
}

// shed refuses the waiting request at index i, for overload or, if it has a slot, because of the rate limit.
func (c *Controller) shed(now time.Time, i int, decisions []Decision) []Decision {
	item := c.queue.remove(i)
	c.cutoff.recordShed(item.Rank)
	reason := call.ReasonOverload
	if c.hasSlot(item.Rank) && !c.mayStart(now, item.Rank) {
		reason = call.ReasonRateLimit
	}
	return append(decisions, Decision{item.ID, Refused, reason})
}

// queueBound returns the maximum queue length: the number of requests that the slots take from the queue within the
// queue delay, or the limit while the running time is unknown. It is at least a quarter of the limit and at least 4, so
// that a burst of important requests can wait for the slots that become free next while running times are long.
func (c *Controller) queueBound() int {
	limit := c.limiter.current()
	minBound := max(limit/4, 4)
	runTime := c.medianRunTime.value
	if runTime <= 0 {
		return max(minBound, limit)
	}
	taken := float64(limit) * float64(c.cfg.QueueDelay) / float64(runTime)
	return max(minBound, int(min(taken, maxQueueLen))) // in this order: taken may be too large for an int
}

// start counts a request as running.
func (c *Controller) start(now time.Time, req Request) {
	c.rate.take(now)
	c.started++
	unreserved := onlyUnreserved(req.Rank)
	c.running[req.ID] = runningRequest{startedAt: now, concurrency: len(c.running) + 1, onlyUnreserved: unreserved}
	if unreserved {
		c.onlyUnreservedRunning++
	}
	c.cutoff.recordAdmitted()
}

// release frees the slot of a running request.
func (c *Controller) release(id uint64, r runningRequest) {
	delete(c.running, id)
	if r.onlyUnreserved {
		c.onlyUnreservedRunning--
	}
}

// hasSlot reports whether a request of the given rank can start. Reserved slots are the part of the limit that ClassLow
// and ClassNormal can't occupy. If higher classes run at least that many requests, no slot is kept free for them.
func (c *Controller) hasSlot(r call.Rank) bool {
	limit := c.limiter.current()
	if len(c.running) >= limit {
		return false
	}
	return !onlyUnreserved(r) || c.onlyUnreservedRunning < limit-c.reserved(limit)
}

// reserved returns the number of slots that ClassLow and ClassNormal can't take. One slot stays open to them, so that a
// small limit doesn't exclude them completely.
func (c *Controller) reserved(limit int) int {
	return min(int(math.Ceil(c.cfg.ReservedShare*float64(limit))), limit-1)
}

// hasFreeSlot reports whether a request of the lowest class could start.
func (c *Controller) hasFreeSlot(now time.Time) bool {
	return c.mayStart(now, call.LowestRank(call.ClassLow))
}

// mayStart reports whether a request of the given rank can start: it has a slot, and the rate limit allows it.
func (c *Controller) mayStart(now time.Time, r call.Rank) bool {
	return c.hasSlot(r) && c.rate.allows(now, r)
}

// wouldMissDeadline reports whether the deadline has passed or is nearer than the median running time, so that the
// request can't be expected to finish in time.
func (c *Controller) wouldMissDeadline(now time.Time, req Request) bool {
	if req.Deadline.IsZero() {
		return false
	}
	left := req.Deadline.Sub(now)
	return left <= 0 || left < c.medianRunTime.value
}

// onlyUnreserved reports whether requests of the given rank can take only unreserved slots.
func onlyUnreserved(r call.Rank) bool {
	return r.Class() <= call.ClassNormal
}
