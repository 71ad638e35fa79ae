package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// extraTransmissions is added to the logarithm of the zone's size. Each member sends a change about log2(n) times to
// random members, which leaves out one in n on average; anti-entropy reaches the rest.
const extraTransmissions = 2

// gossipBatch bounds the records of one gossip message, so that it fits in about two packets.
const gossipBatch = 24

// minBatch is the number of records, if there are as many, below which a message isn't worth its overhead.
const minBatch = 8

// maxQueue bounds the changes queued for gossip. It holds those of the largest zone at once; for the tables of all
// zones, which a starting relay reads, anti-entropy costs less.
const maxQueue = 1024

// syncBurst is the number of records that tables may hold after a quiet time: one bucket of 6,300 members.
const syncBurst = 150

// answerRate and answerBurst bound the answers to digests, about 700 bytes each. When a whole zone starts, all its
// members ask the few bootstrap peers at once; those without an answer ask again after SyncRetry, and by then know more
// members from gossip.
const (
	answerRate  = 2
	answerBurst = 8
)

// redirectRate bounds the redirections, about 500 bytes each, per second. A redirection ends a stream of heartbeats, so
// that a burst at a start soon pays.
const redirectRate = 50

// allowance limits records by a rate; at most burst of them are saved up.
type allowance struct {
	rate, burst, left float64
	filled            time.Time
}

func newAllowance(now time.Time, rate, burst int) allowance {
	return allowance{rate: float64(rate), burst: float64(burst), left: float64(burst), filled: now}
}

func (a *allowance) fill(now time.Time) {
	a.left = min(a.burst, a.left+a.rate*max(0, now.Sub(a.filled).Seconds()))
	a.filled = now
}

func (a *allowance) whole() int {
	return int(a.left)
}

// take uses n records up and reports whether they were left.
func (a *allowance) take(n int) bool {
	if float64(n) > a.left {
		return false
	}
	a.left -= float64(n)
	return true
}

// rumor is a change that is still being disseminated.
type rumor struct {
	address string
	left    int
	sent    int
	id      uint64
}

// rumors is the queue of changes. It holds addresses, so that a newer record replaces an older one.
type rumors struct {
	byAddress map[string]*rumor
	lastID    uint64
}

func newRumors() rumors {
	return rumors{byAddress: make(map[string]*rumor)}
}

func (q *rumors) add(address string, transmissions int) {
	q.lastID++
	q.byAddress[address] = &rumor{address: address, left: transmissions, id: q.lastID}
}

// spend takes transmissions off a rumor and drops it after the last.
func (q *rumors) spend(address string, n int) {
	r, ok := q.byAddress[address]
	if !ok {
		return
	}
	r.left -= n
	if r.left <= 0 {
		delete(q.byAddress, address)
	}
}

// next returns up to n addresses, those sent least first and of these the newest.
func (q *rumors) next(n int) []string {
	all := make([]*rumor, 0, len(q.byAddress))
	for _, r := range q.byAddress {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *rumor) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.id, a.id))
	})
	addresses := make([]string, 0, min(n, len(all)))
	for _, r := range all[:min(n, len(all))] {
		addresses = append(addresses, r.address)
		r.sent++
	}
	return addresses
}

// transmissions is the bound on how often this node sends one change.
func (n *Node) transmissions() int {
	return bits.Len(uint(n.table.alive[n.self.Zone])) + extraTransmissions
}

// enqueue queues the record of an address for gossip. A full queue leaves it to anti-entropy.
func (n *Node) enqueue(address string) {
	if _, queued := n.queue.byAddress[address]; queued || len(n.queue.byAddress) < maxQueue || address == n.self.Address {
		n.queue.add(address, n.transmissions())
	}
}

// gossip sends queued changes to random acquaintances. When the rate limits it, it waits for a worthwhile message, since
// a message costs as much as five records.
func (n *Node) gossip(now time.Time) {
	n.gossipLeft.fill(now)
	if queued := len(n.queue.byAddress); queued == 0 || n.gossipLeft.whole() < min(queued, minBatch) {
		return
	}
	targets := n.Acquaintances()
	n.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for _, to := range targets[:min(n.cfg.GossipFanout, len(targets))] {
		rs := n.batch(min(gossipBatch, n.gossipLeft.whole()))
		if len(rs) == 0 {
			return
		}
		n.gossipLeft.take(len(rs))
		n.send(Message{Kind: KindGossip, To: to, Records: rs})
	}
}

func (n *Node) batch(size int) []Record {
	addresses := n.queue.next(size)
	rs := make([]Record, 0, len(addresses))
	for _, a := range addresses {
		if r, ok := n.table.get(a); ok {
			rs = append(rs, r)
		}
		n.queue.spend(a, 1)
	}
	return rs
}
