package quarantine

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// drawRecord draws each field from few values, so that records often agree in a field.
func drawRecord(t *rapid.T) Record {
	at := func(name string) time.Time {
		return start.Add(time.Duration(rapid.IntRange(1, 3).Draw(t, name)) * time.Hour)
	}
	r := Record{
		Fingerprint:  Fingerprint{byte(rapid.IntRange(0, 1).Draw(t, "fingerprint"))},
		Lifts:        uint32(rapid.IntRange(0, 1).Draw(t, "lifts")),
		Round:        uint32(rapid.IntRange(0, 2).Draw(t, "round")),
		Cleared:      rapid.Bool().Draw(t, "cleared"),
		SuspectUntil: at("suspect"),
		KeepUntil:    at("keep"),
	}
	if rapid.Bool().Draw(t, "confirmed") {
		r.ConfirmedUntil = at("until")
	}
	return r
}

// Guards against daemons that disagree because records reached them in a different order or grouping, or more than
// once.
func TestJoinLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t), drawRecord(t), drawRecord(t)
		b.Fingerprint, c.Fingerprint = a.Fingerprint, a.Fingerprint
		commutative := Join(a, b).equal(Join(b, a))
		associative := Join(a, Join(b, c)).equal(Join(Join(a, b), c))
		idempotent := Join(a, a).equal(a)
		if !commutative || !associative || !idempotent {
			t.Fatalf("commutative %v, associative %v, idempotent %v: %+v, %+v, %+v", commutative, associative, idempotent, a, b, c)
		}
	})
}

// Guards against a merge that depends on order or repetition, and against records that circulate for ever.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rs := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 8).Draw(t, "records")
		one, other := NewList(Config{}), NewList(Config{})
		one.Merge(start, rs)
		for _, r := range rapid.Permutation(append(slices.Clone(rs), rs...)).Draw(t, "order") {
			other.Merge(start, []Record{r})
		}
		if !slices.EqualFunc(one.Records(), other.Records(), Record.equal) {
			t.Fatalf("lists differ: %+v and %+v", one.Records(), other.Records())
		}
		if changed := one.Merge(start, rs); len(changed) > 0 {
			t.Fatalf("known records reported as changed: %+v", changed)
		}
	})
}

// Guards against a suspect that runs beside other requests, requests that start out of order, and a request that waits
// although it could start.
func TestIsolationQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewIsolationQueue()
		alone := rapid.SliceOfN(rapid.Bool(), 1, 30).Draw(t, "alone")
		var running, ids []uint64
		offered, started := 0, 0
		for offered < len(alone) || len(running) > 0 {
			if offered < len(alone) && (len(running) == 0 || rapid.Bool().Draw(t, "offer")) {
				ids = q.Offer(uint64(offered), alone[offered])
				offered++
			} else {
				i := rapid.IntRange(0, len(running)-1).Draw(t, "done")
				id := running[i]
				running = slices.Delete(running, i, i+1)
				ids = q.Done(id)
			}
			for _, id := range ids {
				if int(id) != started {
					t.Fatalf("request %d started before %d", id, started)
				}
				started++
				running = append(running, id)
			}
			if len(running) > 1 && slices.ContainsFunc(running, func(id uint64) bool { return alone[id] }) {
				t.Fatalf("a suspect is among the running requests %v", running)
			}
			if started < offered && (len(running) == 0 || !alone[started] && !alone[running[0]]) {
				t.Fatalf("request %d waits beside %v", started, running)
			}
		}
	})
}

// Guards against a quarantine that never expires, and against a lift that is undone by a record of the crash that
// arrives later.
func TestExpiryAndLift(t *testing.T) {
	fp := NewFingerprint("transfer", "POST", "/transfers", []byte("x"))
	l := NewList(Config{})
	suspicion := l.ReportCrash(start, []Fingerprint{fp})
	confirmation := l.ReportCrash(start, []Fingerprint{fp})
	last, after := l.Check(start.Add(DefaultConfirmedTTL-1), fp), l.Check(start.Add(DefaultConfirmedTTL), fp)
	if last != Refuse || after != Allow {
		t.Fatalf("before expiry: %v; after expiry: %v", last, after)
	}
	lifted := l.Lift(start, fp)
	peer := NewList(Config{})
	peer.Merge(start, lifted)
	peer.Merge(start, append(confirmation, suspicion...))
	if v := peer.Check(start, fp); v != Allow {
		t.Fatalf("after lift: %v", v)
	}
}

// Guards against a full list that grows, or that drops a confirmation to hold suspects that expire later.
func TestFullListKeepsConfirmations(t *testing.T) {
	cfg := Config{MaxRecords: 2, ConfirmedTTL: time.Minute}
	fps := []Fingerprint{{1}, {2}, {3}}
	now := start.Add(time.Second)
	l, other := NewList(cfg), NewList(Config{})
	l.ReportCrash(start, fps[:1])
	l.ReportCrash(start, fps[:1])
	l.ReportCrash(now, fps[1:])
	other.ReportCrash(now, fps[2:])
	l.Merge(now, other.ReportCrash(now, fps[2:]))
	if len(l.Records()) != 2 || l.Check(now, fps[0]) != Refuse || l.Check(now, fps[2]) != Refuse {
		t.Fatalf("records: %+v", l.Records())
	}
}

var (
	poison   = Fingerprint{0xff} // every run of it crashes the backend server
	harmless = []Fingerprint{{1}, {2}, {3}}
)

// simRun is one request in a simulated daemon.
type simRun struct {
	fp       Fingerprint
	decision Decision
}

// simDaemon is one daemon with its backend server.
type simDaemon struct {
	list    *List
	queue   *IsolationQueue
	runs    map[uint64]simRun // waiting and running
	running []uint64
	// reportedState is the state of poison according to the records and crashes that reached the daemon. The simulation
	// tracks it independently of list.
	reportedState      State
	lost               int // backend servers lost to poison
	startedUnsuspected int // 1 if poison started before the daemon had a record of the suspicion, else 0
	startedAlone       int // number of starts of poison as a suspect
}

type simMessage struct {
	to      int
	records []Record
}

// simulation is a service of one to four daemons in which records are delivered with a delay, in any order.
type simulation struct {
	daemons  []*simDaemon
	messages []simMessage
	nextID   uint64
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{}
	for range rapid.IntRange(1, 4).Draw(t, "daemons") {
		s.daemons = append(s.daemons,
			&simDaemon{list: NewList(Config{}), queue: NewIsolationQueue(), runs: map[uint64]simRun{}})
	}
	return s
}

func (s *simulation) drawDaemon(t *rapid.T) int {
	return rapid.IntRange(0, len(s.daemons)-1).Draw(t, "daemon")
}

func (s *simulation) sendHarmless(t *rapid.T) {
	s.send(t, s.drawDaemon(t), rapid.SampledFrom(harmless).Draw(t, "request"))
}

func (s *simulation) disseminate(from int, rs []Record) {
	for to := range s.daemons {
		if to != from && len(rs) > 0 {
			s.messages = append(s.messages, simMessage{to: to, records: rs})
		}
	}
}

func (s *simulation) deliver(i int) {
	m := s.messages[i]
	s.messages = slices.Delete(s.messages, i, i+1)
	d := s.daemons[m.to]
	for _, r := range m.records {
		if r.Fingerprint == poison {
			d.reportedState = max(d.reportedState, r.StateAt(start))
		}
	}
	s.disseminate(m.to, d.list.Merge(start, m.records))
}

// send passes a request to a daemon, which queues it unless it is quarantined.
func (s *simulation) send(t *rapid.T, i int, fp Fingerprint) {
	d := s.daemons[i]
	if v := d.list.Check(start, fp); v != Refuse {
		s.nextID++
		d.runs[s.nextID] = simRun{fp: fp, decision: v}
		s.handleStarted(t, i, d.queue.Offer(s.nextID, v == RunAlone))
	}
}

// handleStarted handles the requests that the queue started. A request is sent again if the decision on it changed
// while it waited.
func (s *simulation) handleStarted(t *rapid.T, i int, ids []uint64) {
	d := s.daemons[i]
	for _, id := range ids {
		r := d.runs[id]
		if d.list.Check(start, r.fp) != r.decision {
			delete(d.runs, id)
			s.handleStarted(t, i, d.queue.Done(id))
			s.send(t, i, r.fp)
			continue
		}
		d.running = append(d.running, id)
		if r.fp == poison {
			d.recordPoisonStart(t)
		}
		if len(d.running) > 1 && slices.ContainsFunc(d.running, func(id uint64) bool { return d.runs[id].decision == RunAlone }) {
			t.Fatalf("a suspect runs with %d other requests", len(d.running)-1)
		}
	}
}

// recordPoisonStart counts a start of poison. It fails if the daemon had to refuse it, or to wait until it can run
// alone.
func (d *simDaemon) recordPoisonStart(t *rapid.T) {
	switch {
	case d.reportedState == Confirmed:
		t.Fatal("confirmed request started")
	case d.reportedState == Suspect && len(d.running) != 1:
		t.Fatalf("suspect started with %d in flight", len(d.running))
	case d.reportedState == Suspect:
		d.startedAlone++
	default:
		d.startedUnsuspected = 1
	}
}

// end crashes a daemon's backend server with all requests in flight if poison is one of them. Otherwise it completes
// the oldest request in flight.
func (s *simulation) end(t *rapid.T, i int) {
	d := s.daemons[i]
	ended := d.running[:min(1, len(d.running))]
	if slices.ContainsFunc(d.running, func(id uint64) bool { return d.runs[id].fp == poison }) {
		ended = d.running
		s.crash(i)
	} else if len(ended) > 0 {
		s.disseminate(i, d.list.ReportCompletion(start, d.runs[ended[0]].fp))
	}
	d.running = d.running[len(ended):]
	for _, id := range ended {
		delete(d.runs, id)
		s.handleStarted(t, i, d.queue.Done(id))
	}
}

// crash reports all requests in flight on a daemon as suspects and disseminates the records.
func (s *simulation) crash(i int) {
	d := s.daemons[i]
	var fps []Fingerprint
	for _, id := range d.running {
		fps = append(fps, d.runs[id].fp)
	}
	s.disseminate(i, d.list.ReportCrash(start, fps))
	d.lost++
	d.reportedState = max(d.reportedState, Suspect)
	if d.startedAlone > 0 {
		d.reportedState = Confirmed
	}
}

// settle ends all runs and delivers all messages, until none are left.
func (s *simulation) settle(t *rapid.T) {
	for busy := true; busy; {
		busy = len(s.messages) > 0
		for len(s.messages) > 0 {
			s.deliver(0)
		}
		for i, d := range s.daemons {
			busy = busy || len(d.running) > 0
			s.end(t, i)
		}
	}
}

// checkBound checks the bound of the package comment and returns the number of lost backend servers.
func (s *simulation) checkBound(t *rapid.T) int {
	lost, bound := 0, 0
	for i, d := range s.daemons {
		lost += d.lost
		bound += d.startedUnsuspected + d.startedAlone
		if d.lost > 2 || d.startedAlone > 1 {
			t.Fatalf("daemon %d lost %d backend servers and ran the suspect alone %d times", i, d.lost, d.startedAlone)
		}
	}
	if lost > bound {
		t.Fatalf("%d backend servers lost, bound %d", lost, bound)
	}
	return lost
}

// Guards against more backend servers lost to one fingerprint than the bound in the package comment allows, a suspect
// that runs beside other requests, a confirmed request that starts, and harmless requests that stay suspects.
func TestBoundUnderDelayedDissemination(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"poison":   func(t *rapid.T) { s.send(t, s.drawDaemon(t), poison) },
			"harmless": s.sendHarmless,
			"end":      func(t *rapid.T) { s.end(t, s.drawDaemon(t)) },
			"deliver": func(t *rapid.T) {
				if len(s.messages) == 0 {
					t.Skip("no message")
				}
				s.deliver(rapid.IntRange(0, len(s.messages)-1).Draw(t, "message"))
			},
			"": func(t *rapid.T) { s.checkBound(t) },
		})
		s.settle(t)
		for _, fp := range harmless { // one more run on one daemon clears a request everywhere
			s.send(t, 0, fp)
		}
		s.settle(t)
		s.checkBound(t)
		for i, d := range s.daemons {
			for _, fp := range harmless {
				if v := d.list.Check(start, fp); v != Allow {
					t.Fatalf("harmless request on daemon %d: %v", i, v)
				}
			}
		}
	})
}

// Guards against the loss of a third backend server to a caller that resends only after the records of the previous
// crash have reached all daemons.
func TestSequentialResendsCostTwo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range 10 {
			for range rapid.IntRange(0, 3).Draw(t, "others") {
				s.sendHarmless(t)
			}
			s.send(t, s.drawDaemon(t), poison)
			s.settle(t)
		}
		if lost := s.checkBound(t); lost != 2 {
			t.Fatalf("%d backend servers lost, want 2", lost)
		}
	})
}
