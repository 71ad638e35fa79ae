package daemon

import (
	"context"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/admission"
	"guavapoint.example/guavapoint/internal/core/call"
)

// gateTick is the interval at which waiting requests are checked for their queue delay and deadline. It is small
// against the queue delay of 50 ms that the presets use.
const gateTick = 5 * time.Millisecond

// gate is an admission.Controller that is safe for concurrent use and lets a goroutine wait for admission.
type gate struct {
	now func() time.Time

	mu      sync.Mutex
	ctrl    *admission.Controller
	next    uint64
	waiting map[uint64]chan call.Reason
	ticking bool
}

func newGate(cfg admission.Config, now func() time.Time) *gate {
	return &gate{ctrl: admission.New(cfg), waiting: make(map[uint64]chan call.Reason), now: now}
}

// acquire waits until the request is admitted. It returns its ticket number, or the reason of the refusal.
func (g *gate) acquire(ctx context.Context, rank call.Rank, deadline time.Time) (uint64, call.Reason) {
	id, decided := g.offer(rank, deadline)
	select {
	case reason := <-decided:
		return id, reason
	default:
	}
	select {
	case reason := <-decided:
		return id, reason
	case <-ctx.Done():
		return id, g.cancel(ctx, id, decided)
	}
}

func (g *gate) offer(rank call.Rank, deadline time.Time) (uint64, chan call.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	id := g.next
	decided := make(chan call.Reason, 1)
	g.waiting[id] = decided
	g.apply(g.ctrl.Offer(g.now(), admission.Request{ID: id, Rank: rank, Deadline: deadline}))
	g.startTicking()
	return id, decided
}

// cancel withdraws a waiting request. The request may have been admitted in the meantime; its slot is returned then.
func (g *gate) cancel(ctx context.Context, id uint64, decided chan call.Reason) call.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case reason := <-decided:
		if reason == call.ReasonNone {
			g.apply(g.ctrl.Cancel(g.now(), id))
			return contextEndReason(ctx)
		}
		return reason
	default:
	}
	delete(g.waiting, id)
	g.apply(g.ctrl.Cancel(g.now(), id))
	return contextEndReason(ctx)
}

// release ends an admitted request.
func (g *gate) release(id uint64, s admission.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.ctrl.Done(g.now(), id, s))
}

// abandon returns the slot of an admitted request that did not run.
func (g *gate) abandon(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.ctrl.Cancel(g.now(), id))
}

// cutoff returns the current cutoff rank.
func (g *gate) cutoff() call.Rank {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ctrl.Cutoff(g.now())
}

// refuseWaiting refuses all waiting requests, because the backend server is leaving.
func (g *gate) refuseWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, decided := range g.waiting {
		delete(g.waiting, id)
		decided <- call.ReasonLeaving
		g.apply(g.ctrl.Cancel(g.now(), id))
	}
}

func (g *gate) load() admission.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ctrl.Load()
}

// loadPercent returns the running and waiting requests in percent of the limit.
func (g *gate) loadPercent() int {
	load := g.load()
	return 100 * (load.InFlight + load.Waiting) / max(load.Limit, 1)
}

func (g *gate) setConfig(cfg admission.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.ctrl.SetConfig(g.now(), cfg))
}

// apply tells the waiting goroutines what was decided. The caller holds the lock.
func (g *gate) apply(effects []admission.Decision) {
	for _, e := range effects {
		decided := g.waiting[e.ID]
		if decided == nil {
			continue
		}
		delete(g.waiting, e.ID)
		if e.Kind == admission.Admitted {
			decided <- call.ReasonNone
		} else {
			decided <- e.Reason
		}
	}
}

// startTicking runs the timer while requests wait. The caller holds the lock.
func (g *gate) startTicking() {
	if g.ticking || len(g.waiting) == 0 {
		return
	}
	g.ticking = true
	time.AfterFunc(gateTick, g.tick)
}

func (g *gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.ctrl.Tick(g.now()))
	g.ticking = false
	g.startTicking()
}
