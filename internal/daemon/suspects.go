package daemon

import (
	"context"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/quarantine"
)

// suspects is a quarantine.List with its gate, safe for concurrent use. It lets a suspect run only while no other
// request runs on the backend server.
type suspects struct {
	now    func() time.Time
	spread func([]quarantine.Record)

	mu      sync.Mutex
	list    *quarantine.List
	gate    *quarantine.IsolationQueue
	next    uint64
	waiting map[uint64]chan struct{} // closed when the request may start
}

func newSuspects(cfg quarantine.Config, now func() time.Time, spread func([]quarantine.Record)) *suspects {
	return &suspects{
		list:    quarantine.NewList(cfg),
		gate:    quarantine.NewIsolationQueue(),
		waiting: make(map[uint64]chan struct{}),
		now:     now,
		spread:  spread,
	}
}

// refused reports whether a request is quarantined now.
func (s *suspects) refused(fp quarantine.Fingerprint) bool {
	return s.check(fp) == quarantine.Refuse
}

func (s *suspects) check(fp quarantine.Fingerprint) quarantine.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Check(s.now(), fp)
}

// enter waits until the request may start. The function that it returns ends the run; completed says that the backend
// server answered. With a reason other than call.ReasonNone the request must not run.
func (s *suspects) enter(ctx context.Context, fp quarantine.Fingerprint) (func(completed bool), call.Reason) {
	for {
		verdict := s.check(fp)
		if verdict == quarantine.Refuse {
			return nil, call.ReasonQuarantined
		}
		id, started := s.offer(verdict == quarantine.RunAlone)
		if !waitFor(ctx, started) {
			s.done(id)
			return nil, contextEndReason(ctx)
		}
		// A record may have arrived while the request waited.
		if s.check(fp) == verdict {
			return func(completed bool) { s.leave(id, fp, completed) }, call.ReasonNone
		}
		s.done(id)
	}
}

// offer queues a request. The channel is closed when it may start.
func (s *suspects) offer(alone bool) (uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	started := make(chan struct{})
	s.waiting[s.next] = started
	s.start(s.gate.Offer(s.next, alone))
	return s.next, started
}

func (s *suspects) done(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
	s.start(s.gate.Done(id))
}

// start wakes requests. The caller holds the lock.
func (s *suspects) start(ids []uint64) {
	for _, id := range ids {
		if c := s.waiting[id]; c != nil {
			close(c)
			delete(s.waiting, id)
		}
	}
}

// leave ends a run. A run that completed clears its request.
func (s *suspects) leave(id uint64, fp quarantine.Fingerprint, completed bool) {
	s.done(id)
	if completed {
		s.update(func(now time.Time) []quarantine.Record { return s.list.ReportCompletion(now, fp) })
	}
}

// crashed records a death of the backend server.
func (s *suspects) crashed(inFlight []quarantine.Fingerprint) {
	s.update(func(now time.Time) []quarantine.Record { return s.list.ReportCrash(now, inFlight) })
}

// merge takes records from another daemon and passes on what is new.
func (s *suspects) merge(rs []quarantine.Record) {
	s.update(func(now time.Time) []quarantine.Record { return s.list.Merge(now, rs) })
}

// lift ends the quarantine of a fingerprint on an operator's command. It reports whether there was one.
func (s *suspects) lift(fp quarantine.Fingerprint) bool {
	return s.update(func(now time.Time) []quarantine.Record { return s.list.Lift(now, fp) })
}

// update changes the list and disseminates the records that changed. It reports whether there were any.
func (s *suspects) update(f func(now time.Time) []quarantine.Record) bool {
	s.mu.Lock()
	records := f(s.now())
	s.mu.Unlock()
	if len(records) == 0 {
		return false
	}
	s.spread(records)
	return true
}

func (s *suspects) records() []quarantine.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Records()
}

func (s *suspects) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Tick(s.now())
}
