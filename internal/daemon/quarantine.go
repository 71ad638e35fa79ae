package daemon

import (
	"context"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/quarantine"
)

// quarantineTable combines a quarantine.List with its IsolationQueue and is safe for concurrent use. It lets a suspect
// run only while no other request runs on the backend server.
type quarantineTable struct {
	now       func() time.Time
	broadcast func([]quarantine.Record) // sends changed records to other daemons; called without the lock

	mu        sync.Mutex
	list      *quarantine.List
	isolation *quarantine.IsolationQueue
	lastID    uint64
	waiting   map[uint64]chan struct{} // closed when the request may start
}

func newQuarantineTable(cfg quarantine.Config, now func() time.Time,
	broadcast func([]quarantine.Record)) *quarantineTable {
	return &quarantineTable{
		list:      quarantine.NewList(cfg),
		isolation: quarantine.NewIsolationQueue(),
		waiting:   make(map[uint64]chan struct{}),
		now:       now,
		broadcast: broadcast,
	}
}

// isQuarantined reports whether requests with a fingerprint are refused now.
func (t *quarantineTable) isQuarantined(fp quarantine.Fingerprint) bool {
	return t.check(fp) == quarantine.Refuse
}

// check returns how requests with a fingerprint are treated now.
func (t *quarantineTable) check(fp quarantine.Fingerprint) quarantine.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list.Check(t.now(), fp)
}

// acquire waits until the request may start. It returns a function to call when the run ends, whose argument completed
// means that the backend server answered. With a reason other than call.ReasonNone the request must not run, and the
// function is nil.
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
		// The decision may have changed while the request waited, by a record from another daemon.
		if t.check(fp) == decision {
			return func(completed bool) { t.finishRun(id, fp, completed) }, call.ReasonNone
		}
		t.release(id)
	}
}

// offer queues a request. The channel is closed when the request may start; alone means that no other request may run
// at the same time.
func (t *quarantineTable) offer(alone bool) (uint64, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	started := make(chan struct{})
	t.waiting[t.lastID] = started
	t.wake(t.isolation.Offer(t.lastID, alone))
	return t.lastID, started
}

// release ends a request, or withdraws one that still waits.
func (t *quarantineTable) release(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, id)
	t.wake(t.isolation.Done(id))
}

// wake lets waiting requests start. The caller holds t.mu.
func (t *quarantineTable) wake(ids []uint64) {
	for _, id := range ids {
		if c := t.waiting[id]; c != nil {
			close(c)
			delete(t.waiting, id)
		}
	}
}

// finishRun ends a run. If it completed, its fingerprint is no longer a suspect.
func (t *quarantineTable) finishRun(id uint64, fp quarantine.Fingerprint, completed bool) {
	t.release(id)
	if completed {
		t.update(func(now time.Time) []quarantine.Record { return t.list.ReportCompletion(now, fp) })
	}
}

// reportCrash records a crash of the backend server, which makes the requests in flight suspects.
func (t *quarantineTable) reportCrash(inFlight []quarantine.Fingerprint) {
	t.update(func(now time.Time) []quarantine.Record { return t.list.ReportCrash(now, inFlight) })
}

// merge adds records from another daemon and sends those that are new to the others.
func (t *quarantineTable) merge(rs []quarantine.Record) {
	t.update(func(now time.Time) []quarantine.Record { return t.list.Merge(now, rs) })
}

// lift ends the quarantine of a fingerprint on an operator's command. It returns false if the fingerprint wasn't
// quarantined.
func (t *quarantineTable) lift(fp quarantine.Fingerprint) bool {
	return t.update(func(now time.Time) []quarantine.Record { return t.list.Lift(now, fp) })
}

// update changes the list by f, which returns the changed records, and sends these to the other daemons. It returns
// false if no record changed.
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
