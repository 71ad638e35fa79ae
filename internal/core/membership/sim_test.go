package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// simStep is the time between two ticks of a node and the unit of message delays.
const simStep = 250 * time.Millisecond

// simNode is one address with the daemon that runs there.
type simNode struct {
	node      *Node // nil while killed
	frozen    bool
	inbox     []Message     // arrived while frozen
	partition int           // nodes of different partitions don't reach each other
	clockSkew time.Duration // by which the daemon's clock is ahead
}

// sim runs nodes over a network that partitions, delays and duplicates. The seed determines everything.
type sim struct {
	cfg         Config
	now         time.Time
	rng         *rand.Rand
	nodes       map[string]*simNode
	addresses   []string
	zones       []string
	inFlight    map[time.Time][]Message
	maxDelay    int     // of a message, in steps
	duplicate   float64 // share of messages that arrive twice
	starts      uint64
	noSummaries bool // relays don't learn of unknown zones by summaries in the platform
	onSend      func(Message)
}

func newSim(cfg Config, zones, size int, seed uint64) *sim {
	s := &sim{
		cfg: cfg, now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		nodes: make(map[string]*simNode), inFlight: make(map[time.Time][]Message), maxDelay: 1, onSend: func(Message) {},
	}
	for z := range zones {
		zone := fmt.Sprintf("z%d", z)
		s.zones = append(s.zones, zone)
		for i := range size {
			a := simAddress(z, i)
			s.addresses = append(s.addresses, a)
			s.nodes[a] = &simNode{}
		}
	}
	return s
}

func simAddress(zone, i int) string {
	return fmt.Sprintf("10.%d.%d.%d:7000", zone, i/250, i%250)
}

func zoneOf(address string) string {
	var z int
	if _, err := fmt.Sscanf(address, "10.%d.", &z); err != nil {
		panic(err)
	}
	return fmt.Sprintf("z%d", z)
}

// start starts a new daemon at an address, in place of any that runs there. It knows three bootstrap peers of its
// zone.
func (s *sim) start(address, service string) {
	s.starts++
	var z int
	if _, err := fmt.Sscanf(address, "10.%d.", &z); err != nil {
		panic(err)
	}
	self := Record{
		Address: address, CallAddress: address[:len(address)-4] + "8000", Service: service, Zone: zoneOf(address),
		Region: "kingston", Incarnation: call.Incarnation(s.starts<<32 | s.rng.Uint64N(1<<32)),
		State: StateServing, Slots: 90,
	}
	peers := []string{simAddress(z, 0), simAddress(z, 1), simAddress(z, 2)}
	n := s.nodes[address]
	n.node = New(s.cfg, self, peers, rand.New(rand.NewPCG(s.rng.Uint64(), s.starts)))
	n.frozen, n.inbox = false, nil
}

func (s *sim) startAll() {
	for _, a := range s.addresses {
		s.start(a, "lookup")
	}
}

func (s *sim) kill(address string) {
	n := s.nodes[address]
	n.node, n.frozen, n.inbox = nil, false, nil
}

// unfreeze delivers the messages that arrived while a node was frozen and lets it run again.
func (s *sim) unfreeze(address string) {
	n := s.nodes[address]
	if n.node == nil || !n.frozen {
		return
	}
	n.frozen = false
	for _, m := range n.inbox {
		n.node.Step(s.time(address), m)
	}
	n.inbox = nil
}

// live returns the addresses of the nodes that run and aren't frozen.
func (s *sim) live() []string {
	var live []string
	for _, a := range s.addresses {
		if n := s.nodes[a]; n.node != nil && !n.frozen {
			live = append(live, a)
		}
	}
	return live
}

// syncZones makes the first two live members of each zone compare tables with a member of another zone every 5 s, as
// relays do while the platform is down.
func (s *sim) syncZones() {
	if s.now.UnixMilli()%5000 != 0 || len(s.zones) == 1 {
		return
	}
	seen := make(map[string]int)
	for _, a := range s.live() {
		zone := zoneOf(a)
		if seen[zone]++; seen[zone] > 2 {
			continue
		}
		node := s.nodes[a].node
		remote, ok := node.RemoteMember()
		// At times the relay uses a member that it learned from a summary in the platform, so that it also reaches
		// zones that aren't in its table at all.
		for ok = ok && (s.noSummaries || s.rng.IntN(8) > 0); !ok; {
			remote = s.addresses[s.rng.IntN(len(s.addresses))]
			ok = zoneOf(remote) != zone
		}
		node.SyncWith(s.time(a), remote)
	}
}

// time returns the time by a daemon's clock.
func (s *sim) time(address string) time.Time {
	return s.now.Add(s.nodes[address].clockSkew)
}

// step advances the time by simStep, delivers the messages that are due and ticks all nodes.
func (s *sim) step() {
	s.now = s.now.Add(simStep)
	arrived := s.inFlight[s.now]
	delete(s.inFlight, s.now)
	for _, m := range arrived {
		s.deliver(m)
	}
	s.syncZones()
	for _, a := range s.addresses {
		n := s.nodes[a]
		if n.node == nil || n.frozen {
			continue
		}
		n.node.Tick(s.time(a))
		for _, m := range n.node.Ready().Messages {
			s.send(m)
		}
	}
}

func (s *sim) send(m Message) {
	s.onSend(m)
	copies := 1
	if s.rng.Float64() < s.duplicate {
		copies = 2
	}
	for range copies {
		at := s.now.Add(time.Duration(1+s.rng.IntN(s.maxDelay)) * simStep)
		s.inFlight[at] = append(s.inFlight[at], m)
	}
}

func (s *sim) deliver(m Message) {
	from, to := s.nodes[m.From], s.nodes[m.To]
	if to == nil || to.node == nil || from.partition != to.partition {
		return
	}
	if to.frozen {
		to.inbox = append(to.inbox, m)
		return
	}
	to.node.Step(s.time(m.To), m)
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// disagreement returns the first difference between two live nodes' tables, or between a table and the records of the
// live nodes, or "". Records of a zone without live members may stay, since no node is left that could mark them
// down.
func (s *sim) disagreement() string {
	live := s.live()
	wantRecords := make(map[string]Record, len(live))
	zones := make(map[string]bool)
	for _, a := range live {
		wantRecords[a] = s.nodes[a].node.Self()
		zones[zoneOf(a)] = true
		if first := live[0]; s.nodes[a].node.Hash() != s.nodes[first].node.Hash() {
			return fmt.Sprintf("tables differ: %s has %v\n%s has %v", first, s.nodes[first].node.Members(), a,
				s.nodes[a].node.Members())
		}
	}
	for _, a := range live {
		n := 0
		for _, r := range s.nodes[a].node.Members() {
			want, alive := wantRecords[r.Address]
			switch {
			case alive && r != want:
				return fmt.Sprintf("%s holds %v, want %v", a, r, want)
			case !alive && r.Alive() && zones[r.Zone]:
				return fmt.Sprintf("%s holds %v, which is gone", a, r)
			case alive:
				n++
			}
		}
		if n != len(live) {
			return fmt.Sprintf("%s knows %d of %d members", a, n, len(live))
		}
	}
	return ""
}

// converge runs until disagreement returns "" or the limit has passed. It returns the time that took and the last
// disagreement.
func (s *sim) converge(limit time.Duration) (time.Duration, string) {
	begin := s.now
	last := s.disagreement()
	for last != "" && s.now.Sub(begin) < limit {
		s.run(time.Second)
		last = s.disagreement()
	}
	return s.now.Sub(begin), last
}
