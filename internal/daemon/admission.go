package daemon

import (
	"context"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/admission"
	"guavapoint.example/guavapoint/internal/core/call"
)

// admissionTick is the interval at which waiting requests are checked for their queue delay and deadline. It is small
// against the queue delay of 50 ms that the presets use.
const admissionTick = 5 * time.Millisecond

// admissionQueue is an admission.Controller that is safe for concurrent use and lets a goroutine wait for admission.
type admissionQueue struct {
	now func() time.Time

	mu         sync.Mutex
	controller *admission.Controller
	lastID     uint64
	waiting    map[uint64]chan call.Reason
	ticking    bool
}

func newAdmissionQueue(cfg admission.Config, now func() time.Time) *admissionQueue {
	return &admissionQueue{controller: admission.New(cfg), waiting: make(map[uint64]chan call.Reason), now: now}
}

// acquire waits until the request is admitted. It returns its ticket number, or the reason of the refusal.
func (q *admissionQueue) acquire(ctx context.Context, rank call.Rank, deadline time.Time) (uint64, call.Reason) {
	id, decided := q.offer(rank, deadline)
	select {
	case reason := <-decided:
		return id, reason
	default:
	}
	select {
	case reason := <-decided:
		return id, reason
	case <-ctx.Done():
		return id, q.cancel(ctx, id, decided)
	}
}

func (q *admissionQueue) offer(rank call.Rank, deadline time.Time) (uint64, chan call.Reason) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	id := q.lastID
	decided := make(chan call.Reason, 1)
	q.waiting[id] = decided
	q.apply(q.controller.Offer(q.now(), admission.Request{ID: id, Rank: rank, Deadline: deadline}))
	q.startTicking()
	return id, decided
}

// cancel withdraws a waiting request. The request may have been admitted in the meantime; its slot is returned then.
func (q *admissionQueue) cancel(ctx context.Context, id uint64, decided chan call.Reason) call.Reason {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case reason := <-decided:
		if reason == call.ReasonNone {
			q.apply(q.controller.Cancel(q.now(), id))
			return contextEndReason(ctx)
		}
		return reason
	default:
	}
	delete(q.waiting, id)
	q.apply(q.controller.Cancel(q.now(), id))
	return contextEndReason(ctx)
}

// release ends an admitted request.
func (q *admissionQueue) release(id uint64, s admission.Sample) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.apply(q.controller.Done(q.now(), id, s))
}

// abandon returns the slot of an admitted request that did not run.
func (q *admissionQueue) abandon(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.apply(q.controller.Cancel(q.now(), id))
}

// cutoff returns the current cutoff rank.
func (q *admissionQueue) cutoff() call.Rank {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.controller.Cutoff(q.now())
}

// refuseWaiting refuses all waiting requests, because the backend server is leaving.
func (q *admissionQueue) refuseWaiting() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id, decided := range q.waiting {
		delete(q.waiting, id)
		decided <- call.ReasonLeaving
		q.apply(q.controller.Cancel(q.now(), id))
	}
}

func (q *admissionQueue) load() admission.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.controller.Load()
}

// loadPercent returns the running and waiting requests in percent of the limit.
func (q *admissionQueue) loadPercent() int {
	load := q.load()
	return 100 * (load.InFlight + load.Waiting) / max(load.Limit, 1)
}

func (q *admissionQueue) setConfig(cfg admission.Config) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.apply(q.controller.SetConfig(q.now(), cfg))
}

// apply tells the waiting goroutines what was decided. The caller holds the lock.
func (q *admissionQueue) apply(decisions []admission.Decision) {
	for _, d := range decisions {
		decided := q.waiting[d.ID]
		if decided == nil {
			continue
		}
		delete(q.waiting, d.ID)
		if d.Kind == admission.Admitted {
			decided <- call.ReasonNone
		} else {
			decided <- d.Reason
		}
	}
}

// startTicking runs the timer while requests wait. The caller holds the lock.
func (q *admissionQueue) startTicking() {
	if q.ticking || len(q.waiting) == 0 {
		return
	}
	q.ticking = true
	time.AfterFunc(admissionTick, q.tick)
}

func (q *admissionQueue) tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.apply(q.controller.Tick(q.now()))
	q.ticking = false
	q.startTicking()
}
