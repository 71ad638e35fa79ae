package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

const (
	// maxRecordsPerPart bounds the records of one KindBucketRecords message unless a single bucket has more. 500
	// records are about 20 KB compressed.
	maxRecordsPerPart = 500
	// maxRebroadcast is the largest number of changes from one anti-entropy exchange within the zone that are
	// gossiped on. More changes mean that this node has just started; the others know these records already.
	maxRebroadcast = 16
	// joinGrace is the time after its start in which a node learns the members of its zone. Until then it ignores
	// unknown members of its zone in records from other zones, because it would mark all of them as suspect.
	joinGrace = 30 * time.Second
)

// Step handles a message. It ignores messages for other receivers, messages from this node itself, and all messages
// during staleMessageWindow.
func (n *Node) Step(now time.Time, m Message) {
	n.advanceTime(now)
	if now.Before(n.ignoreUntil) || m.From == n.self.Address || (m.To != n.self.Address && m.Kind != KindSummary) {
		return
	}
	sameZone := m.Zone == n.self.Zone
	if sameZone && m.Kind != KindSummary {
		n.lastHeard[m.From] = now
	}
	switch m.Kind {
	case KindHeartbeat:
		if sameZone {
			n.checkSender(m)
			n.redirect(now, m.From)
		}
	case KindGossip:
		n.mergeRecords(now, m, true)
	case KindRecordRequest:
		if sameZone {
			n.checkSender(m)
		}
		n.send(Message{Kind: KindGossip, To: m.From, Records: []Record{n.self}})
	case KindDigest:
		n.stepDigest(now, m, sameZone)
	case KindBucketHashes:
		n.stepBucketHashes(now, m)
	case KindBucketRecords:
		n.stepBucketRecords(now, m, sameZone)
	case KindSummary:
		n.stepSummary(now, m)
	}
}

// checkSender compares the Seq, State and Incarnation in a message with this node's record of the sender. If the
// sender's are lower, it gets the record and refutes it; if they are higher or it is unknown here, it is asked for
// its record.
func (n *Node) checkSender(m Message) {
	r, ok := n.table.get(m.From)
	if !ok {
		n.send(Message{Kind: KindRecordRequest, To: m.From})
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
		n.send(Message{Kind: KindRecordRequest, To: m.From})
	}
}

// redirect sends a member the records of its successors if its heartbeat came here but this node isn't one of them.
// When a whole zone starts, its members know only the bootstrap peers at first, and all heartbeats go there.
func (n *Node) redirect(now time.Time, from string) {
	successors := n.currentRing().successorsOf(from, n.cfg.Neighbors)
	n.redirectLimiter.refill(now)
	if slices.Contains(successors, n.self.Address) || !n.redirectLimiter.take(1) {
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

// mergeRecords merges the records of a message and returns those that were stored. With rebroadcast set it also
// queues them for gossip.
func (n *Node) mergeRecords(now time.Time, m Message, rebroadcast bool) []Record {
	var changed []Record
	for _, r := range m.Records {
		if n.merge(now, r, m) {
			changed = append(changed, r)
		}
	}
	if rebroadcast {
		for _, r := range changed {
			n.queueBroadcast(r.Address)
		}
	}
	return changed
}

// merge stores a record from message m if it is greater than the one held or acceptUnknown allows it, and reports
// whether it did. A record of this node's own address is refuted instead. A sender that gossips an outdated record of
// itself gets the greater one.
func (n *Node) merge(now time.Time, r Record, m Message) bool {
	if !r.valid() || !r.plausible(now) {
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
			r.State = max(r.State, StateSuspect) // see acceptUnknown
		}
		n.store(now, r)
		return true
	}
	switch c := Compare(r, held); {
	case c > 0:
		n.store(now, r)
		return true
	case c == 0:
		// Other members know and send this change already, so that this node need not send it as often.
		n.broadcasts.deductTransmits(r.Address, 1)
	case m.Kind == KindGossip && r.Address == m.From:
		n.send(Message{Kind: KindGossip, To: m.From, Records: []Record{held}})
	}
	return false
}

// acceptUnknown reports whether to store a record of an address that isn't in the table. The record may be one that
// this node removed earlier:
//   - A record that is down is accepted only from gossip, which ends after a bounded number of transmissions. If
//     nodes accepted it by anti-entropy, those that remove records at different times would return it to each other
//     forever.
//   - A record of this zone from another zone is stored as suspect. The other zone may have been cut off since before
//     the member was removed here, or this zone may have lost all nodes that knew the member. The member refutes the
//     suspicion, or its monitors mark it down and the other zone learns of it. During joinGrace a node rejects such a
//     record and leaves it to the others.
func (n *Node) acceptUnknown(r Record, m Message) bool {
	if !r.Alive() && m.Kind != KindGossip {
		return false
	}
	if r.Zone != n.self.Zone || m.Zone == n.self.Zone {
		return true
	}
	return n.lastInput.Sub(n.startedAt) >= joinGrace
}

// refute raises this node's Seq above that of a greater record of its own address, which is a suspicion or the record
// of an earlier daemon at the address, then broadcasts its own record and returns it to the sender.
func (n *Node) refute(now time.Time, r Record, from string) {
	if Compare(r, n.self) <= 0 || r.Seq >= maxSeq {
		return
	}
	n.self.Seq = r.Seq + 1
	n.broadcastSelf(now)
	if from != "" {
		n.send(Message{Kind: KindGossip, To: from, Records: []Record{n.self}})
	}
}

// SyncWith starts an anti-entropy exchange with a member. Relays use it with members of other zones.
func (n *Node) SyncWith(now time.Time, address string) {
	n.advanceTime(now)
	if address != n.self.Address {
		n.send(Message{Kind: KindDigest, To: address, Hashes: []uint64{n.table.hash()}})
	}
}

// RemoteMember returns the address of a random member of a random other zone, for a relay to exchange tables with, or
// false if none is known. One choice in four includes members that are down: after two partitions at once, the
// members that the table shows alive may be down and those that it shows down may be alive.
func (n *Node) RemoteMember() (string, bool) {
	anyState := n.rng.IntN(4) == 0 // also members that are down
	zones := n.otherZones()
	n.rng.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	for _, zone := range zones {
		rs := n.aliveInZone(zone)
		if anyState {
			rs = n.table.recordsInZone(zone)
		}
		if len(rs) > 0 {
			return rs[n.rng.IntN(len(rs))].Address, true
		}
	}
	return "", false
}

// OtherZones returns the address of one alive member of each other zone, chosen at random.
func (n *Node) OtherZones() []string {
	var addresses []string
	for _, zone := range n.otherZones() {
		if alive := n.aliveInZone(zone); len(alive) > 0 {
			addresses = append(addresses, alive[n.rng.IntN(len(alive))].Address)
		}
	}
	return addresses
}

// otherZones returns the names of the known other zones, sorted: the order of a map is random, and choices must be
// reproducible from rng.
func (n *Node) otherZones() []string {
	zones := make([]string, 0, len(n.table.byZone))
	for zone := range n.table.byZone {
		if zone != n.self.Zone {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// aliveInZone returns the records of a zone's members that aren't down.
func (n *Node) aliveInZone(zone string) []Record {
	return slices.DeleteFunc(n.table.recordsInZone(zone), func(r Record) bool { return !r.Alive() })
}

// sync starts an anti-entropy exchange with a random member of the zone, and one with a member that is down or an
// unknown bootstrap peer: after a partition the members of both sides have marked each other down, and nothing else
// would contact them. A node that knows no other member tries all bootstrap peers, since some may be down, and
// repeats this after SyncRetry.
func (n *Node) sync(now time.Time) {
	digest := []uint64{n.table.hash()}
	others := n.currentRing().addresses
	if len(others) == 1 {
		for _, p := range n.bootstrapPeers {
			n.send(Message{Kind: KindDigest, To: p, Hashes: digest})
		}
		n.scheduleSyncRetry(now)
	}
	if len(others) > 1 {
		to := others[n.rng.IntN(len(others))]
		if to == n.self.Address {
			to = n.currentRing().neighbors(1, forward)[0]
		}
		n.send(Message{Kind: KindDigest, To: to, Hashes: digest})
	}
	if target, ok := n.reconnectTarget(); ok {
		n.send(Message{Kind: KindDigest, To: target, Hashes: digest})
	}
}

// reconnectTarget returns a random address among the members of the zone that are down and the bootstrap peers that
// aren't in the table, or false if there is none.
func (n *Node) reconnectTarget() (string, bool) {
	var candidates []string
	for _, r := range n.table.recordsInZone(n.self.Zone) {
		if !r.Alive() && r.Address != n.self.Address {
			candidates = append(candidates, r.Address)
		}
	}
	for _, p := range n.bootstrapPeers {
		if _, known := n.table.get(p); !known {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[n.rng.IntN(len(candidates))], true
}

// stepDigest answers a digest that differs from this node's table with the hashes of its buckets, as far as
// digestReplyRate allows.
func (n *Node) stepDigest(now time.Time, m Message, sameZone bool) {
	if sameZone {
		n.checkSender(m)
	}
	if len(m.Hashes) == 1 && m.Hashes[0] == n.table.hash() {
		return
	}
	n.digestReplyLimiter.refill(now)
	if !n.digestReplyLimiter.take(1) {
		return
	}
	n.send(Message{Kind: KindBucketHashes, To: m.From, Hashes: append([]uint64(nil), n.table.buckets[:]...)})
}

// stepBucketHashes sends the records of buckets that differ, as chosen by chooseBuckets, and asks for the newer ones.
func (n *Node) stepBucketHashes(now time.Time, m Message) {
	if len(m.Hashes) != numBuckets {
		return
	}
	mask := n.chooseBuckets(now, n.table.differingBuckets(m.Hashes))
	if mask == 0 {
		return
	}
	n.scheduleSyncRetry(now)
	n.sendBucketRecords(m.From, mask, n.table.recordsInBuckets(mask), true)
}

// scheduleSyncRetry moves the next comparison of tables to SyncRetry from now if it would come later.
func (n *Node) scheduleSyncRetry(now time.Time) {
	next := now.Add(n.jitter(n.cfg.SyncRetry))
	if next.Before(n.nextSync) {
		n.nextSync = next
	}
}

// chooseBuckets returns random buckets of a mask: at most SyncBuckets, and with no more records than SyncRate allows
// now.
func (n *Node) chooseBuckets(now time.Time, mask uint64) uint64 {
	n.syncLimiter.refill(now)
	var chosen uint64
	for _, b := range n.rng.Perm(numBuckets) {
		bit := uint64(1) << b
		size := len(n.table.recordsInBuckets(mask & bit))
		if mask&bit == 0 || !n.syncLimiter.take(size) {
			continue
		}
		chosen |= bit
		if bits.OnesCount64(chosen) == n.cfg.SyncBuckets {
			break
		}
	}
	return chosen
}

// sendBucketRecords sends the records rs, which belong to the buckets in mask, in several messages if there are more
// than maxRecordsPerPart. No bucket is split, and BucketMask of each message names its buckets, so that the receiver
// can reply for each message on its own. With wantReply set, a message without records is sent too.
func (n *Node) sendBucketRecords(to string, mask uint64, rs []Record, wantReply bool) {
	byBucket := make(map[int][]Record)
	for _, r := range rs {
		b := bucketOf(r.Address)
		byBucket[b] = append(byBucket[b], r)
	}
	part := Message{Kind: KindBucketRecords, To: to, WantReply: wantReply}
	for b := range numBuckets {
		if mask&(1<<b) == 0 {
			continue
		}
		if len(part.Records) > 0 && len(part.Records)+len(byBucket[b]) > maxRecordsPerPart {
			sortRecords(part.Records)
			n.send(part)
			part = Message{Kind: KindBucketRecords, To: to, WantReply: wantReply}
		}
		part.BucketMask |= 1 << b
		part.Records = append(part.Records, byBucket[b]...)
	}
	if wantReply || len(part.Records) > 0 {
		sortRecords(part.Records)
		n.send(part)
	}
}

// stepBucketRecords merges records from an anti-entropy exchange and replies with newer ones if the sender asked for
// them. Changes are gossiped on if they come from another zone or are few.
func (n *Node) stepBucketRecords(now time.Time, m Message, sameZone bool) {
	var newer []Record
	if m.WantReply {
		newer = n.newerThan(m)
	}
	changed := n.mergeRecords(now, m, false)
	if !sameZone || len(changed) <= maxRebroadcast {
		for _, r := range changed {
			n.queueBroadcast(r.Address)
		}
	}
	if newer = n.limitBySyncRate(now, m, newer); len(newer) > 0 {
		n.sendBucketRecords(m.From, m.BucketMask, newer, false)
	}
}

// limitBySyncRate returns as many of the records as SyncRate allows now, those of the zone of m's sender first. The
// rest follows after a later comparison. It reorders rs.
func (n *Node) limitBySyncRate(now time.Time, m Message, rs []Record) []Record {
	n.syncLimiter.refill(now)
	slices.SortStableFunc(rs, func(a, b Record) int {
		return zoneRank(a, m.Zone) - zoneRank(b, m.Zone)
	})
	rs = rs[:min(len(rs), n.syncLimiter.available())]
	n.syncLimiter.take(len(rs))
	return rs
}

// zoneRank sorts records of zone first before all others.
func zoneRank(r Record, first string) int {
	if r.Zone == first {
		return 0
	}
	return 1
}

// newerThan returns the records of the message's buckets that the sender has in an older version or lacks. Records
// that the sender lacks are left out if they are down.
func (n *Node) newerThan(m Message) []Record {
	theirs := make(map[string]Record, len(m.Records))
	for _, r := range m.Records {
		theirs[r.Address] = r
	}
	var newer []Record
	for _, r := range n.table.recordsInBuckets(m.BucketMask) {
		other, known := theirs[r.Address]
		if (known && Compare(r, other) > 0) || (!known && r.Alive()) {
			newer = append(newer, r)
		}
	}
	return newer
}

// Summary returns a message with all records of this node's zone, for the relays of other zones.
func (n *Node) Summary(now time.Time) Message {
	n.advanceTime(now)
	return Message{
		Kind: KindSummary, From: n.self.Address, Zone: n.self.Zone,
		Incarnation: n.self.Incarnation, Seq: n.self.Seq, State: n.self.State,
		Records: n.table.recordsInZone(n.self.Zone), UnixMillis: now.UnixMilli(),
	}
}

// stepSummary merges another zone's records. A record here that isn't in the summary, with a Seq more than
// RemoveAfter before the time of the summary, was removed in its zone and is marked down.
func (n *Node) stepSummary(now time.Time, m Message) {
	if m.Zone == n.self.Zone {
		return
	}
	n.mergeRecords(now, m, true)
	listed := make(map[string]bool, len(m.Records))
	for _, r := range m.Records {
		listed[r.Address] = true
	}
	horizon := m.UnixMillis - n.cfg.RemoveAfter.Milliseconds()
	for _, r := range n.table.recordsInZone(m.Zone) {
		if r.Alive() && !listed[r.Address] && int64(r.Seq) < horizon {
			n.setMemberState(now, r, StateDown)
		}
	}
}
