package daemon

import (
	"context"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/quarantine"
)

// quarantineTable is a quarantine.List with its gate, safe for concurrent use. It lets a suspect run only while no other
// request runs on the backend server.
type quarantineTable struct {
	now       func() time.Time
	broadcast func([]quarantine.Record)

	mu        sync.Mutex
	list      *quarantine.List
	isolation *quarantine.IsolationQueue
	lastID    uint64
	waiting   map[uint64]chan struct{} // closed when the request may start
}

func newQuarantineTable(cfg quarantine.Config, now func() time.Time, broadcast func([]quarantine.Record)) *quarantineTable {
	return &quarantineTable{
		list:      quarantine.NewList(cfg),
		isolation: quarantine.NewIsolationQueue(),
		waiting:   make(map[uint64]chan struct{}),
		now:       now,
		broadcast: broadcast,
	}
}

// isQuarantined reports whether a request is quarantined now.
func (t *quarantineTable) isQuarantined(fp quarantine.Fingerprint) bool {
	return t.check(fp) == quarantine.Refuse
}

func (t *quarantineTable) check(fp quarantine.Fingerprint) quarantine.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list.Check(t.now(), fp)
}

// acquire waits until the request may start. The function that it returns ends the run; completed says that the backend
// server answered. With a reason other than call.ReasonNone the request must not run.
func (t *quarantineTable) acquire(ctx context.Context, fp quarantine.Fingerprint) (func(completed bool), call.Reason) {
	for {
		decision := t.check(fp)
		if decision == quarantine.Refuse {
			return nil, call.ReasonQuarantined
		}
		id, started := t.offer(decision == quarantine.RunAlone)
		if !waitClosed(ctx, started) {
			t.release(id)
			return nil, contextEndReason(ctx)
		}
		// A record may have arrived while the request waited.
		if t.check(fp) == decision {
			return func(completed bool) { t.finishRun(id, fp, completed) }, call.ReasonNone
		}
		t.release(id)
	}
}

// offer queues a request. The channel is closed when it may start.
func (t *quarantineTable) offer(alone bool) (uint64, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	started := make(chan struct{})
	t.waiting[t.lastID] = started
	t.wake(t.isolation.Offer(t.lastID, alone))
	return t.lastID, started
}

func (t *quarantineTable) release(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, id)
	t.wake(t.isolation.Done(id))
}

// wake wakes requests. The caller holds the lock.
func (t *quarantineTable) wake(ids []uint64) {
	for _, id := range ids {
		if c := t.waiting[id]; c != nil {
			close(c)
			delete(t.waiting, id)
		}
	}
}

// finishRun ends a run. A run that completed clears its request.
func (t *quarantineTable) finishRun(id uint64, fp quarantine.Fingerprint, completed bool) {
	t.release(id)
	if completed {
		t.update(func(now time.Time) []quarantine.Record { return t.list.ReportCompletion(now, fp) })
	}
}

// reportCrash records a death of the backend server.
func (t *quarantineTable) reportCrash(inFlight []quarantine.Fingerprint) {
	t.update(func(now time.Time) []quarantine.Record { return t.list.ReportCrash(now, inFlight) })
}

// merge takes records from another daemon and passes on what is new.
func (t *quarantineTable) merge(rs []quarantine.Record) {
	t.update(func(now time.Time) []quarantine.Record { return t.list.Merge(now, rs) })
}

// lift ends the quarantine of a fingerprint on an operator's command. It reports whether there was one.
func (t *quarantineTable) lift(fp quarantine.Fingerprint) bool {
	return t.update(func(now time.Time) []quarantine.Record { return t.list.Lift(now, fp) })
}

// update changes the list and disseminates the records that changed. It reports whether there were any.
func (t *quarantineTable) update(f func(now time.Time) []quarantine.Record) bool {
	t.mu.Lock()
	records := f(t.now())
	t.mu.Unlock()
	if len(records) == 0 {
		return false
	}
	t.broadcast(records)
	return true
}

func (t *quarantineTable) records() []quarantine.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list.Records()
}

func (t *quarantineTable) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list.Tick(t.now())
}
