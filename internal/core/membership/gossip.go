package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// extraTransmits is added to the logarithm of the zone's size in transmitLimit. If each of n members sends a change
// about log2(n) times to random members, one in n on average doesn't receive it; anti-entropy reaches the rest.
const extraTransmits = 2

// maxGossipRecords bounds the records of one gossip message, so that it fits in about two packets.
const maxGossipRecords = 24

// minGossipRecords is the number of records from which a gossip message is worth its overhead. A smaller one is sent
// only if no more changes are queued.
const minGossipRecords = 8

// maxBroadcasts bounds the changes queued for gossip. The queue holds a change of every member of the largest zone at
// once. A relay that starts reads the tables of all zones, and these cost less to spread by anti-entropy.
const maxBroadcasts = 1024

// syncBurstRecords is the number of records that anti-entropy may send at once after it has sent none for a while. It
// covers one bucket of a table with 6,300 members.
const syncBurstRecords = 150

// digestReplyRate (per second) and digestReplyBurst bound the replies to digests, of about 700 bytes each. When a
// whole zone starts, all its members send a digest to the few bootstrap peers at once. Those without a reply send it
// again after Config.SyncRetry, and by then know more members from gossip.
const (
	digestReplyRate  = 2
	digestReplyBurst = 8
)

// redirectRate bounds the redirections per second, of about 500 bytes each. A redirection ends a stream of
// misdirected heartbeats, so that a burst when a zone starts soon saves more than it costs.
const redirectRate = 50

// rateLimiter is a token bucket with rate in tokens per second. A token stands for one record or one message.
type rateLimiter struct {
	rate, burst, tokens float64
	refilledAt          time.Time
}

func newRateLimiter(now time.Time, rate, burst int) rateLimiter {
	return rateLimiter{rate: float64(rate), burst: float64(burst), tokens: float64(burst), refilledAt: now}
}

// refill adds the tokens that accrued since the last call. Callers refill before take or available.
func (l *rateLimiter) refill(now time.Time) {
	l.tokens = min(l.burst, l.tokens+l.rate*max(0, now.Sub(l.refilledAt).Seconds()))
	l.refilledAt = now
}

// available returns the number of whole tokens.
func (l *rateLimiter) available() int {
	return int(l.tokens)
}

// take removes n tokens and reports true, or removes none and reports false if there are fewer.
func (l *rateLimiter) take(n int) bool {
	if float64(n) > l.tokens {
		return false
	}
	l.tokens -= float64(n)
	return true
}

// broadcast is a changed record that is still being disseminated by gossip.
type broadcast struct {
	address       string
	transmitsLeft int
	transmits     int    // sent so far
	id            uint64 // ascending in the order of add
}

// broadcastQueue is the queue of changed records. It holds only their addresses, so that the record sent is always
// the newest.
type broadcastQueue struct {
	byAddress map[string]*broadcast
	lastID    uint64
}

func newBroadcastQueue() broadcastQueue {
	return broadcastQueue{byAddress: make(map[string]*broadcast)}
}

// add queues the record of an address to be sent up to the given number of times. It replaces an earlier broadcast.
func (q *broadcastQueue) add(address string, transmits int) {
	q.lastID++
	q.byAddress[address] = &broadcast{address: address, transmitsLeft: transmits, id: q.lastID}
}

// deductTransmits lowers the transmissions left of a broadcast by n and drops it when none is left.
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

// next returns up to n addresses and counts a transmission of each. Those sent least often come first, and among them
// the newest.
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

// transmitLimit returns how often this node sends one change at most.
func (n *Node) transmitLimit() int {
	return bits.Len(uint(n.table.aliveByZone[n.self.Zone])) + extraTransmits
}

// queueBroadcast queues the record of an address for gossip. If the queue is full it drops the change, which
// anti-entropy then spreads, unless the address is queued already or is this node's own.
func (n *Node) queueBroadcast(address string) {
	if _, queued := n.broadcasts.byAddress[address]; queued || len(n.broadcasts.byAddress) < maxBroadcasts || address == n.self.Address {
		n.broadcasts.add(address, n.transmitLimit())
	}
}

// gossip sends queued changes to random gossip targets. When the rate limits it, it waits until a message can hold
// minGossipRecords, or all that are queued, since the overhead of a message equals about five records.
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

// nextRecords returns the records of up to size queued broadcasts and deducts a transmission from each.
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
