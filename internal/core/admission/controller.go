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
	// Announced means that the backend server has told its slots, so that no limit below them is tried. What it refuses
	// within them it refuses for another reason than its load.
	Announced bool
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

// Ticket is one request that asks to be started. The ID is unique within the daemon. A zero Deadline means none.
type Ticket struct {
	ID       uint64
	Rank     call.Rank
	Deadline time.Time
}

// EffectKind is what happens to a ticket.
type EffectKind uint8

const (
	// Admitted means that the request starts now.
	Admitted EffectKind = iota + 1
	// Refused means that the request doesn't start, for the reason in the effect.
	Refused
)

// Effect is one decision. Every offered ticket gets exactly one, unless it is canceled while it waits.
type Effect struct {
	ID     uint64
	Kind   EffectKind
	Reason call.Reason
}

// Sample is what the owner measured for a request that has ended.
type Sample struct {
	// Own is the running time less the time spent waiting for child calls.
	Own time.Duration
	// Overloaded is set when the backend server itself refused the request for overload.
	Overloaded bool
}

// Load is a snapshot for metrics.
type Load struct {
	Limit, InFlight, Waiting int
}

// Controller admits the requests of one upstream.
type Controller struct {
	cfg     Config
	running map[uint64]started
	low     int // running requests that can't take reserved slots
	queue   queue
	limiter limiter
	typical typical
	cutoff  cutoff
}

type started struct {
	at      time.Time
	running int // including this one
	low     bool
}

// New returns a controller without requests. Its limit starts at the configured slots.
func New(cfg Config) *Controller {
	cfg = cfg.normalized()
	return &Controller{
		cfg:     cfg,
		running: make(map[uint64]started),
		limiter: newLimiter(cfg.slots()),
	}
}

// Offer asks to start a request. The ticket waits if the effects don't name it. A ticket whose ID is running or waiting
// already is ignored.
func (c *Controller) Offer(now time.Time, t Ticket) []Effect {
	if _, ok := c.running[t.ID]; ok || c.queue.find(t.ID) >= 0 {
		return c.advance(now, nil)
	}
	if t.Rank.Class() < c.cfg.LowestClass {
		return append(c.advance(now, nil), Effect{t.ID, Refused, call.ReasonOverload})
	}
	c.measure(now)
	if c.tooLate(now, t) {
		return append(c.advance(now, nil), Effect{t.ID, Refused, call.ReasonDeadline})
	}
	c.cutoff.offered(t.Rank)
	// The request joins the queue before others are refused, so that it doesn't wait where they could not.
	c.queue.insert(waiting{Ticket: t, since: now})
	return c.shedExcess(c.advance(now, nil))
}

// Done reports the end of a running request and frees its slot. An unknown ID has no effect.
func (c *Controller) Done(now time.Time, id uint64, s Sample) []Effect {
	if r, ok := c.running[id]; ok {
		if !c.cfg.Announced {
			c.limiter.sample(r, s)
		}
		c.typical.sample(now, now.Sub(r.at))
		c.release(id, r)
	}
	return c.advance(now, nil)
}

// Cancel withdraws a request. A waiting one leaves the queue without an effect of its own; a running one frees its slot
// without a sample.
func (c *Controller) Cancel(now time.Time, id uint64) []Effect {
	if i := c.queue.find(id); i >= 0 {
		c.queue.remove(i)
	}
	if r, ok := c.running[id]; ok {
		c.release(id, r)
	}
	return c.advance(now, nil)
}

// Tick lets time pass: it refuses requests that have waited too long and updates the limit and the cutoff.
func (c *Controller) Tick(now time.Time) []Effect {
	return c.advance(now, nil)
}

// Cutoff returns the rank below which callers should not send requests at present. It is zero without overload.
func (c *Controller) Cutoff(now time.Time) call.Rank {
	c.cutoff.advance(now, c.idle())
	return c.cutoff.value
}

// SetConfig replaces the configuration. Running requests are not affected; waiting ones below the new lowest class are
// refused.
func (c *Controller) SetConfig(now time.Time, cfg Config) []Effect {
	c.cfg = cfg.normalized()
	c.limiter.setMax(c.cfg.slots())
	if c.cfg.Announced {
		c.limiter.reset()
	}
	var effects []Effect
	for n := c.queue.len(); n > 0 && c.queue.at(n-1).Rank.Class() < c.cfg.LowestClass; n-- {
		effects = append(effects, Effect{c.queue.remove(n - 1).ID, Refused, call.ReasonOverload})
	}
	return c.shedExcess(c.advance(now, effects))
}

// Load returns the present limit and numbers of requests.
func (c *Controller) Load() Load {
	return Load{Limit: c.limiter.current(), InFlight: len(c.running), Waiting: c.queue.len()}
}

// advance closes elapsed measurement windows, starts what a raised limit allows, and refuses what has waited too long.
// Starting comes first, so that nothing is refused while a slot is free for it.
func (c *Controller) advance(now time.Time, effects []Effect) []Effect {
	c.measure(now)
	effects = c.dispatch(now, effects)
	// A request that dispatch has started never waited, so only what is left in the queue shows demand.
	c.limiter.observe(len(c.running), c.queue.len())
	return c.expire(now, effects)
}

// measure closes elapsed measurement windows.
func (c *Controller) measure(now time.Time) {
	c.limiter.advance(now)
	c.cutoff.advance(now, c.idle())
	c.typical.advance(now)
}

// dispatch starts waiting requests by falling rank while there are slots. It stops at the first one that has no slot:
// all behind it are of lower rank.
func (c *Controller) dispatch(now time.Time, effects []Effect) []Effect {
	for c.queue.len() > 0 && c.hasSlot(c.queue.at(0).Rank) {
		w := c.queue.remove(0)
		if c.tooLate(now, w.Ticket) {
			effects = append(effects, Effect{w.ID, Refused, call.ReasonDeadline})
			continue
		}
		c.start(now, w.Ticket)
		effects = append(effects, Effect{ID: w.ID, Kind: Admitted})
	}
	return effects
}

// expire refuses the requests that have waited longer than the queue delay, together with all of a lower class than the
// highest of them: as slots are given by falling rank, those have no better prospect, and none may be left waiting.
func (c *Controller) expire(now time.Time, effects []Effect) []Effect {
	if !c.queue.due(now, c.cfg.QueueDelay) {
		return effects
	}
	highest := c.queue.highestExpired(now, c.cfg.QueueDelay)
	for i := c.queue.len() - 1; i >= 0; i-- {
		if w := c.queue.at(i); w.Rank.Class() < highest || now.Sub(w.since) > c.cfg.QueueDelay {
			effects = c.shed(i, effects)
		}
	}
	for i := c.queue.len() - 1; i >= 0; i-- {
		if c.tooLate(now, c.queue.at(i).Ticket) {
			effects = append(effects, Effect{c.queue.remove(i).ID, Refused, call.ReasonDeadline})
		}
	}
	return effects
}

// shedExcess refuses the waiting requests of lowest rank until the queue is within its bound.
func (c *Controller) shedExcess(effects []Effect) []Effect {
	for bound := c.queueBound(); c.queue.len() > bound; {
		effects = c.shed(c.queue.len()-1, effects)
	}
	return effects
}

// shed refuses a waiting request.
func (c *Controller) shed(i int, effects []Effect) []Effect {
	w := c.queue.remove(i)
	c.cutoff.shed(w.Rank)
	return append(effects, Effect{w.ID, Refused, call.ReasonOverload})
}

// queueBound returns how many requests the slots take from the queue within the queue delay. The lower bound lets a
// burst of important requests wait for the slots that free next while running times are long.
func (c *Controller) queueBound() int {
	limit := c.limiter.current()
	least := max(limit/4, 4)
	t := c.typical.value
	if t <= 0 {
		return max(least, limit)
	}
	return max(least, min(int(float64(limit)*float64(c.cfg.QueueDelay)/float64(t)), maxQueue))
}

func (c *Controller) start(now time.Time, t Ticket) {
	low := isLow(t.Rank)
	c.running[t.ID] = started{at: now, running: len(c.running) + 1, low: low}
	if low {
		c.low++
	}
	c.cutoff.admitted()
}

func (c *Controller) release(id uint64, r started) {
	delete(c.running, id)
	if r.low {
		c.low--
	}
}

// hasSlot reports whether a request of the given rank can start. The reserved slots are a part of the limit that low
// classes can't occupy; they are not kept idle while higher classes use at least that many.
func (c *Controller) hasSlot(r call.Rank) bool {
	limit := c.limiter.current()
	if len(c.running) >= limit {
		return false
	}
	return !isLow(r) || c.low < limit-c.reserved(limit)
}

// reserved returns the slots that low classes can't take. One slot stays open to them, so that a small limit doesn't
// exclude them altogether.
func (c *Controller) reserved(limit int) int {
	return min(int(math.Ceil(c.cfg.ReservedShare*float64(limit))), limit-1)
}

// idle reports whether a slot is free for a request of the lowest class.
func (c *Controller) idle() bool {
	return c.hasSlot(call.LowestRank(call.ClassLow))
}

// tooLate reports whether the request can't be expected to finish before its deadline.
func (c *Controller) tooLate(now time.Time, t Ticket) bool {
	if t.Deadline.IsZero() {
		return false
	}
	left := t.Deadline.Sub(now)
	return left <= 0 || left < c.typical.value
}

func isLow(r call.Rank) bool {
	return r.Class() <= call.ClassNormal
}
