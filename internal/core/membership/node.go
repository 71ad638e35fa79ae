package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Config holds the intervals and limits of a node. The zero value of a field stands for its default.
type Config struct {
	// HeartbeatInterval is the time between heartbeats to the successors. Default 1 s.
	HeartbeatInterval time.Duration
	// SuspectAfter is the time without a message after which a monitor suspects a member. Default 3 s, which is 3
	// heartbeats.
	SuspectAfter time.Duration
	// DownAfter is the time that a suspect has for its refutation. Default 5 s.
	DownAfter time.Duration
	// Neighbors is the number of successors that receive heartbeats and so monitor this member. Default 4: a change
	// of the ring can hide a member from at most as many monitors as members fail at once.
	Neighbors int
	// RandomTargets is the number of random members that receive gossip besides the neighbors on the ring. Default 4.
	// With neighbors alone, the number of hops would grow with the size of the ring.
	RandomTargets int
	// GossipInterval is the time between gossip messages while changes are queued. Default 250 ms.
	GossipInterval time.Duration
	// GossipFanout is the number of receivers of one gossip round. Default 3; with 573 members, six rounds reach all.
	GossipFanout int
	// GossipRate bounds the records sent by gossip, per second. Default 12: at 60 bytes for each record, sent and
	// received, and 330 for each message, it takes about 2 KB/s of the daemon's limit of 6 KB/s. Records above the
	// rate wait in the queue.
	GossipRate int
	// SyncRate bounds the records sent by anti-entropy, per second. Default 20: at 45 bytes for each record, sent and
	// received, it takes 1.8 KB/s. The heartbeats need 2 KB/s.
	SyncRate int
	// SyncInterval is the time between comparisons of the table with that of a random member. Default 10 s.
	SyncInterval time.Duration
	// SyncRetry is the time to the next comparison after one that found a difference. Default 2 s.
	SyncRetry time.Duration
	// SyncBuckets bounds the buckets sent in one exchange. Default 8 of 64.
	SyncBuckets int
	// RemoveAfter is how long a record that is down is kept. A node that was paused for half of this time discards
	// its table, so that it can't bring back records that others have removed. Default 2 h; with 1,300 restarts a
	// day in the fleet, about 110 such records exist.
	RemoveAfter time.Duration
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
	orDefault(&c.RemoveAfter, 2*time.Hour)
	return c
}

// staleMessageWindow is how long a node ignores messages after a pause of at least half of RemoveAfter. Messages that
// are buffered by then are as old as the pause and may hold members that the others have removed.
const staleMessageWindow = time.Second

// Output holds the messages and changes that a node produced since the last call of Ready.
type Output struct {
	// Messages are to be sent, each to the address in To. The protocol tolerates the loss of any of them.
	Messages []Message
	// Changes are the new versions of records, this node's own included, in the order of the changes. A record
	// that is discarded after a long pause is reported as down.
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
	ringStale     bool                 // ring must be built again from table
	lastHeard     map[string]time.Time // time of the last message of each monitored member
	lastProbe     map[string]time.Time // time of the last probe of each silent member
	broadcasts    broadcastQueue
	randomTargets []string // gossip targets besides the neighbors

	started            bool
	startedAt          time.Time
	lastInput          time.Time // latest time passed to any method
	ignoreUntil        time.Time // end of staleMessageWindow
	nextHeartbeat      time.Time
	nextGossip         time.Time
	nextSync           time.Time
	gossipLimiter      rateLimiter
	syncLimiter        rateLimiter
	digestReplyLimiter rateLimiter
	redirectLimiter    rateLimiter

	out Output
}

// New returns a node with self as its own record. The node starts at the first call that passes the time, and raises
// Seq to that time in milliseconds; self.Seq may be zero. peers are the addresses of the bootstrap peers, which the
// node contacts until it knows other members, and afterwards at times if they aren't in its table.
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

// Hash returns a hash over the records that aren't down. Nodes with equal records have equal hashes.
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

// SetState changes the state in this node's own record and queues the record for gossip. With StateLeaving, and with
// StateDown, which announces the exit, the record also goes to all gossip targets at once.
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

// SetSlots changes the slots in this node's own record and queues the record for gossip.
func (n *Node) SetSlots(now time.Time, slots int) {
	n.advanceTime(now)
	if n.self.Slots == slots {
		return
	}
	n.self.Slots = slots
	n.self.Seq++
	n.broadcastSelf(now)
}

// AddPeers adds addresses to the bootstrap peers. Known ones and this node's own are skipped.
func (n *Node) AddPeers(addresses []string) {
	for _, p := range addresses {
		if p != n.self.Address && !slices.Contains(n.bootstrapPeers, p) {
			n.bootstrapPeers = append(n.bootstrapPeers, p)
		}
	}
}

// broadcastSelf stores this node's own record and queues it for gossip.
func (n *Node) broadcastSelf(now time.Time) {
	n.store(now, n.self)
	n.queueBroadcast(n.self.Address)
}

// store puts a record into the table and reports it in Output.Changes.
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

// advanceTime starts the node with its first input and detects pauses of this node that exceed SuspectAfter. After
// one, no message has arrived for that long, but the cause is this node: it restarts the timers of monitoring and
// suspicion. After a pause of half of RemoveAfter it also discards the table. In both cases the next Tick compares
// tables with other members.
func (n *Node) advanceTime(now time.Time) {
	if !n.started {
		n.start(now)
		return
	}
	gap := now.Sub(n.lastInput)
	if gap < 0 {
		return // this input is stamped with an earlier time than the last one
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
	if gap >= n.cfg.RemoveAfter/2 {
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

// discardOtherMembers removes all records but this node's own and reports them as down. After a long pause others may
// have removed some of them.
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

// Tick advances the time and does the work that is due: heartbeats, monitoring, gossip and anti-entropy. Callers tick
// a few times per GossipInterval; the calls need not be regular, since the timing of messages depends only on now.
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
		n.removeDown(now)
		n.rotateRandomTargets()
		n.sync(now)
	}
}

// jitter returns d, randomly changed by up to a fifth in both directions, so that nodes that started together don't
// do periodic work at the same time.
func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*n.rng.Float64()))
}

// heartbeat sends a heartbeat to each successor on the ring.
func (n *Node) heartbeat() {
	for _, to := range n.currentRing().neighbors(n.cfg.Neighbors, forward) {
		n.send(Message{Kind: KindHeartbeat, To: to})
	}
}

// monitor marks predecessors on the ring as suspect after SuspectAfter without a message, and suspects as down after
// DownAfter. A predecessor that was leaving has exited as announced and is marked down without a suspicion, because a
// suspect would receive calls again.
func (n *Node) monitor(now time.Time) {
	predecessors := n.currentRing().neighbors(n.cfg.Neighbors, backward)
	lastHeard := make(map[string]time.Time, len(predecessors))
	for _, p := range predecessors {
		last, ok := n.lastHeard[p]
		if !ok {
			last = now // this node has just become its monitor
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

// probe asks a predecessor for its record after half of SuspectAfter without a message, at most once per
// HeartbeatInterval. While tables are incomplete, as after the start of a whole zone, the predecessor may not know
// that this node expects its heartbeats.
func (n *Node) probe(now time.Time, address string, last time.Time) {
	silent := now.Sub(last)
	if silent < n.cfg.SuspectAfter/2 || now.Before(n.lastProbe[address].Add(n.cfg.HeartbeatInterval)) {
		return
	}
	n.lastProbe[address] = now
	n.send(Message{Kind: KindRecordRequest, To: address})
}

// setMemberState changes the state of another member's record and queues the record for gossip. Seq stays, so that
// the member can refute the state with a higher one.
func (n *Node) setMemberState(now time.Time, r Record, s State) {
	r.State = s
	n.store(now, r)
	n.queueBroadcast(r.Address)
}

// removeDown removes records that have been down for RemoveAfter.
func (n *Node) removeDown(now time.Time) {
	for address, e := range n.table.entries {
		if address != n.self.Address && !e.rec.Alive() && now.Sub(e.stateSince) >= n.cfg.RemoveAfter {
			n.table.remove(address)
		}
	}
}

// currentRing returns the ring, built again from the table if members joined or went down since the last call.
func (n *Node) currentRing() ring {
	if n.ringStale {
		n.ring = newRing(n.table, n.self.Zone, n.self.Address)
		n.ringStale = false
	}
	return n.ring
}

// rotateRandomTargets replaces one of the random targets. Replacing one at a time keeps connections for long, and
// over time no group of members stays separate from the others.
func (n *Node) rotateRandomTargets() {
	if len(n.randomTargets) > 0 {
		i := n.rng.IntN(len(n.randomTargets))
		n.randomTargets = slices.Delete(n.randomTargets, i, i+1)
	}
	n.fillRandomTargets()
}

// fillRandomTargets drops the random targets that are down or unknown and adds random members up to RandomTargets. It
// stops after a bounded number of tries, because a small zone may have too few members.
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

// GossipTargets returns the members that this node has connections to, sorted by address: the neighbors on the ring
// in both directions and the random targets.
func (n *Node) GossipTargets() []string {
	n.fillRandomTargets()
	r := n.currentRing()
	all := slices.Clone(n.randomTargets)
	all = append(all, r.neighbors(n.cfg.Neighbors, forward)...)
	all = append(all, r.neighbors(n.cfg.Neighbors, backward)...)
	slices.Sort(all)
	return slices.Compact(all)
}
