package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapoint.example/guavapoint/internal/core/call"
)

// model tracks the state of a Controller by its decisions alone.
type model struct {
	t        *rapid.T
	c        *Controller
	cfg      Config
	now      time.Time
	nextID   uint64
	requests map[uint64]Request
	queuedAt map[uint64]time.Time
	waiting  map[uint64]bool
	running  map[uint64]bool
	finished map[uint64]bool
}

func newModel(t *rapid.T) *model {
	cfg := drawConfig(t)
	return &model{
		t: t, c: New(cfg), cfg: cfg, now: time.Unix(1000, 0), requests: map[uint64]Request{},
		queuedAt: map[uint64]time.Time{}, waiting: map[uint64]bool{}, running: map[uint64]bool{},
		finished: map[uint64]bool{},
	}
}

func drawConfig(t *rapid.T) Config {
	return Config{
		Slots:         rapid.IntRange(1, 12).Draw(t, "slots"),
		SlotShare:     rapid.Float64Range(0.3, 1).Draw(t, "share"),
		ReservedShare: rapid.Float64Range(0, 0.5).Draw(t, "reserved"),
		QueueDelay:    time.Duration(rapid.IntRange(1, 60).Draw(t, "delay")) * time.Millisecond,
		LowestClass:   call.Class(rapid.IntRange(0, 1).Draw(t, "lowest")),
	}
}

func (m *model) step() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(m.t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 12).Draw(m.t, "op") {
	case 0:
		m.check(m.c.Tick(m.now))
	case 1:
		m.cancel()
	case 2:
		m.cfg = drawConfig(m.t)
		m.check(m.c.SetConfig(m.now, m.cfg))
	case 3, 4, 5, 6:
		m.done()
	default:
		m.offer()
	}
}

func (m *model) offer() {
	m.nextID++
	hash := rapid.IntRange(0, 1<<24-1).Draw(m.t, "hash")
	class := call.Class(rapid.IntRange(0, 3).Draw(m.t, "class"))
	req := Request{ID: m.nextID, Rank: call.LowestRank(class) + call.Rank(hash)}
	if rapid.IntRange(0, 3).Draw(m.t, "limited") == 0 {
		req.Deadline = m.now.Add(time.Duration(rapid.IntRange(-5, 100).Draw(m.t, "left")) * time.Millisecond)
	}
	m.requests[req.ID] = req
	m.queuedAt[req.ID] = m.now
	m.waiting[req.ID] = true
	m.check(m.c.Offer(m.now, req))
}

func (m *model) done() {
	if id, ok := m.draw(m.running); ok {
		delete(m.running, id)
		selfTime := time.Duration(rapid.IntRange(0, 40).Draw(m.t, "own")) * time.Millisecond
		m.check(m.c.Done(m.now, id, Sample{SelfTime: selfTime, Overloaded: rapid.IntRange(0, 9).Draw(m.t, "over") == 0}))
	}
}

func (m *model) cancel() {
	set := m.waiting
	if rapid.Bool().Draw(m.t, "cancel running") {
		set = m.running
	}
	if id, ok := m.draw(set); ok {
		delete(set, id)
		m.finished[id] = true
		m.check(m.c.Cancel(m.now, id))
	}
}

// draw chooses the lowest or the highest ID of the set, so that the choice doesn't depend on the order of map
// iteration. It returns false for an empty set.
func (m *model) draw(set map[uint64]bool) (uint64, bool) {
	highest := rapid.Bool().Draw(m.t, "highest")
	var chosen uint64
	for id := range set {
		if chosen == 0 || (id > chosen) == highest {
			chosen = id
		}
	}
	return chosen, chosen != 0
}

// check applies the decisions in order and verifies the properties that hold after each call.
func (m *model) check(decisions []Decision) {
	for _, d := range decisions {
		m.apply(d)
	}
	m.checkOrder(decisions)
	load := m.c.Load()
	if load.Waiting != len(m.waiting) || load.InFlight != len(m.running) {
		m.t.Fatalf("load %+v, but %d requests wait and %d run", load, len(m.waiting), len(m.running))
	}
	if load.Limit < 1 || load.Limit > m.cfg.slots() {
		m.t.Fatalf("limit %d is not between 1 and %d slots", load.Limit, m.cfg.slots())
	}
}

func (m *model) apply(d Decision) {
	if !m.waiting[d.ID] || m.finished[d.ID] {
		m.t.Fatalf("decision %+v for a request that is not waiting", d)
	}
	delete(m.waiting, d.ID)
	if d.Kind == Refused {
		m.finished[d.ID] = true
		return
	}
	m.running[d.ID] = true
	m.checkAdmission(m.requests[d.ID])
}

func (m *model) checkAdmission(req Request) {
	if !req.Deadline.IsZero() && req.Deadline.Sub(m.now) < m.c.medianRunTime.value {
		m.t.Fatalf("started with %v left; the median running time is %v", req.Deadline.Sub(m.now), m.c.medianRunTime.value)
	}
	if len(m.running) > m.c.Load().Limit {
		m.t.Fatalf("%d requests run, limit %d", len(m.running), m.c.Load().Limit)
	}
	low := 0
	for id := range m.running {
		if m.requests[id].Rank.Class() <= call.ClassNormal {
			low++
		}
	}
	limit := m.c.Load().Limit
	if free := int(float64(limit) * (1 - m.cfg.ReservedShare)); req.Rank.Class() <= call.ClassNormal && low > max(free, 1) {
		m.t.Fatalf("%d requests of low and normal class run; limit %d, reserved share %v", low, limit, m.cfg.ReservedShare)
	}
}

func (m *model) checkOrder(decisions []Decision) {
	for _, d := range decisions {
		if d.Kind != Refused || d.Reason != call.ReasonOverload {
			continue
		}
		refused := m.requests[d.ID].Rank.Class()
		for id := range m.waiting {
			if m.requests[id].Rank.Class() < refused {
				m.t.Fatalf("refused class %v while class %v waits", refused, m.requests[id].Rank.Class())
			}
		}
		for _, other := range decisions {
			if other.Kind == Admitted && m.requests[other.ID].Rank.Class() < refused {
				m.t.Fatalf("refused class %v and admitted class %v", refused, m.requests[other.ID].Rank.Class())
			}
		}
	}
}

// Guards against the refusal of an important request for overload while a less important one waits or starts, a request
// that gets no decision or two, and a start above the limit, on a reserved slot or too late to meet the deadline.
func TestControllerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			m.step()
		}
	})
}

// Guards against a queue that holds requests for longer than the queue delay: after a tick, none has waited longer.
func TestQueueIsBoundedByDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step()
			m.check(m.c.Tick(m.now))
			for id := range m.waiting {
				if age := m.now.Sub(m.queuedAt[id]); age > m.cfg.QueueDelay {
					t.Fatalf("request has waited %v, queue delay %v", age, m.cfg.QueueDelay)
				}
			}
		}
	})
}

// Guards against a full queue that sheds the newest request instead of the one of lowest rank.
func TestHigherRankDisplacesLowest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(Config{Slots: 1})
		now := time.Unix(1000, 0)
		c.Offer(now, Request{ID: 1, Rank: call.MaxRank})
		bound := c.queueBound()
		var lowest Request
		for id := range bound {
			rank := call.Rank(rapid.Uint32Range(1000, uint32(call.MaxRank)).Draw(t, "rank"))
			w := Request{ID: uint64(id + 2), Rank: rank}
			c.Offer(now, w)
			if lowest.ID == 0 || w.Rank <= lowest.Rank {
				lowest = w
			}
		}
		onHigher := c.Offer(now, Request{ID: 1000, Rank: call.MaxRank})
		if len(onHigher) != 1 || onHigher[0] != (Decision{lowest.ID, Refused, call.ReasonOverload}) {
			t.Fatalf("decisions %+v, want only request %d refused", onHigher, lowest.ID)
		}
		onLower := c.Offer(now, Request{ID: 1001, Rank: 0})
		if len(onLower) != 1 || onLower[0].ID != 1001 {
			t.Fatalf("decisions %+v, want only request 1001 refused", onLower)
		}
	})
}

// Guards against an estimated running time that exceeds all deadlines and never falls: every request would be refused,
// so that no new sample could correct the estimate.
func TestMedianRunTimeFallsWithoutSamples(t *testing.T) {
	c := New(Config{Slots: 1})
	now := time.Unix(1000, 0)
	c.Offer(now, Request{ID: 1})
	now = now.Add(10 * time.Second)
	c.Done(now, 1, Sample{SelfTime: 10 * time.Second})
	if got := c.Offer(now, Request{ID: 2, Deadline: now.Add(time.Second)}); len(got) != 1 || got[0].Reason != call.ReasonDeadline {
		t.Fatalf("request with 1 s left, median running time 10 s: decisions %+v, want refusal for the deadline", got)
	}
	now = now.Add(6 * time.Second)
	if got := c.Offer(now, Request{ID: 3, Deadline: now.Add(time.Second)}); len(got) != 1 || got[0].Kind != Admitted {
		t.Fatalf("request with 1 s left, after 6 s without samples: decisions %+v, want admission", got)
	}
}
