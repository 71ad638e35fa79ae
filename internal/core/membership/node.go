package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Config holds the timing of a node. The zero value of a field stands for its default.
type Config struct {
	// HeartbeatInterval is the time between heartbeats to the successors. Default 1 s.
	HeartbeatInterval time.Duration
	// SuspectAfter is the silence after which a monitor suspects a member: 3 heartbeats. Default 3 s.
	SuspectAfter time.Duration
	// DownAfter is the time that a suspect has for its refutation. Default 5 s.
	DownAfter time.Duration
	// Neighbors is the number of successors that receive heartbeats and so monitor this member. Default 4: one
	// change of the ring can hide a member from at most as many monitors as members fail at once.
	Neighbors int
	// RandomTargets is the number of random members that gossip also goes to. Default 4. Neighbors alone would make
	// the number of hops grow with the size of the ring.
	RandomTargets int
	// GossipInterval is the time between gossip messages while changes are queued. Default 250 ms.
	GossipInterval time.Duration
	// GossipFanout is the number of receivers of one round. Default 3; with 573 members six rounds reach all.
	GossipFanout int
	// GossipRate bounds the records sent by gossip, per second. Default 12: at 60 bytes each, sent and received, and
	// 330 for each message it takes about 2 KB/s of the daemon's 6 KB/s. What exceeds it waits.
	GossipRate int
	// SyncRate bounds the records sent in tables, per second. Default 20: at 45 bytes each, sent and received, it
	// takes 1.8 KB/s. The heartbeats need 2 KB/s.
	SyncRate int
	// SyncInterval is the time between comparisons with a random member. Default 10 s.
	SyncInterval time.Duration
	// SyncRetry is the time to the next comparison after one that found a difference. Default 2 s.
	SyncRetry time.Duration
	// SyncBuckets bounds the buckets exchanged at once. Default 8 of 64.
	SyncBuckets int
	// ForgetAfter is how long a record that is down is kept. A node that was paused for half of it discards its
	// table, so that no node can bring back what others have forgotten. Default 2 h; with 1,300 restarts a day in
	// the fleet about 110 such records exist.
	ForgetAfter time.Duration
}

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (c Config) withDefaults() Config {
	orDefault(&c.HeartbeatInterval, time.Second)
	orDefault(&c.SuspectAfter, 3*time.Second)
	orDefault(&c.DownAfter, 5*time.Second)
	orDefault(&c.Neighbors, 4)
	orDefault(&c.RandomTargets, 4)
	orDefault(&c.GossipInterval, 250*time.Millisecond)
	orDefault(&c.GossipFanout, 3)
	orDefault(&c.GossipRate, 12)
	orDefault(&c.SyncRate, 20)
	orDefault(&c.SyncInterval, 10*time.Second)
	orDefault(&c.SyncRetry, 2*time.Second)
	orDefault(&c.SyncBuckets, 8)
	orDefault(&c.ForgetAfter, 2*time.Hour)
	return c
}

// staleMessageWindow is how long a node ignores messages after a long pause: what it finds in its buffers then is as old as the
// pause and may hold members that the others have forgotten.
const staleMessageWindow = time.Second

// Output is what a node wants done.
type Output struct {
	// Messages are to be sent; each names its receiver in To. Losing one is harmless.
	Messages []Message
	// Changes are the new versions of records, this node's own included, in the order of the changes. A record
	// that was discarded is reported as down.
	Changes []Record
}

// Node is one daemon's view of the members. It isn't safe for concurrent use.
type Node struct {
	cfg            Config
	self           Record
	bootstrapPeers []string
	rng            *rand.Rand

	table         *table
	ring          ring
	ringStale     bool
	lastHeard     map[string]time.Time // last message of each monitored member
	lastProbe     map[string]time.Time // last probe of each silent member
	broadcasts    broadcastQueue
	randomTargets []string

	started            bool
	startedAt          time.Time
	lastInput          time.Time // time of the last input
	ignoreUntil        time.Time // until when messages are ignored after a long pause
	nextHeartbeat      time.Time
	nextGossip         time.Time
	nextSync           time.Time
	gossipLimiter      rateLimiter
	syncLimiter        rateLimiter
	digestReplyLimiter rateLimiter // to digests
	redirectLimiter    rateLimiter

	out Output
}

// New returns a node. self.Seq may be zero; the node then starts from its clock. peers are the bootstrap peers, whose
// addresses the node contacts until it knows members and now and then afterwards.
func New(cfg Config, self Record, peers []string, rng *rand.Rand) *Node {
	n := &Node{cfg: cfg.withDefaults(), self: self, rng: rng, table: newTable(), lastHeard: make(map[string]time.Time)}
	n.lastProbe = make(map[string]time.Time)
	for _, p := range peers {
		if p != self.Address {
			n.bootstrapPeers = append(n.bootstrapPeers, p)
		}
	}
	n.ringStale = true
	n.broadcasts = newBroadcastQueue()
	return n
}

// Self returns this node's own record.
func (n *Node) Self() Record {
	return n.self
}

// Members returns all records, sorted by address. It includes this node's own and those that are down.
func (n *Node) Members() []Record {
	rs := make([]Record, 0, len(n.table.entries))
	for _, e := range n.table.entries {
		rs = append(rs, e.rec)
	}
	sortRecords(rs)
	return rs
}

// Member returns the record of an address.
func (n *Node) Member(address string) (Record, bool) {
	return n.table.get(address)
}

// Hash returns a hash over the records that aren't down. It is equal on nodes that agree.
func (n *Node) Hash() uint64 {
	return n.table.hash()
}

// ZoneHash returns a hash over the records of a zone that aren't down.
func (n *Node) ZoneHash(zone string) uint64 {
	return HashRecords(n.table.recordsInZone(zone))
}

// Ready returns the output since the last call and clears it.
func (n *Node) Ready() Output {
	out := n.out
	n.out = Output{}
	return out
}

// SetState changes this node's own state and tells its neighbours and contacts at once. StateDown announces the exit.
func (n *Node) SetState(now time.Time, s State) {
	n.advanceTime(now)
	if n.self.State == s {
		return
	}
	n.self.State = s
	n.self.Seq++
	n.broadcastSelf(now)
	if s != StateLeaving && s != StateDown {
		return
	}
	for _, to := range n.GossipTargets() {
		n.send(Message{Kind: KindGossip, To: to, Records: []Record{n.self}})
	}
}

// SetSlots changes the slots in this node's own record.
func (n *Node) SetSlots(now time.Time, slots int) {
	n.advanceTime(now)
	if n.self.Slots == slots {
		return
	}
	n.self.Slots = slots
	n.self.Seq++
	n.broadcastSelf(now)
}

// AddPeers adds addresses to the bootstrap peers.
func (n *Node) AddPeers(addresses []string) {
	for _, p := range addresses {
		if p != n.self.Address && !slices.Contains(n.bootstrapPeers, p) {
			n.bootstrapPeers = append(n.bootstrapPeers, p)
		}
	}
}

// broadcastSelf stores this node's own record and queues it.
func (n *Node) broadcastSelf(now time.Time) {
	n.store(now, n.self)
	n.queueBroadcast(n.self.Address)
}

// store puts a record into the table and reports it.
func (n *Node) store(now time.Time, r Record) {
	old, known := n.table.get(r.Address)
	n.table.put(now, r)
	n.out.Changes = append(n.out.Changes, r)
	if !known || old.Alive() != r.Alive() || old.Zone != r.Zone {
		n.ringStale = true
	}
}

// send completes a message with the sender's data and queues it for Ready.
func (n *Node) send(m Message) {
	m.From = n.self.Address
	m.Zone = n.self.Zone
	m.Incarnation = n.self.Incarnation
	m.Seq = n.self.Seq
	m.State = n.self.State
	n.out.Messages = append(n.out.Messages, m)
}

// advanceTime starts the node with its first input and notices pauses: after one, all members have been silent and none
// of them may be suspected for it.
func (n *Node) advanceTime(now time.Time) {
	if !n.started {
		n.start(now)
		return
	}
	gap := now.Sub(n.lastInput)
	if gap < 0 {
		return // an input that was stamped earlier than the last one
	}
	n.lastInput = now
	if gap <= n.cfg.SuspectAfter {
		return
	}
	clear(n.lastHeard)
	for _, e := range n.table.entries {
		if e.rec.State == StateSuspect {
			e.stateSince = now
		}
	}
	if gap >= n.cfg.ForgetAfter/2 {
		n.discardOtherMembers()
		n.ignoreUntil = now.Add(staleMessageWindow)
	}
	n.nextSync = now
}

func (n *Node) start(now time.Time) {
	n.started = true
	n.startedAt = now
	n.lastInput = now
	n.self.Seq = max(n.self.Seq, uint64(max(now.UnixMilli(), 1)))
	n.nextHeartbeat = now
	n.nextGossip = now
	n.nextSync = now
	n.gossipLimiter = newRateLimiter(now, n.cfg.GossipRate, maxGossipRecords)
	n.syncLimiter = newRateLimiter(now, n.cfg.SyncRate, syncBurstRecords)
	n.digestReplyLimiter = newRateLimiter(now, digestReplyRate, digestReplyBurst)
	n.redirectLimiter = newRateLimiter(now, redirectRate, redirectRate)
	n.broadcastSelf(now)
}

// discardOtherMembers empties the table after a long pause, as others may have forgotten what it says.
func (n *Node) discardOtherMembers() {
	for _, r := range n.Members() {
		if r.Address == n.self.Address {
			continue
		}
		n.table.remove(r.Address)
		r.State = StateDown
		n.out.Changes = append(n.out.Changes, r)
	}
	n.broadcasts = newBroadcastQueue()
	n.broadcasts.add(n.self.Address, n.transmitLimit())
	n.randomTargets = nil
	n.ringStale = true
}

// Tick lets time pass. Callers tick a few times per GossipInterval or whenever it suits them; the timing of messages
// follows from now alone.
func (n *Node) Tick(now time.Time) {
	n.advanceTime(now)
	if !now.Before(n.nextHeartbeat) {
		n.nextHeartbeat = now.Add(n.cfg.HeartbeatInterval)
		n.heartbeat()
	}
	n.monitor(now)
	if !now.Before(n.nextGossip) {
		n.nextGossip = now.Add(n.cfg.GossipInterval)
		n.gossip(now)
	}
	if !now.Before(n.nextSync) {
		n.nextSync = now.Add(n.jitter(n.cfg.SyncInterval))
		n.forget(now)
		n.rotateRandomTargets()
		n.sync(now)
	}
}

// jitter spreads periodic work of nodes that started together by a fifth in both directions.
func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*n.rng.Float64()))
}

func (n *Node) heartbeat() {
	for _, to := range n.currentRing().neighbors(n.cfg.Neighbors, forward) {
		n.send(Message{Kind: KindHeartbeat, To: to})
	}
}

// monitor suspects silent predecessors and declares suspects down that stayed silent. A silent predecessor that was
// leaving has exited as announced and is down at once; as a suspect it would receive calls again.
func (n *Node) monitor(now time.Time) {
	predecessors := n.currentRing().neighbors(n.cfg.Neighbors, backward)
	lastHeard := make(map[string]time.Time, len(predecessors))
	for _, p := range predecessors {
		last, ok := n.lastHeard[p]
		if !ok {
			last = now // just became its monitor
		}
		lastHeard[p] = last
		e := n.table.entries[p]
		if now.Sub(last) < n.cfg.SuspectAfter {
			n.probe(now, p, last)
			continue
		}
		switch {
		case e.rec.State == StateLeaving:
			n.setMemberState(now, e.rec, StateDown)
		case e.rec.State != StateSuspect:
			n.setMemberState(now, e.rec, StateSuspect)
		case now.Sub(e.stateSince) >= n.cfg.DownAfter:
			n.setMemberState(now, e.rec, StateDown)
		}
	}
	n.lastHeard = lastHeard
	for p := range n.lastProbe {
		if _, monitored := lastHeard[p]; !monitored {
			delete(n.lastProbe, p)
		}
	}
}

// probe asks a silent predecessor for its record before it is suspected. While tables are incomplete, as after the start
// of a whole zone, the predecessor may not know that this node expects its heartbeats.
func (n *Node) probe(now time.Time, address string, last time.Time) {
	silent := now.Sub(last)
	if silent < n.cfg.SuspectAfter/2 || now.Before(n.lastProbe[address].Add(n.cfg.HeartbeatInterval)) {
		return
	}
	n.lastProbe[address] = now
	n.send(Message{Kind: KindRecordRequest, To: address})
}

// setMemberState changes the state of another member's record at its Seq, which the member can refute with a higher one.
func (n *Node) setMemberState(now time.Time, r Record, s State) {
	r.State = s
	n.store(now, r)
	n.queueBroadcast(r.Address)
}

// forget removes records that have been down for ForgetAfter.
func (n *Node) forget(now time.Time) {
	for address, e := range n.table.entries {
		if address != n.self.Address && !e.rec.Alive() && now.Sub(e.stateSince) >= n.cfg.ForgetAfter {
			n.table.remove(address)
		}
	}
}

func (n *Node) currentRing() ring {
	if n.ringStale {
		n.ring = newRing(n.table, n.self.Zone, n.self.Address)
		n.ringStale = false
	}
	return n.ring
}

// rotateRandomTargets replaces one random contact, so that connections last long but no group of members stays apart.
func (n *Node) rotateRandomTargets() {
	if len(n.randomTargets) > 0 {
		i := n.rng.IntN(len(n.randomTargets))
		n.randomTargets = slices.Delete(n.randomTargets, i, i+1)
	}
	n.fillRandomTargets()
}

func (n *Node) fillRandomTargets() {
	n.randomTargets = slices.DeleteFunc(n.randomTargets, func(a string) bool {
		r, ok := n.table.get(a)
		return !ok || !r.Alive()
	})
	others := n.currentRing().addresses
	for try := 0; try < 2*n.cfg.RandomTargets && len(n.randomTargets) < n.cfg.RandomTargets && len(others) > 1; try++ {
		a := others[n.rng.IntN(len(others))]
		if a != n.self.Address && !slices.Contains(n.randomTargets, a) {
			n.randomTargets = append(n.randomTargets, a)
		}
	}
}

// GossipTargets returns the members that this node has connections to: neighbours and contacts.
func (n *Node) GossipTargets() []string {
	n.fillRandomTargets()
	r := n.currentRing()
	all := slices.Clone(n.randomTargets)
	all = append(all, r.neighbors(n.cfg.Neighbors, forward)...)
	all = append(all, r.neighbors(n.cfg.Neighbors, backward)...)
	slices.Sort(all)
	return slices.Compact(all)
}
