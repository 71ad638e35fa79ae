package membership

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"sort"
	"strings"
	"time"
)

// numBuckets is the number of parts into which a table is divided for comparison. Of 6,300 records one bucket holds
// about 100, or 4 KB compressed, so that one changed record doesn't cost the exchange of a whole table.
// Message.BucketMask has one bit for each bucket.
const numBuckets = 64

// entry is a record with local data about it.
type entry struct {
	rec Record
	// stateSince is when this node first held the record with its present State and Seq.
	stateSince time.Time
	hash       uint64 // of rec
}

// table holds the records by address, with hashes that two nodes compare. Records that are down are left out of the
// hashes: nodes remove them at different times, and such a difference isn't worth an exchange.
type table struct {
	entries map[string]*entry
	// byZone holds the same entries by zone and address.
	byZone map[string]map[string]*entry
	// buckets holds the hash of each bucket: the XOR of the hashes of its records that aren't down.
	buckets [numBuckets]uint64
	// aliveByZone counts the records of each zone that aren't down.
	aliveByZone map[string]int
}

func newTable() *table {
	return &table{
		entries:     make(map[string]*entry),
		byZone:      make(map[string]map[string]*entry),
		aliveByZone: make(map[string]int),
	}
}

func (t *table) get(address string) (Record, bool) {
	e, ok := t.entries[address]
	if !ok {
		return Record{}, false
	}
	return e.rec, true
}

// put adds a record or replaces the record of its address. stateSince is kept if neither State nor Seq changed.
func (t *table) put(now time.Time, r Record) {
	since := now
	if old, ok := t.entries[r.Address]; ok {
		t.updateTotals(old, -1)
		delete(t.byZone[old.rec.Zone], r.Address)
		if old.rec.State == r.State && old.rec.Seq == r.Seq {
			since = old.stateSince
		}
	}
	e := &entry{rec: r, stateSince: since, hash: hashRecord(r)}
	t.entries[r.Address] = e
	if t.byZone[r.Zone] == nil {
		t.byZone[r.Zone] = make(map[string]*entry)
	}
	t.byZone[r.Zone][r.Address] = e
	t.updateTotals(e, 1)
}

func (t *table) remove(address string) {
	if e, ok := t.entries[address]; ok {
		t.updateTotals(e, -1)
		delete(t.entries, address)
		delete(t.byZone[e.rec.Zone], address)
	}
}

// updateTotals adds a record to the hash of its bucket and to the count of its zone (delta 1), or removes it
// (delta -1). XOR with the record's hash does both to the bucket. Records that are down don't count.
func (t *table) updateTotals(e *entry, delta int) {
	if !e.rec.Alive() {
		return
	}
	t.buckets[bucketOf(e.rec.Address)] ^= e.hash
	t.aliveByZone[e.rec.Zone] += delta
}

// hash returns one hash over the hashes of all buckets.
func (t *table) hash() uint64 {
	h := uint64(len(t.buckets))
	for _, b := range t.buckets {
		h = mix64(h ^ b)
	}
	return h
}

// differingBuckets returns the mask of the buckets whose hashes differ from a peer's.
func (t *table) differingBuckets(hashes []uint64) uint64 {
	var mask uint64
	for i, h := range hashes {
		if i < numBuckets && t.buckets[i] != h {
			mask |= 1 << i
		}
	}
	return mask
}

// recordsInBuckets returns the records of the buckets in mask, sorted by address so that they compress well.
func (t *table) recordsInBuckets(mask uint64) []Record {
	var rs []Record
	for address, e := range t.entries {
		if mask&(1<<bucketOf(address)) != 0 {
			rs = append(rs, e.rec)
		}
	}
	sortRecords(rs)
	return rs
}

// recordsInZone returns the records of one zone, sorted by address.
func (t *table) recordsInZone(zone string) []Record {
	var rs []Record
	for _, e := range t.byZone[zone] {
		rs = append(rs, e.rec)
	}
	sortRecords(rs)
	return rs
}

func sortRecords(rs []Record) {
	slices.SortFunc(rs, func(a, b Record) int { return strings.Compare(a.Address, b.Address) })
}

func bucketOf(address string) int {
	return int(ringHash(address) % numBuckets)
}

// ringHash returns the place of an address on the ring. All nodes must compute the same value, so it has no seed.
func ringHash(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address)) // never fails
	return mix64(h.Sum64())
}

func hashRecord(r Record) uint64 {
	h := fnv.New64a()
	var fixed [26]byte
	binary.BigEndian.PutUint64(fixed[0:], uint64(r.Incarnation))
	binary.BigEndian.PutUint64(fixed[8:], r.Seq)
	binary.BigEndian.PutUint64(fixed[16:], uint64(r.Slots))
	fixed[24] = byte(r.State)
	_, _ = h.Write(fixed[:])
	for _, s := range [...]string{r.Address, r.CallAddress, r.Service, r.Zone, r.Region} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0}) // separates the fields
	}
	return mix64(h.Sum64())
}

// HashRecords returns a hash over the records that aren't down. It doesn't depend on the order of the records.
func HashRecords(rs []Record) uint64 {
	var h uint64
	for _, r := range rs {
		if r.Alive() {
			h ^= hashRecord(r)
		}
	}
	return h
}

// RingLess reports whether address a comes before b in the order of the ring, which is the same on all nodes and
// unrelated to the order of the addresses themselves.
func RingLess(a, b string) bool {
	if x, y := ringHash(a), ringHash(b); x != y {
		return x < y
	}
	return a < b
}

// mix64 is the finalizer of MurmurHash3; FNV alone leaves the top bits of similar addresses correlated.
func mix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// ring holds the members of one zone that aren't down, and this node, in the order of RingLess.
type ring struct {
	addresses []string
	self      int // index of this node in addresses
}

func newRing(t *table, zone, self string) ring {
	type place struct {
		hash    uint64
		address string
	}
	places := []place{{ringHash(self), self}}
	for address, e := range t.byZone[zone] {
		if e.rec.Alive() && address != self {
			places = append(places, place{ringHash(address), address})
		}
	}
	sort.Slice(places, func(i, j int) bool {
		if places[i].hash != places[j].hash {
			return places[i].hash < places[j].hash
		}
		return places[i].address < places[j].address
	})
	r := ring{addresses: make([]string, len(places))}
	for i, p := range places {
		r.addresses[i] = p.address
		if p.address == self {
			r.self = i
		}
	}
	return r
}

// RingNeighbors returns up to n of the given addresses that follow an address in the order of RingLess, and up to n that
// precede it, each once. The order is cyclic.
func RingNeighbors(address string, others []string, n int) []string {
	sorted := slices.Clone(others)
	slices.SortFunc(sorted, func(a, b string) int {
		switch {
		case a == b:
			return 0
		case RingLess(a, b):
			return -1
		default:
			return 1
		}
	})
	sorted = slices.Compact(sorted)
	if len(sorted) <= 2*n {
		return sorted
	}
	first, _ := slices.BinarySearchFunc(sorted, address, func(a, b string) int {
		if RingLess(a, b) {
			return -1
		}
		return 1
	})
	neighbors := make([]string, 0, 2*n)
	for i := first - n; i < first+n; i++ {
		neighbors = append(neighbors, sorted[(i+len(sorted))%len(sorted)])
	}
	return neighbors
}

// Directions on the ring for neighbors: successors lie forward, predecessors backward.
const (
	forward  = 1
	backward = -1
)

// neighbors returns up to n other members that follow (forward) or precede (backward) this node, the nearest first.
func (r ring) neighbors(n, direction int) []string {
	size := len(r.addresses)
	n = min(n, size-1)
	out := make([]string, 0, n)
	for i := 1; i <= n; i++ {
		out = append(out, r.addresses[((r.self+i*direction)%size+size)%size])
	}
	return out
}

// successorsOf returns up to n members that follow an address, the nearest first. The address need not be on the
// ring.
func (r ring) successorsOf(address string, n int) []string {
	size := len(r.addresses)
	i := sort.Search(size, func(i int) bool { return RingLess(address, r.addresses[i]) })
	out := make([]string, 0, n)
	for k := 0; k < size && len(out) < n; k++ {
		if a := r.addresses[(i+k)%size]; a != address {
			out = append(out, a)
		}
	}
	return out
}
