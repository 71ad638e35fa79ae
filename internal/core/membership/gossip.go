package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// extraTransmits is added to the logarithm of the zone's size. Each member sends a change about log2(n) times to
// random members, which leaves out one in n on average; anti-entropy reaches the rest.
const extraTransmits = 2

// maxGossipRecords bounds the records of one gossip message, so that it fits in about two packets.
const maxGossipRecords = 24

// minGossipRecords is the number of records, if there are as many, below which a message isn't worth its overhead.
const minGossipRecords = 8

// maxBroadcasts bounds the changes queued for gossip. It holds those of the largest zone at once; for the tables of all
// zones, which a starting relay reads, anti-entropy costs less.
const maxBroadcasts = 1024

// syncBurstRecords is the number of records that tables may hold after a quiet time: one bucket of 6,300 members.
const syncBurstRecords = 150

// digestReplyRate and digestReplyBurst bound the answers to digests, about 700 bytes each. When a whole zone starts, all its
// members ask the few bootstrap peers at once; those without an answer ask again after SyncRetry, and by then know more
// members from gossip.
const (
	digestReplyRate  = 2
	digestReplyBurst = 8
)

// redirectRate bounds the redirections, about 500 bytes each, per second. A redirection ends a stream of heartbeats, so
// that a burst at a start soon pays.
const redirectRate = 50

// rateLimiter limits records by a rate; at most burst of them are saved up.
type rateLimiter struct {
	rate, burst, tokens float64
	refilledAt          time.Time
}

func newRateLimiter(now time.Time, rate, burst int) rateLimiter {
	return rateLimiter{rate: float64(rate), burst: float64(burst), tokens: float64(burst), refilledAt: now}
}

func (l *rateLimiter) refill(now time.Time) {
	l.tokens = min(l.burst, l.tokens+l.rate*max(0, now.Sub(l.refilledAt).Seconds()))
	l.refilledAt = now
}

func (l *rateLimiter) available() int {
	return int(l.tokens)
}

// take uses n records up and reports whether they were left.
func (l *rateLimiter) take(n int) bool {
	if float64(n) > l.tokens {
		return false
	}
	l.tokens -= float64(n)
	return true
}

// broadcast is a change that is still being disseminated.
type broadcast struct {
	address       string
	transmitsLeft int
	transmits     int
	id            uint64
}

// broadcastQueue is the queue of changes. It holds addresses, so that a newer record replaces an older one.
type broadcastQueue struct {
	byAddress map[string]*broadcast
	lastID    uint64
}

func newBroadcastQueue() broadcastQueue {
	return broadcastQueue{byAddress: make(map[string]*broadcast)}
}

func (q *broadcastQueue) add(address string, transmits int) {
	q.lastID++
	q.byAddress[address] = &broadcast{address: address, transmitsLeft: transmits, id: q.lastID}
}

// deductTransmits takes transmissions off a rumor and drops it after the last.
func (q *broadcastQueue) deductTransmits(address string, n int) {
	r, ok := q.byAddress[address]
	if !ok {
		return
	}
	r.transmitsLeft -= n
	if r.transmitsLeft <= 0 {
		delete(q.byAddress, address)
	}
}

// next returns up to n addresses, those sent least first and of these the newest.
func (q *broadcastQueue) next(n int) []string {
	all := make([]*broadcast, 0, len(q.byAddress))
	for _, r := range q.byAddress {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *broadcast) int {
		return cmp.Or(cmp.Compare(a.transmits, b.transmits), cmp.Compare(b.id, a.id))
	})
	addresses := make([]string, 0, min(n, len(all)))
	for _, r := range all[:min(n, len(all))] {
		addresses = append(addresses, r.address)
		r.transmits++
	}
	return addresses
}

// transmitLimit is the bound on how often this node sends one change.
func (n *Node) transmitLimit() int {
	return bits.Len(uint(n.table.aliveByZone[n.self.Zone])) + extraTransmits
}

// queueBroadcast queues the record of an address for gossip. A full queue leaves it to anti-entropy.
func (n *Node) queueBroadcast(address string) {
	if _, queued := n.broadcasts.byAddress[address]; queued || len(n.broadcasts.byAddress) < maxBroadcasts || address == n.self.Address {
		n.broadcasts.add(address, n.transmitLimit())
	}
}

// gossip sends queued changes to random acquaintances. When the rate limits it, it waits for a worthwhile message, since
// a message costs as much as five records.
func (n *Node) gossip(now time.Time) {
	n.gossipLimiter.refill(now)
	if queued := len(n.broadcasts.byAddress); queued == 0 || n.gossipLimiter.available() < min(queued, minGossipRecords) {
		return
	}
	targets := n.GossipTargets()
	n.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for _, to := range targets[:min(n.cfg.GossipFanout, len(targets))] {
		rs := n.nextRecords(min(maxGossipRecords, n.gossipLimiter.available()))
		if len(rs) == 0 {
			return
		}
		n.gossipLimiter.take(len(rs))
		n.send(Message{Kind: KindGossip, To: to, Records: rs})
	}
}

func (n *Node) nextRecords(size int) []Record {
	addresses := n.broadcasts.next(size)
	rs := make([]Record, 0, len(addresses))
	for _, a := range addresses {
		if r, ok := n.table.get(a); ok {
			rs = append(rs, r)
		}
		n.broadcasts.deductTransmits(a, 1)
	}
	return rs
}
