package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the stand-in of the platform's store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Gone     bool   `json:"tombstone,omitempty"`
}

// kvStore is a stand-in of the platform's store. It keeps the whole history.
type kvStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]time.Time
	ttls     map[int64]time.Duration
	next     int64
	address  string
}

func startStore(ip string) (*kvStore, error) {
	s := &kvStore{revision: 1, items: map[string]item{}, leases: map[int64]time.Time{}, ttls: map[int64]time.Duration{}, next: 100}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go http.Serve(l, s)
	return s, nil
}

func (s *kvStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
}

// set writes a key at the present revision. The caller holds the mutex.
func (s *kvStore) set(key string, value []byte, lease int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, it)
}

// drop removes a key at the present revision. The caller holds the mutex.
func (s *kvStore) drop(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Gone: true})
	}
}

// expire removes the keys of leases that have ended. The caller holds the mutex.
func (s *kvStore) expire() {
	for id, end := range s.leases {
		if time.Now().After(end) {
			s.endLease(id)
		}
	}
}

func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.drop(key)
		}
	}
}

func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	q := r.URL.Query()
	if r.URL.Path == "/kv-watch" {
		s.watch(w, r, q)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch {
	case r.URL.Path == "/kv-key":
		it, ok := s.items[q.Get("key")]
		if !ok {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, struct {
			item
			StoreRevision int64 `json:"storeRevision"`
		}{it, s.revision})
	case r.URL.Path == "/kv-range":
		found := []item{}
		for _, it := range s.items {
			if strings.HasPrefix(it.Key, q.Get("pathPrefix")) && it.Key > q.Get("after") {
				found = append(found, it)
			}
		}
		slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
		reply(w, 200, map[string]any{"items": found, "hasMore": false, "storeRevision": s.revision})
	case r.URL.Path == "/kv-txn":
		s.txn(w, body)
	case r.URL.Path == "/kv-lease":
		var in struct {
			TTL string `json:"ttl_time"`
		}
		if json.Unmarshal(body, &in) != nil {
			reply(w, 400, map[string]any{})
			return
		}
		ttl, err := time.ParseDuration(in.TTL)
		if err != nil || ttl < time.Second {
			reply(w, 400, map[string]any{})
			return
		}
		s.next++
		s.leases[s.next], s.ttls[s.next] = time.Now().Add(ttl), ttl
		reply(w, 200, map[string]any{"lease": s.next, "ttl_time": in.TTL})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		if _, ok := s.leases[id]; !ok {
			reply(w, 404, map[string]any{})
			return
		}
		s.leases[id] = time.Now().Add(s.ttls[id])
		reply(w, 200, map[string]any{"ttl_time": strconv.FormatInt(s.ttls[id].Milliseconds(), 10) + "ms"})
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		if _, ok := s.leases[id]; ok {
			s.endLease(id)
		}
		reply(w, 200, map[string]any{})
	default:
		reply(w, 404, map[string]any{})
	}
}

func (s *kvStore) txn(w http.ResponseWriter, body []byte) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.Unmarshal(body, &in) != nil {
		reply(w, 400, map[string]any{})
		return
	}
	for _, e := range in.Expected {
		if s.items[e.Key].Revision != e.Revision {
			now := []item{}
			for _, e := range in.Expected {
				if it, ok := s.items[e.Key]; ok {
					now = append(now, it)
				}
			}
			reply(w, 412, map[string]any{"items": now})
			return
		}
	}
	for _, x := range in.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			reply(w, 403, map[string]any{})
			return
		}
		if _, ok := s.leases[x.Lease]; x.Lease != 0 && !ok {
			reply(w, 404, map[string]any{})
			return
		}
	}
	s.revision++
	for _, x := range in.Writes {
		s.set(x.Key, x.Value, x.Lease)
	}
	for _, key := range in.Remove {
		s.drop(key)
	}
	reply(w, 200, map[string]any{"revision": s.revision})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request, q url.Values) {
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("pathPrefix")) {
				events = append(events, it)
			}
		}
		revision := s.revision
		s.mu.Unlock()
		if len(events) > 0 || time.Now().After(end) || r.Context().Err() != nil {
			reply(w, 200, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}
