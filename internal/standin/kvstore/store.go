// Package kvstore is an in-memory stand-in for the platform's key-value service. It implements the part of the
// platform's published protocol that guavapoint uses, and injects the service's failures.
package kvstore

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// item is the value of a key. Values are replaced, never modified, so that copies of the contents can share them.
type item struct {
	value    []byte
	created  int64 // revision at which the key was created
	modified int64 // revision of the last write
	lease    int64 // lease that the key ends with; 0 for none
}

// lease removes its keys when it expires.
type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// historyEntry is one change of a key. Watches read the history of these.
type historyEntry struct {
	key     string
	deleted bool
	item    item
}

// contents is the data that Snapshot copies and Restore replaces.
type contents struct {
	revision int64
	items    map[string]item
	leases   map[int64]lease
	history  []historyEntry
	// compacted is the last revision whose history was dropped by Compact.
	compacted int64
}

// Snapshot is a copy of the store's contents, to be passed to Restore.
type Snapshot struct {
	contents contents
}

// Limits are the service's rate limits, in calls per second; zero is no limit.
type Limits struct {
	Writes, Reads int
}

// Store is the stand-in of the key-value service. It is an http.Handler. All methods are safe for concurrent use.
type Store struct {
	now    func() time.Time
	limits Limits

	mu           sync.Mutex // guards the fields below
	contents     contents
	era          uint64        // raised by Restore
	lastLeaseID  int64         // not in contents, so that Restore doesn't reset it
	changed      chan struct{} // closed and replaced on each change of a key
	watchesEnded chan struct{} // closed and replaced to end all watches

	// Injected failures.
	down            bool
	delay           time.Duration
	responsesToLose int

	calls        map[string]int // by endpoint
	rateWindow   time.Time      // start of the second in which windowWrites and windowReads are counted
	windowWrites int
	windowReads  int
	rateLimited  int // calls rejected by the rate limits so far
}

// New returns an empty store. now is the clock for leases and rate limits.
func New(now func() time.Time, limits Limits) *Store {
	return &Store{
		now: now, limits: limits, lastLeaseID: 1000, era: 1,
		contents: contents{revision: 1, items: make(map[string]item), leases: make(map[int64]lease)},
		changed:  make(chan struct{}), watchesEnded: make(chan struct{}), calls: make(map[string]int),
	}
}

// SetDown starts or ends an outage. During an outage, calls fail with status 503 and have no effect. Pending watches
// end at the start and at the end of an outage.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.endWatches()
}

// SetDelay makes every call wait for d before it is processed.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseResponses makes the next n successful transactions and lease calls, renewals included, take effect without a
// response.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// Calls returns the number of calls by path, without the lease ID; a watch counts as one call. The key "limited" holds
// the number of calls rejected by the rate limits, which also count under their path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := map[string]int{"limited": s.rateLimited}
	for path, n := range s.calls {
		calls[path] = n
	}
	return calls
}

// Snapshot returns a copy of the contents.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{contents: s.contents.clone()}
}

// Restore replaces the contents with an older copy, as the platform's operators do after a loss of data, and raises the
// era. Pending watches end.
func (s *Store) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents = snapshot.contents.clone()
	s.era++
	s.endWatches()
}

// Compact drops the history. Pending watches end, and a later watch from a revision before the present one gets status
// 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents.history = nil
	s.contents.compacted = s.contents.revision
	s.endWatches()
}

// endWatches closes the connections of all pending watches. The caller holds the mutex.
func (s *Store) endWatches() {
	close(s.watchesEnded)
	s.watchesEnded = make(chan struct{})
}

func (from contents) clone() contents {
	c := contents{
		revision: from.revision, compacted: from.compacted,
		items: make(map[string]item), leases: make(map[int64]lease),
	}
	for k, v := range from.items {
		c.items[k] = v
	}
	for k, v := range from.leases {
		c.leases[k] = v
	}
	c.history = append(c.history, from.history...)
	return c
}

// put writes a key at the current revision. The caller holds the mutex.
func (s *Store) put(key string, value []byte, leaseID int64) {
	it, exists := s.contents.items[key]
	if !exists {
		it.created = s.contents.revision
	}
	it.value, it.lease, it.modified = value, leaseID, s.contents.revision
	s.contents.items[key] = it
	s.appendHistory(historyEntry{key: key, item: it})
}

// remove deletes those of the keys that exist, at the current revision. The caller holds the mutex.
func (s *Store) remove(keys []string) {
	for _, k := range keys {
		if _, ok := s.contents.items[k]; !ok {
			continue
		}
		delete(s.contents.items, k)
		s.appendHistory(historyEntry{key: k, deleted: true, item: item{modified: s.contents.revision}})
	}
}

// appendHistory records a change and wakes up pending watches. The caller holds the mutex.
func (s *Store) appendHistory(e historyEntry) {
	s.contents.history = append(s.contents.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases removes expired leases and their keys. All keys of a lease are removed at one revision. The caller holds
// the mutex.
func (s *Store) expireLeases() {
	now := s.now()
	for id, l := range s.contents.leases {
		if now.Before(l.expiry) {
			continue
		}
		delete(s.contents.leases, id)
		var keys []string
		for k, it := range s.contents.items {
			if it.lease == id {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		if len(keys) > 0 {
			s.contents.revision++
		}
		s.remove(keys)
	}
}

// keysWithPrefix returns the keys with a prefix in ascending order. The caller holds the mutex.
func (s *Store) keysWithPrefix(prefix string) []string {
	var keys []string
	for k := range s.contents.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// withinRateLimit counts a call and reports whether it is within the limit for writes or reads of the current second.
// Calls above the limit count too. The caller holds the mutex.
func (s *Store) withinRateLimit(isWrite bool) bool {
	if window := s.now().Truncate(time.Second); !window.Equal(s.rateWindow) {
		s.rateWindow, s.windowWrites, s.windowReads = window, 0, 0
	}
	count, limit := &s.windowReads, s.limits.Reads
	if isWrite {
		count, limit = &s.windowWrites, s.limits.Writes
	}
	*count++
	if limit > 0 && *count > limit {
		s.rateLimited++
		return false
	}
	return true
}
