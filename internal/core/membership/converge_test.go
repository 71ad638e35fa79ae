package membership

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// healLimit bounds the convergence after a partition heals. It covers the suspicion of the last member that failed
// (8 s), contact with members that are marked down (10 s on average, several rounds at worst), and an exchange
// between zones with its gossip.
const healLimit = 90 * time.Second

// applyRandomFault applies one random fault.
func (s *sim) applyRandomFault(t *rapid.T) {
	a := rapid.SampledFrom(s.addresses).Draw(t, "node")
	n := s.nodes[a]
	switch rapid.SampledFrom([]string{"kill", "start", "reuse", "wrong clock", "cut", "isolate", "heal", "freeze", "unfreeze", "flap",
		"delay", "duplicate", "restart zone"}).Draw(t, "action") {
	case "kill":
		s.kill(a)
	case "start":
		s.start(a, "lookup")
	case "reuse":
		s.start(a, "docstore")
	case "wrong clock":
		n.clockSkew = time.Duration(rapid.IntRange(-180, 180).Draw(t, "minutes")) * time.Minute
		s.start(a, "lookup")
	case "cut":
		for _, b := range s.addresses {
			s.nodes[b].partition = rapid.IntRange(0, 1).Draw(t, "side")
		}
	case "isolate":
		n.partition = 9
	case "heal":
		s.heal()
	case "freeze":
		n.frozen = n.node != nil
	case "unfreeze":
		s.unfreeze(a)
	case "flap":
		if n.node != nil && !n.frozen {
			for _, state := range []State{StateLeaving, StateServing} {
				n.node.SetState(s.time(a), state)
			}
		}
	case "delay":
		s.maxDelay = rapid.IntRange(1, 8).Draw(t, "delay")
	case "duplicate":
		s.duplicate = rapid.Float64Range(0, 0.5).Draw(t, "share")
	case "restart zone":
		zone := rapid.SampledFrom(s.zones).Draw(t, "zone")
		for _, b := range s.addresses {
			s.nodes[b].partition = 0
			if zoneOf(b) == zone {
				s.nodes[b].partition = 1
				s.start(b, "lookup")
			}
		}
	}
}

// heal ends all partitions.
func (s *sim) heal() {
	for _, a := range s.addresses {
		s.nodes[a].partition = 0
	}
}

// Guards against tables that stay different and live members that stay marked down after kills, partitions, frozen
// daemons, delays, duplicates, wrong clocks, flapping states, the restart of a zone while partitioned, and reuse of
// addresses.
func TestMembersConverge(t *testing.T) {
	var longest time.Duration
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		s := newSim(Config{}, zones, rapid.IntRange(2, 6).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		s.startAll()
		for range rapid.IntRange(1, 25).Draw(t, "actions") {
			s.run(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * simStep)
			s.applyRandomFault(t)
		}
		s.heal()
		s.maxDelay, s.duplicate = 1, 0
		for _, a := range s.addresses {
			s.unfreeze(a)
		}
		elapsed, last := s.converge(healLimit)
		if last != "" {
			t.Fatalf("after %v: %s", elapsed, last)
		}
		longest = max(longest, elapsed)
	})
	t.Logf("longest convergence %v", longest)
}

// Guards against two zones that never exchange tables again, because in each table all members of the other zone that
// are shown alive are gone.
func TestZonesThatSeeEachOtherDownReconnect(t *testing.T) {
	s := newSim(Config{}, 2, 2, 1)
	s.startAll()
	s.run(40 * time.Second)
	s.noSummaries = true
	for z := range 2 {
		s.nodes[simAddress(z, 1)].partition = 1
	}
	s.run(30 * time.Second)
	s.kill(simAddress(0, 1))
	s.kill(simAddress(1, 0))
	s.heal()
	if elapsed, last := s.converge(healLimit); last != "" {
		t.Fatalf("after %v: %s", elapsed, last)
	}
}

// Guards against a removed record that comes back from a zone that was partitioned all the time, or from a node that
// was frozen, by its table or by old messages in its buffers.
func TestRemovedMembersStayRemoved(t *testing.T) {
	for _, keepBuffers := range []bool{false, true} {
		checkRemoved(t, keepBuffers)
	}
}

// checkRemoved checks that a removed record doesn't return. With keepBuffers the frozen node resumes with an old
// message that holds the record.
func checkRemoved(t *testing.T, keepBuffers bool) {
	t.Helper()
	cfg := Config{RemoveAfter: 2 * time.Minute}
	s := newSim(cfg, 2, 6, 1)
	s.startAll()
	s.run(40 * time.Second)
	if d := s.disagreement(); d != "" {
		t.Fatal(d)
	}
	gone := simAddress(0, 4)
	old := s.nodes[gone].node.Self()
	frozen := simAddress(0, 5)
	s.nodes[frozen].frozen = true
	for _, a := range s.addresses {
		if zoneOf(a) == "z1" {
			s.nodes[a].partition = 1
		}
	}
	s.kill(gone)
	s.run(cfg.RemoveAfter + 40*time.Second)
	watcher := s.nodes[simAddress(0, 1)].node
	if r, known := watcher.Member(gone); known {
		t.Fatalf("not removed: %v", r)
	}
	s.heal()
	s.nodes[frozen].inbox = nil
	if keepBuffers {
		s.nodes[frozen].inbox = []Message{{
			Kind: KindGossip, From: simAddress(0, 1), To: frozen, Zone: "z0", Records: []Record{old},
		}}
	}
	s.unfreeze(frozen)
	for range 240 { // one minute
		s.step()
		for _, a := range s.live() {
			if r, known := s.nodes[a].node.Member(gone); known && r.State < StateSuspect && zoneOf(a) == "z0" {
				t.Fatalf("%s holds %v again", a, r)
			}
		}
	}
}

// Guards against members that other zones show alive forever, because all members of their own zone that could mark
// them down are gone too.
func TestZoneThatReturnsSmallerIsNoticed(t *testing.T) {
	s := newSim(Config{}, 2, 4, 1)
	s.startAll()
	s.run(40 * time.Second)
	for i := range 4 {
		s.kill(simAddress(0, i))
	}
	s.start(simAddress(0, 1), "lookup")
	if elapsed, last := s.converge(healLimit); last != "" {
		t.Fatalf("after %v: %s", elapsed, last)
	}
}

// Guards against a new member that doesn't join because it tries only bootstrap peers that are gone, while another is
// alive.
func TestNewMemberJoinsThroughLivePeer(t *testing.T) {
	for seed := range uint64(8) {
		s := newSim(Config{}, 1, 6, seed)
		for _, i := range []int{2, 3, 4} {
			s.start(simAddress(0, i), "lookup")
		}
		s.run(20 * time.Second)
		s.start(simAddress(0, 5), "lookup")
		if elapsed, last := s.converge(4 * time.Second); last != "" {
			t.Errorf("after %v: %s", elapsed, last)
		}
	}
}

// Guards against a daemon that was paused itself and then suspects the others, whose messages it missed.
func TestPausedDaemonSuspectsNobody(t *testing.T) {
	s := newSim(Config{}, 1, 6, 1)
	s.startAll()
	s.run(20 * time.Second)
	paused := s.nodes[simAddress(0, 3)]
	s.run(time.Second)
	paused.frozen = true
	s.run(30 * time.Second)
	paused.frozen, paused.inbox = false, nil
	for range 8 {
		s.now = s.now.Add(simStep)
		paused.node.Tick(s.now)
	}
	for _, r := range paused.node.Ready().Changes {
		if r.Address != simAddress(0, 3) {
			t.Errorf("changed %v", r)
		}
	}
}

// Guards against records that are down and never disappear, because nodes return them to each other by anti-entropy.
func TestTableDoesNotReturnRemovedRecords(t *testing.T) {
	s := newSim(Config{}, 1, 2, 1)
	s.startAll()
	s.run(10 * time.Second)
	a, b := s.nodes[simAddress(0, 0)].node, s.nodes[simAddress(0, 1)].node
	gone := Record{Address: simAddress(0, 7), Zone: "z0", Seq: 5, State: StateDown}
	for kind, want := range map[Kind]bool{KindBucketRecords: false, KindGossip: true} {
		a.Step(s.now, Message{Kind: kind, From: b.Self().Address, To: a.Self().Address, Zone: "z0", Records: []Record{gone}})
		if _, known := a.Member(gone.Address); known != want {
			t.Errorf("kind %d: known %v, want %v", kind, known, want)
		}
		a.table.remove(gone.Address)
	}
}

// Guards against changes that gossip doesn't spread to all members, and against gossip that never ends.
func TestGossipReachesAllAndEnds(t *testing.T) {
	s := newSim(Config{}, 1, 60, 1)
	s.startAll()
	if _, last := s.converge(time.Minute); last != "" {
		t.Fatal(last)
	}
	s.run(time.Minute)
	left := s.addresses[7]
	sent := make(map[string]int)
	s.onSend = func(m Message) {
		for _, r := range m.Records {
			if m.Kind == KindGossip && r.Address == left {
				sent[m.From]++
			}
		}
	}
	s.nodes[left].node.SetState(s.now, StateLeaving)
	if elapsed, last := s.converge(3 * time.Second); last != "" {
		t.Errorf("after %v: %s", elapsed, last)
	}
	s.run(30 * time.Second)
	for a, n := range sent {
		// The leaving member also sends its record to its 8 neighbors and 4 random targets at once.
		limit := s.nodes[a].node.transmitLimit()
		if a == left {
			limit += 12
		}
		if n > limit {
			t.Errorf("%s sent the record %d times, more than %d", a, n, limit)
		}
	}
}

// Guards against suspicions while tables are incomplete. When 573 members started at once, some didn't know their
// monitors yet and sent them no heartbeats, which led to 44,244 records of suspect or down members after 110 s.
func TestStartOfAZoneSuspectsNobody(t *testing.T) {
	s := newSim(Config{}, 1, 150, 1)
	s.startAll()
	for range 30 {
		s.run(time.Second)
		for _, a := range s.addresses {
			for _, r := range s.nodes[a].node.Members() {
				if r.State >= StateSuspect {
					t.Fatalf("%s holds %v", a, r)
				}
			}
		}
	}
}

// Guards against heartbeats that keep going to members that aren't successors of their sender on the ring.
func TestHeartbeatToTheWrongMemberIsRedirected(t *testing.T) {
	s := newSim(Config{}, 1, 20, 1)
	s.startAll()
	s.run(30 * time.Second)
	n := s.nodes[s.addresses[0]].node
	for _, from := range s.addresses[1:] {
		n.Ready()
		n.Step(s.now, Message{Kind: KindHeartbeat, From: from, To: n.Self().Address, Zone: "z0",
			Incarnation: s.nodes[from].node.Self().Incarnation, Seq: s.nodes[from].node.Self().Seq, State: StateServing})
		successors := s.nodes[from].node.currentRing().neighbors(4, forward)
		var redirectedTo []string
		for _, m := range n.Ready().Messages {
			for _, r := range m.Records {
				redirectedTo = append(redirectedTo, r.Address)
			}
		}
		if slices.Contains(successors, n.Self().Address) {
			successors = nil
		}
		if !slices.Equal(redirectedTo, successors) {
			t.Errorf("%s was redirected to %v, want %v", from, redirectedTo, successors)
		}
	}
}
