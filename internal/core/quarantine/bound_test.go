package quarantine

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	poison   = Fingerprint{0xff}
	harmless = []Fingerprint{{1}, {2}, {3}}
)

// simRun is one request in a simulated daemon.
type simRun struct {
	fp      Fingerprint
	verdict Verdict // at the offer, then at the start
}

// simDaemon is one daemon with its backend server. knows is what it was told about poison, recorded by the simulation
// and not by the list.
type simDaemon struct {
	list    *List
	gate    *Gate
	runs    map[uint64]simRun
	running []uint64
	knows   State
	lost    int // backend servers lost to poison
	naive   int // starts of poison before the suspicion was known, at most one counted between crashes
	alone   int // starts of poison as a suspect
}

type simMessage struct {
	to      int
	records []Record
}

// simulation is a service of several daemons with delayed dissemination.
type simulation struct {
	daemons  []*simDaemon
	messages []simMessage
	now      time.Time
	nextID   uint64
}

func newSimulation(n int) *simulation {
	s := &simulation{now: start}
	for range n {
		s.daemons = append(s.daemons, &simDaemon{list: New(Config{}), gate: NewGate(), runs: map[uint64]simRun{}})
	}
	return s
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
			d.knows = max(d.knows, r.StateAt(s.now))
		}
	}
	s.disseminate(m.to, d.list.Merge(s.now, m.records))
}

// send offers a request to a daemon.
func (s *simulation) send(t *rapid.T, i int, fp Fingerprint) {
	d := s.daemons[i]
	v := d.list.Check(s.now, fp)
	if v == Refuse {
		return
	}
	s.nextID++
	d.runs[s.nextID] = simRun{fp: fp, verdict: v}
	s.started(t, d, d.gate.Offer(s.nextID, v == RunAlone))
}

// started handles the requests that the gate let start. One whose verdict changed while it waited is offered again.
func (s *simulation) started(t *rapid.T, d *simDaemon, ids []uint64) {
	for len(ids) > 0 {
		id := ids[0]
		ids = ids[1:]
		r := d.runs[id]
		v := d.list.Check(s.now, r.fp)
		if v != r.verdict {
			delete(d.runs, id)
			ids = append(ids, d.gate.Done(id)...)
			if v != Refuse {
				s.nextID++
				d.runs[s.nextID] = simRun{fp: r.fp, verdict: v}
				ids = append(ids, d.gate.Offer(s.nextID, v == RunAlone)...)
			}
			continue
		}
		d.running = append(d.running, id)
		if r.fp == poison {
			s.poisonStarted(t, d)
		}
	}
	if v := s.aloneRuns(d); v > 0 && len(d.running) > 1 {
		t.Fatalf("a suspect runs with %d other requests", len(d.running)-1)
	}
}

func (s *simulation) aloneRuns(d *simDaemon) int {
	n := 0
	for _, id := range d.running {
		if d.runs[id].verdict == RunAlone {
			n++
		}
	}
	return n
}

func (s *simulation) poisonStarted(t *rapid.T, d *simDaemon) {
	switch d.knows {
	case Confirmed:
		t.Fatal("confirmed request started")
	case Suspect:
		if len(d.running) != 1 {
			t.Fatalf("suspect started with %d in flight", len(d.running))
		}
		d.alone++
	default:
		if d.lost == 0 {
			d.naive = 1
		}
	}
}

func (d *simDaemon) runsPoison() bool {
	return slices.ContainsFunc(d.running, func(id uint64) bool { return d.runs[id].fp == poison })
}

// crash ends a backend server that runs poison, with everything in flight on it.
func (s *simulation) crash(t *rapid.T, i int) {
	d := s.daemons[i]
	var fps []Fingerprint
	for _, id := range d.running {
		fps = append(fps, d.runs[id].fp)
	}
	d.lost++
	records := d.list.Crashed(s.now, fps)
	d.knows = max(d.knows, Suspect)
	if d.alone > 0 {
		d.knows = Confirmed
	}
	s.disseminate(i, records)
	ended := d.running
	d.running = nil
	for _, id := range ended {
		delete(d.runs, id)
		s.started(t, d, d.gate.Done(id))
	}
}

// complete ends a harmless request.
func (s *simulation) complete(t *rapid.T, i int, id uint64) {
	d := s.daemons[i]
	fp := d.runs[id].fp
	d.running = slices.DeleteFunc(d.running, func(o uint64) bool { return o == id })
	delete(d.runs, id)
	s.disseminate(i, d.list.Completed(s.now, fp))
	s.started(t, d, d.gate.Done(id))
}

// settle lets every run end and every message arrive.
func (s *simulation) settle(t *rapid.T) {
	for busy := true; busy; {
		busy = false
		for i, d := range s.daemons {
			switch {
			case d.runsPoison():
				s.crash(t, i)
				busy = true
			case len(d.running) > 0:
				s.complete(t, i, d.running[0])
				busy = true
			}
		}
		for len(s.messages) > 0 {
			s.deliver(0)
			busy = true
		}
	}
}

func (s *simulation) totals() (lost, naive, alone int) {
	for _, d := range s.daemons {
		lost += d.lost
		naive += d.naive
		alone += d.alone
	}
	return lost, naive, alone
}

func (s *simulation) checkBound(t *rapid.T) {
	lost, naive, alone := s.totals()
	if lost > naive+alone {
		t.Fatalf("%d backend servers lost, bound %d + %d", lost, naive, alone)
	}
	for i, d := range s.daemons {
		if d.lost > 2 || d.alone > 1 {
			t.Fatalf("daemon %d lost %d backend servers and ran the suspect alone %d times", i, d.lost, d.alone)
		}
	}
}

// Guards against more backend servers lost to one fingerprint than the bound in the package comment, a suspect that
// runs with others, a confirmed request that starts, and harmless requests that stay suspects.
func TestBoundUnderDelayedDissemination(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 4).Draw(t, "daemons"))
		daemon := func(t *rapid.T) int { return rapid.IntRange(0, len(s.daemons)-1).Draw(t, "daemon") }
		t.Repeat(map[string]func(*rapid.T){
			"poison":   func(t *rapid.T) { s.send(t, daemon(t), poison) },
			"harmless": func(t *rapid.T) { s.send(t, daemon(t), rapid.SampledFrom(harmless).Draw(t, "request")) },
			"crash": func(t *rapid.T) {
				if i := daemon(t); s.daemons[i].runsPoison() {
					s.crash(t, i)
				}
			},
			"complete": func(t *rapid.T) {
				i := daemon(t)
				for _, id := range s.daemons[i].running {
					if s.daemons[i].runs[id].fp != poison {
						s.complete(t, i, id)
						return
					}
				}
			},
			"deliver": func(t *rapid.T) {
				if len(s.messages) == 0 {
					t.Skip("no message")
				}
				s.deliver(rapid.IntRange(0, len(s.messages)-1).Draw(t, "message"))
			},
			"": s.checkBound,
		})
		s.settle(t)
		for _, fp := range harmless { // one more run on one daemon clears a request everywhere
			s.send(t, 0, fp)
		}
		s.settle(t)
		s.checkBound(t)
		for i, d := range s.daemons {
			for _, fp := range harmless {
				if v := d.list.Check(s.now, fp); v != Allow {
					t.Fatalf("harmless request on daemon %d: %v", i, v)
				}
			}
		}
	})
}

// Guards against a third backend server lost to a caller that resends after each crash has been disseminated.
func TestSequentialResendsCostTwo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 4).Draw(t, "daemons"))
		for range 10 {
			for range rapid.IntRange(0, 3).Draw(t, "others") {
				s.send(t, rapid.IntRange(0, len(s.daemons)-1).Draw(t, "daemon"), rapid.SampledFrom(harmless).Draw(t, "request"))
			}
			s.send(t, rapid.IntRange(0, len(s.daemons)-1).Draw(t, "daemon"), poison)
			s.settle(t)
		}
		if lost, _, _ := s.totals(); lost != 2 {
			t.Fatalf("%d backend servers lost, want 2", lost)
		}
	})
}
