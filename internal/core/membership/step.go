package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

const (
	// tableChunk bounds the records of one table message; 500 records are about 20 KB compressed.
	tableChunk = 500
	// maxRelayed is the largest number of changes from one exchange within the zone that are gossiped on. A larger
	// difference is the start of a node, of which the others need no news.
	maxRelayed = 16
	// joinGrace is the time after its start in which a node gets to know the members of its zone. Until then it
	// would suspect all that another zone names.
	joinGrace = 30 * time.Second
)

// Step handles a message. Messages for other receivers, and those a node sent to itself, are ignored.
func (n *Node) Step(now time.Time, m Message) {
	n.observe(now)
	if now.Before(n.deafUntil) || m.From == n.self.Address || (m.To != n.self.Address && m.Kind != KindSummary) {
		return
	}
	near := m.Zone == n.self.Zone
	if near && m.Kind != KindSummary {
		n.heard[m.From] = now
	}
	switch m.Kind {
	case KindHeartbeat:
		if near {
			n.checkSender(m)
			n.redirect(now, m.From)
		}
	case KindGossip:
		n.mergeAll(now, m, true)
	case KindAsk:
		if near {
			n.checkSender(m)
		}
		n.send(Message{Kind: KindGossip, To: m.From, Records: []Record{n.self}})
	case KindDigest:
		n.stepDigest(now, m, near)
	case KindBuckets:
		n.stepBuckets(now, m)
	case KindTable:
		n.stepTable(now, m, near)
	case KindSummary:
		n.stepSummary(now, m)
	}
}

// checkSender compares what the sender says of itself with its record here. A sender that is behind gets the record,
// which it refutes; one that is ahead is asked for its record.
func (n *Node) checkSender(m Message) {
	r, ok := n.table.get(m.From)
	if !ok {
		n.send(Message{Kind: KindAsk, To: m.From})
		return
	}
	c := cmp.Or(
		cmp.Compare(m.Seq, r.Seq),
		cmp.Compare(m.State, r.State),
		cmp.Compare(m.Incarnation, r.Incarnation),
	)
	switch {
	case c < 0:
		n.send(Message{Kind: KindGossip, To: m.From, Records: []Record{r}})
	case c > 0:
		n.send(Message{Kind: KindAsk, To: m.From})
	}
}

// redirect tells a member whose heartbeat came here although others follow it on the ring who these are. When a whole
// zone starts, its members know only the bootstrap peers at first, and all heartbeats go there.
func (n *Node) redirect(now time.Time, from string) {
	successors := n.currentRing().after(from, n.cfg.Neighbors)
	n.redirectsLeft.fill(now)
	if slices.Contains(successors, n.self.Address) || !n.redirectsLeft.take(1) {
		return
	}
	m := Message{Kind: KindGossip, To: from}
	for _, a := range successors {
		if r, ok := n.table.get(a); ok {
			m.Records = append(m.Records, r)
		}
	}
	n.send(m)
}

// mergeAll merges the records of a message and returns those that changed something here.
func (n *Node) mergeAll(now time.Time, m Message, relay bool) []Record {
	var changed []Record
	for _, r := range m.Records {
		if n.merge(now, r, m) {
			changed = append(changed, r)
		}
	}
	if relay {
		for _, r := range changed {
			n.enqueue(r.Address)
		}
	}
	return changed
}

// merge takes a record over if it is greater than the one held and reports whether it did.
func (n *Node) merge(now time.Time, r Record, m Message) bool {
	if !r.valid() {
		return false
	}
	if r.Address == n.self.Address {
		n.refute(now, r, m.From)
		return false
	}
	held, known := n.table.get(r.Address)
	if !known {
		if !n.acceptUnknown(r, m) {
			return false
		}
		if r.Zone == n.self.Zone && m.Zone != n.self.Zone {
			r.State = max(r.State, StateSuspect)
		}
		n.store(now, r)
		return true
	}
	switch c := Compare(r, held); {
	case c > 0:
		n.store(now, r)
		return true
	case c == 0:
		// A copy that comes back shows that the change is known around here.
		n.queue.spend(r.Address, 1)
	case m.Kind == KindGossip && r.Address == m.From:
		n.send(Message{Kind: KindGossip, To: m.From, Records: []Record{held}})
	}
	return false
}

// acceptUnknown decides on a record of an address that isn't in the table. It may be one that was forgotten:
//   - A record that is down is taken from gossip only, which ends after a bounded number of transmissions. From
//     tables, nodes that forget at different times would return it to each other for ever.
//   - A record of the own zone that comes from another zone is taken as suspect. The other zone may have been cut off
//     since before the member was forgotten here, or this zone may have lost all who knew the member. Its monitors
//     find out, and the other zone learns that it is down. A node that has just started leaves this to others.
func (n *Node) acceptUnknown(r Record, m Message) bool {
	if !r.Alive() && m.Kind != KindGossip {
		return false
	}
	if r.Zone != n.self.Zone || m.Zone == n.self.Zone {
		return true
	}
	return n.lastSeen.Sub(n.startedAt) >= joinGrace
}

// refute answers a record of this node's own address that is greater than its own: a suspicion, or the record of an
// earlier daemon at the address.
func (n *Node) refute(now time.Time, r Record, from string) {
	if Compare(r, n.self) <= 0 || r.Seq >= maxSeq {
		return
	}
	n.self.Seq = r.Seq + 1
	n.announce(now)
	if from != "" {
		n.send(Message{Kind: KindGossip, To: from, Records: []Record{n.self}})
	}
}

// SyncWith compares tables with a member, for relays with one of another zone.
func (n *Node) SyncWith(now time.Time, address string) {
	n.observe(now)
	if address != n.self.Address {
		n.send(Message{Kind: KindDigest, To: address, Hashes: []uint64{n.table.hash()}})
	}
}

// RemoteMember returns a member of a random other zone for a relay to exchange tables with. One choice in four may be
// a member held for down: after two partitions at once, those held for alive may be the ones that are gone.
func (n *Node) RemoteMember() (string, bool) {
	anyState := n.rng.IntN(4) == 0
	zones := make([]string, 0, len(n.table.byZone))
	for zone := range n.table.byZone {
		if zone != n.self.Zone {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones) // maps have no order, and the choice must follow from the random source
	n.rng.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	for _, zone := range zones {
		rs := n.table.ofZone(zone)
		if !anyState {
			rs = slices.DeleteFunc(rs, func(r Record) bool { return !r.Alive() })
		}
		if len(rs) > 0 {
			return rs[n.rng.IntN(len(rs))].Address, true
		}
	}
	return "", false
}

// sync compares tables with a random member of the zone, and with one that is down or a bootstrap peer: after a
// partition, members of both sides hold each other for down and nobody else would contact them. A node that knows no
// member tries all bootstrap peers, of which some may be gone.
func (n *Node) sync(now time.Time) {
	digest := []uint64{n.table.hash()}
	others := n.currentRing().addresses
	if len(others) == 1 {
		for _, p := range n.peers {
			n.send(Message{Kind: KindDigest, To: p, Hashes: digest})
		}
		n.hasten(now)
	}
	if len(others) > 1 {
		to := others[n.rng.IntN(len(others))]
		if to == n.self.Address {
			to = n.currentRing().neighbors(1, 1)[0]
		}
		n.send(Message{Kind: KindDigest, To: to, Hashes: digest})
	}
	if lost, ok := n.lostMember(); ok {
		n.send(Message{Kind: KindDigest, To: lost, Hashes: digest})
	}
}

// lostMember returns a random member of the zone that is down, or a bootstrap peer that isn't known to be alive.
func (n *Node) lostMember() (string, bool) {
	var lost []string
	for _, r := range n.table.ofZone(n.self.Zone) {
		if !r.Alive() && r.Address != n.self.Address {
			lost = append(lost, r.Address)
		}
	}
	for _, p := range n.peers {
		if _, known := n.table.get(p); !known {
			lost = append(lost, p)
		}
	}
	if len(lost) == 0 {
		return "", false
	}
	return lost[n.rng.IntN(len(lost))], true
}

func (n *Node) stepDigest(now time.Time, m Message, near bool) {
	if near {
		n.checkSender(m)
	}
	if len(m.Hashes) == 1 && m.Hashes[0] == n.table.hash() {
		return
	}
	n.answersLeft.fill(now)
	if !n.answersLeft.take(1) {
		return
	}
	n.send(Message{Kind: KindBuckets, To: m.From, Hashes: append([]uint64(nil), n.table.buckets[:]...)})
}

func (n *Node) stepBuckets(now time.Time, m Message) {
	if len(m.Hashes) != numBuckets {
		return
	}
	mask := n.someBuckets(now, n.table.differing(m.Hashes))
	if mask == 0 {
		return
	}
	n.hasten(now)
	n.sendTable(m.From, mask, n.table.inMask(mask), true)
}

// hasten brings the next comparison forward after a difference.
func (n *Node) hasten(now time.Time) {
	next := now.Add(n.jitter(n.cfg.SyncRetry))
	if next.Before(n.nextSync) {
		n.nextSync = next
	}
}

// someBuckets returns random buckets of a mask: at most SyncBuckets, and with no more records than SyncRate leaves.
func (n *Node) someBuckets(now time.Time, mask uint64) uint64 {
	n.syncLeft.fill(now)
	var chosen uint64
	for _, b := range n.rng.Perm(numBuckets) {
		bit := uint64(1) << b
		size := len(n.table.inMask(mask & bit))
		if mask&bit == 0 || !n.syncLeft.take(size) {
			continue
		}
		chosen |= bit
		if bits.OnesCount64(chosen) == n.cfg.SyncBuckets {
			break
		}
	}
	return chosen
}

// sendTable sends the records of the buckets in mask, in several messages if there are many. With reply set, each
// message names the buckets that it holds completely.
func (n *Node) sendTable(to string, mask uint64, rs []Record, reply bool) {
	byBucket := make(map[int][]Record)
	for _, r := range rs {
		b := bucketOf(r.Address)
		byBucket[b] = append(byBucket[b], r)
	}
	part := Message{Kind: KindTable, To: to, Reply: reply}
	for b := range numBuckets {
		if mask&(1<<b) == 0 {
			continue
		}
		if len(part.Records) > 0 && len(part.Records)+len(byBucket[b]) > tableChunk {
			sortRecords(part.Records)
			n.send(part)
			part = Message{Kind: KindTable, To: to, Reply: reply}
		}
		part.Mask |= 1 << b
		part.Records = append(part.Records, byBucket[b]...)
	}
	if reply || len(part.Records) > 0 {
		sortRecords(part.Records)
		n.send(part)
	}
}

func (n *Node) stepTable(now time.Time, m Message, near bool) {
	var newer []Record
	if m.Reply {
		newer = n.newerThan(m)
	}
	changed := n.mergeAll(now, m, false)
	if !near || len(changed) <= maxRelayed {
		for _, r := range changed {
			n.enqueue(r.Address)
		}
	}
	if newer = n.affordable(now, m, newer); len(newer) > 0 {
		n.sendTable(m.From, m.Mask, newer, false)
	}
}

// affordable returns as many records as SyncRate leaves, those of the sender's zone first. The rest follows after a
// later comparison.
func (n *Node) affordable(now time.Time, m Message, rs []Record) []Record {
	n.syncLeft.fill(now)
	slices.SortStableFunc(rs, func(a, b Record) int {
		return zoneOrder(a, m.Zone) - zoneOrder(b, m.Zone)
	})
	rs = rs[:min(len(rs), n.syncLeft.whole())]
	n.syncLeft.take(len(rs))
	return rs
}

func zoneOrder(r Record, first string) int {
	if r.Zone == first {
		return 0
	}
	return 1
}

// newerThan returns the records of the message's buckets that the sender lacks or holds in an older version.
func (n *Node) newerThan(m Message) []Record {
	theirs := make(map[string]Record, len(m.Records))
	for _, r := range m.Records {
		theirs[r.Address] = r
	}
	var newer []Record
	for _, r := range n.table.inMask(m.Mask) {
		other, known := theirs[r.Address]
		if (known && Compare(r, other) > 0) || (!known && r.Alive()) {
			newer = append(newer, r)
		}
	}
	return newer
}

// Summary returns the records of this node's zone as a message for the relays of other zones.
func (n *Node) Summary(now time.Time) Message {
	n.observe(now)
	return Message{
		Kind: KindSummary, From: n.self.Address, Zone: n.self.Zone,
		Incarnation: n.self.Incarnation, Seq: n.self.Seq, State: n.self.State,
		Records: n.table.ofZone(n.self.Zone), At: now.UnixMilli(),
	}
}

// stepSummary merges another zone's records. A record held here that started ForgetAfter before the summary and isn't
// in it was forgotten in its zone.
func (n *Node) stepSummary(now time.Time, m Message) {
	if m.Zone == n.self.Zone {
		return
	}
	n.mergeAll(now, m, true)
	listed := make(map[string]bool, len(m.Records))
	for _, r := range m.Records {
		listed[r.Address] = true
	}
	horizon := m.At - n.cfg.ForgetAfter.Milliseconds()
	for _, r := range n.table.ofZone(m.Zone) {
		if r.Alive() && !listed[r.Address] && int64(r.Seq) < horizon {
			n.mark(now, r, StateDown)
		}
	}
}
