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

// gossip sends queued changes to random acquaintances.
func (n *Node) gossip(now time.Time) {
	n.fillRate(now)
	if len(n.queue.byAddress) == 0 || n.rateLeft < 1 {
		return
	}
	targets := n.Acquaintances()
	n.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for _, to := range targets[:min(n.cfg.GossipFanout, len(targets))] {
		rs := n.batch(min(gossipBatch, int(n.rateLeft)))
		if len(rs) == 0 {
			return
		}
		n.rateLeft -= float64(len(rs))
		n.send(Message{Kind: KindGossip, To: to, Records: rs})
	}
}

// fillRate refills the allowance of GossipRate; at most one second's worth is kept.
func (n *Node) fillRate(now time.Time) {
	rate := float64(n.cfg.GossipRate)
	n.rateLeft = min(rate, n.rateLeft+rate*max(0, now.Sub(n.lastRate).Seconds()))
	n.lastRate = now
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
