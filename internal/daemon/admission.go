package daemon

import (
	"context"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/admission"
	"guavapoint.example/guavapoint/internal/core/call"
)

// admissionTick is the interval at which the queue delay and deadline of waiting requests are checked. It is small
// compared with the queue delay of 50 ms in the presets.
const admissionTick = 5 * time.Millisecond

// admissionQueue is an admission.Controller that is safe for concurrent use and lets goroutines wait for admission.
type admissionQueue struct {
	now func() time.Time

	mu         sync.Mutex
	controller *admission.Controller
	lastID     uint64
	waiting    map[uint64]chan call.Reason // by request ID; receives the decision, ReasonNone means admitted
	ticking    bool                        // a timer for tick is running
}

func newAdmissionQueue(cfg admission.Config, now func() time.Time) *admissionQueue {
	return &admissionQueue{controller: admission.New(cfg), waiting: make(map[uint64]chan call.Reason), now: now}
}

// acquire waits until the request is admitted or refused. It returns the request's ID, and the reason of a refusal or
// call.ReasonNone. An admitted request must be ended with release or abandon.
func (q *admissionQueue) acquire(ctx context.Context, rank call.Rank, deadline time.Time) (uint64, call.Reason) {
	id, decided := q.offer(rank, deadline)
	select { // a decision takes precedence over a context that has also ended
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

// offer passes a request to the controller. The channel receives the decision.
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

// cancel withdraws a request whose context has ended and returns the reason. If the request was admitted in the
// meantime, its slot is returned; if it was refused, the reason of the refusal stands.
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

// release ends an admitted request that has run. The controller adapts its limit by the sample.
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

// refuseWaiting refuses all waiting requests with call.ReasonLeaving, because the backend server is leaving.
func (q *admissionQueue) refuseWaiting() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id, decided := range q.waiting {
		delete(q.waiting, id)
		decided <- call.ReasonLeaving
		q.apply(q.controller.Cancel(q.now(), id))
	}
}

// load returns the limit and the numbers of running and waiting requests.
func (q *admissionQueue) load() admission.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.controller.Load()
}

// full reports whether a request more would have to wait.
func (q *admissionQueue) full() bool {
	load := q.load()
	return load.InFlight >= load.Limit
}

// loadPercent returns the number of running and waiting requests in percent of the limit, or the demand in percent of the
// rate limit if that is more.
func (q *admissionQueue) loadPercent() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	load := q.controller.Load()
	slots := 100 * (load.InFlight + load.Waiting) / max(load.Limit, 1)
	return max(slots, int(100*q.controller.RateLoad(q.now())))
}

func (q *admissionQueue) setRateLimit(limit call.RateLimit) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.apply(q.controller.SetRateLimit(q.now(), limit))
}

func (q *admissionQueue) setConfig(cfg admission.Config) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.apply(q.controller.SetConfig(q.now(), cfg))
}

// apply sends decisions to the waiting goroutines. Decisions on requests that no longer wait are ignored. The caller
// holds q.mu.
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

// startTicking starts the timer for the next tick if requests wait and none is running. The caller holds q.mu.
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
