// Package kvstore is an in-memory stand-in for the platform's key-value service. It speaks the platform's
// published protocol as far as guavapoint uses it, and injects the service's failures.
package kvstore

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// item is a key with its value. Values are replaced, never modified.
type item struct {
	value    []byte
	created  int64
	modified int64
	lease    int64
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// historyEntry is one entry of the history that watches read.
type historyEntry struct {
	key     string
	deleted bool
	item    item
}

// contents is everything that Snapshot copies.
type contents struct {
	revision int64
	items    map[string]item
	leases   map[int64]lease
	history  []historyEntry
	// compacted is the revision up to which the history was dropped.
	compacted int64
}

// Snapshot is a copy of the store's content for Restore.
type Snapshot struct {
	contents contents
}

// Limits are the service's rates in calls per second; zero stands for no limit.
type Limits struct {
	Writes, Reads int
}

// Store is the stand-in; it is an http.Handler. All methods are safe for concurrent use.
type Store struct {
	now    func() time.Time
	limits Limits

	mu           sync.Mutex
	contents     contents
	lastLeaseID  int64
	changed      chan struct{} // closed and replaced with each change
	watchesEnded chan struct{} // closed and replaced by Restore and SetDown, which end all watches

	down            bool
	delay           time.Duration
	responsesToLose int
	calls           map[string]int
	rateWindow      time.Time
	windowWrites    int
	windowReads     int
	rateLimited     int
}

// New returns an empty store. now is the clock for leases and rates.
func New(now func() time.Time, limits Limits) *Store {
	return &Store{
		now: now, limits: limits, lastLeaseID: 1000,
		contents: contents{revision: 1, items: make(map[string]item), leases: make(map[int64]lease)},
		changed:  make(chan struct{}), watchesEnded: make(chan struct{}), calls: make(map[string]int),
	}
}

// SetDown starts or ends an outage: calls fail without effect and watches end.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.endWatches()
}

// SetDelay makes every call wait before it is processed.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseResponses makes the next n writes take effect without a response.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// Calls returns the number of calls by path; a watch counts as one. Key "limited" counts the calls refused by rate.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := map[string]int{"limited": s.rateLimited}
	for path, n := range s.calls {
		calls[path] = n
	}
	return calls
}

// Snapshot copies the content.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{contents: s.contents.clone()}
}

// Restore replaces the content with an older copy, as the platform's operators do after a loss. Watches end.
func (s *Store) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents = snapshot.contents.clone()
	s.endWatches()
}

// Compact drops the history. Watches from before are answered with 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents.history = nil
	s.contents.compacted = s.contents.revision
	s.endWatches()
}

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

// put writes a key at the present revision. The caller holds the mutex.
func (s *Store) put(key string, value []byte, leaseID int64) {
	it, exists := s.contents.items[key]
	if !exists {
		it.created = s.contents.revision
	}
	it.value, it.lease, it.modified = value, leaseID, s.contents.revision
	s.contents.items[key] = it
	s.appendHistory(historyEntry{key: key, item: it})
}

// remove deletes keys at the present revision. The caller holds the mutex.
func (s *Store) remove(keys []string) {
	for _, k := range keys {
		if _, ok := s.contents.items[k]; !ok {
			continue
		}
		delete(s.contents.items, k)
		s.appendHistory(historyEntry{key: k, deleted: true, item: item{modified: s.contents.revision}})
	}
}

func (s *Store) appendHistory(e historyEntry) {
	s.contents.history = append(s.contents.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends leases whose time is up and removes their keys. The caller holds the mutex.
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

// keysWithPrefix returns the keys with a prefix in order.
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

// withinRateLimit applies the rate limits. The caller holds the mutex.
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
