package admission

import (
	"math"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// TickInterval is the longest time between two calls of Tick. It is a fifth of the default queue delay, so that a
// waiting request exceeds the delay by at most that.
const TickInterval = 10 * time.Millisecond

// DefaultQueueDelay is the queue delay of the preset "ordinary" in the design.
const DefaultQueueDelay = 50 * time.Millisecond

// Config holds the parameters of a Controller.
type Config struct {
	// Slots is the number of requests that the backend server runs at once. At least 1.
	Slots int
	// SlotShare is the share of the slots in use, above 0 and at most 1. Zero means 1.
	SlotShare float64
	// ReservedShare is the share of the slots in use that ClassLow and ClassNormal can't take, 0 to 1.
	ReservedShare float64
	// QueueDelay bounds the time that a request waits. Zero means DefaultQueueDelay.
	QueueDelay time.Duration
	// LowestClass is the lowest class that is admitted.
	LowestClass call.Class
	// SlotsAnnounced means that the backend server has told its slots, so that no limit below them is tried. What it refuses
	// within them it refuses for another reason than its load.
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

// Request is one request that asks to be started. The ID is unique within the daemon. A zero Deadline means none.
type Request struct {
	ID       uint64
	Rank     call.Rank
	Deadline time.Time
}

// DecisionKind is what happens to a ticket.
type DecisionKind uint8

const (
	// Admitted means that the request starts now.
	Admitted DecisionKind = iota + 1
	// Refused means that the request doesn't start, for the reason in the effect.
	Refused
)

// Decision is one decision. Every offered ticket gets exactly one, unless it is canceled while it waits.
type Decision struct {
	ID     uint64
	Kind   DecisionKind
	Reason call.Reason
}

// Sample is what the owner measured for a request that has ended.
type Sample struct {
	// SelfTime is the running time less the time spent waiting for child calls.
	SelfTime time.Duration
	// Overloaded is set when the backend server itself refused the request for overload.
	Overloaded bool
}

// Load is a snapshot for metrics.
type Load struct {
	Limit, InFlight, Waiting int
}

// Controller admits the requests of one upstream.
type Controller struct {
	cfg                   Config
	running               map[uint64]runningRequest
	onlyUnreservedRunning int // running requests that can't take reserved slots
	queue                 queue
	limiter               limiter
	medianRunTime         medianEstimator
	cutoff                cutoff
}

type runningRequest struct {
	startedAt      time.Time
	concurrency    int // including this one
	onlyUnreserved bool
}

// New returns a controller without requests. Its limit starts at the configured slots.
func New(cfg Config) *Controller {
	cfg = cfg.normalized()
	return &Controller{
		cfg:     cfg,
		running: make(map[uint64]runningRequest),
		limiter: newLimiter(cfg.slots()),
	}
}

// Offer asks to start a request. The ticket waits if the effects don't name it. A ticket whose ID is running or waiting
// already is ignored.
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
	// The request joins the queue before others are refused, so that it doesn't wait where they could not.
	c.queue.insert(queuedRequest{Request: req, queuedAt: now})
	return c.shedExcess(c.advance(now, nil))
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

// Cancel withdraws a request. A waiting one leaves the queue without an effect of its own; a running one frees its slot
// without a sample.
func (c *Controller) Cancel(now time.Time, id uint64) []Decision {
	if i := c.queue.find(id); i >= 0 {
		c.queue.remove(i)
	}
	if r, ok := c.running[id]; ok {
		c.release(id, r)
	}
	return c.advance(now, nil)
}

// Tick lets time pass: it refuses requests that have waited too long and updates the limit and the cutoff.
func (c *Controller) Tick(now time.Time) []Decision {
	return c.advance(now, nil)
}

// Cutoff returns the rank below which callers should not send requests at present. It is zero without overload.
func (c *Controller) Cutoff(now time.Time) call.Rank {
	c.cutoff.advance(now, c.hasFreeSlot())
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
	return c.shedExcess(c.advance(now, decisions))
}

// Load returns the present limit and numbers of requests.
func (c *Controller) Load() Load {
	return Load{Limit: c.limiter.current(), InFlight: len(c.running), Waiting: c.queue.len()}
}

// advance closes elapsed measurement windows, starts what a raised limit allows, and refuses what has waited too long.
// Starting comes first, so that nothing is refused while a slot is free for it.
func (c *Controller) advance(now time.Time, decisions []Decision) []Decision {
	c.advanceEstimators(now)
	decisions = c.dispatch(now, decisions)
	// A request that dispatch has started never waited, so only what is left in the queue shows demand.
	c.limiter.observe(len(c.running), c.queue.len())
	return c.expire(now, decisions)
}

// advanceEstimators closes elapsed measurement windows.
func (c *Controller) advanceEstimators(now time.Time) {
	c.limiter.advance(now)
	c.cutoff.advance(now, c.hasFreeSlot())
	c.medianRunTime.advance(now)
}

// dispatch starts waiting requests by falling rank while there are slots. It stops at the first one that has no slot:
// all behind it are of lower rank.
func (c *Controller) dispatch(now time.Time, decisions []Decision) []Decision {
	for c.queue.len() > 0 && c.hasSlot(c.queue.at(0).Rank) {
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

// expire refuses the requests that have waited longer than the queue delay, together with all of a lower class than the
// highest of them: as slots are given by falling rank, those have no better prospect, and none may be left waiting.
func (c *Controller) expire(now time.Time, decisions []Decision) []Decision {
	if !c.queue.mayHaveExpired(now, c.cfg.QueueDelay) {
		return decisions
	}
	highest := c.queue.highestExpiredClass(now, c.cfg.QueueDelay)
	for i := c.queue.len() - 1; i >= 0; i-- {
		if item := c.queue.at(i); item.Rank.Class() < highest || now.Sub(item.queuedAt) > c.cfg.QueueDelay {
			decisions = c.shed(i, decisions)
		}
	}
	for i := c.queue.len() - 1; i >= 0; i-- {
		if c.wouldMissDeadline(now, c.queue.at(i).Request) {
			decisions = append(decisions, Decision{c.queue.remove(i).ID, Refused, call.ReasonDeadline})
		}
	}
	return decisions
}

// shedExcess refuses the waiting requests of lowest rank until the queue is within its bound.
func (c *Controller) shedExcess(decisions []Decision) []Decision {
	for bound := c.queueBound(); c.queue.len() > bound; {
		decisions = c.shed(c.queue.len()-1, decisions)
	}
	return decisions
}

// shed refuses a waiting request.
func (c *Controller) shed(i int, decisions []Decision) []Decision {
	item := c.queue.remove(i)
	c.cutoff.recordShed(item.Rank)
	return append(decisions, Decision{item.ID, Refused, call.ReasonOverload})
}

// queueBound returns how many requests the slots take from the queue within the queue delay. The lower bound lets a
// burst of important requests wait for the slots that free next while running times are long.
func (c *Controller) queueBound() int {
	limit := c.limiter.current()
	least := max(limit/4, 4)
	runTime := c.medianRunTime.value
	if runTime <= 0 {
		return max(least, limit)
	}
	return max(least, min(int(float64(limit)*float64(c.cfg.QueueDelay)/float64(runTime)), maxQueueLen))
}

func (c *Controller) start(now time.Time, req Request) {
	unreserved := onlyUnreserved(req.Rank)
	c.running[req.ID] = runningRequest{startedAt: now, concurrency: len(c.running) + 1, onlyUnreserved: unreserved}
	if unreserved {
		c.onlyUnreservedRunning++
	}
	c.cutoff.recordAdmitted()
}

func (c *Controller) release(id uint64, r runningRequest) {
	delete(c.running, id)
	if r.onlyUnreserved {
		c.onlyUnreservedRunning--
	}
}

// hasSlot reports whether a request of the given rank can start. The reserved slots are a part of the limit that low
// classes can't occupy; they are not kept idle while higher classes use at least that many.
func (c *Controller) hasSlot(r call.Rank) bool {
	limit := c.limiter.current()
	if len(c.running) >= limit {
		return false
	}
	return !onlyUnreserved(r) || c.onlyUnreservedRunning < limit-c.reserved(limit)
}

// reserved returns the slots that low classes can't take. One slot stays open to them, so that a small limit doesn't
// exclude them altogether.
func (c *Controller) reserved(limit int) int {
	return min(int(math.Ceil(c.cfg.ReservedShare*float64(limit))), limit-1)
}

// hasFreeSlot reports whether a slot is free for a request of the lowest class.
func (c *Controller) hasFreeSlot() bool {
	return c.hasSlot(call.LowestRank(call.ClassLow))
}

// wouldMissDeadline reports whether the request can't be expected to finish before its deadline.
func (c *Controller) wouldMissDeadline(now time.Time, req Request) bool {
	if req.Deadline.IsZero() {
		return false
	}
	left := req.Deadline.Sub(now)
	return left <= 0 || left < c.medianRunTime.value
}

func onlyUnreserved(r call.Rank) bool {
	return r.Class() <= call.ClassNormal
}
