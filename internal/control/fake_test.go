package control

import (
	"context"
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"

	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/store"
)

const testPreset = `{"retry_budget":3,"retry_ratio":0.1,"default_timeout":"2s","slot_share":1,"reserved_share":0.1,
"queue_delay":"50ms","lowest_class":"low","link_bytes_per_second":400000,"link_upload_share":0.5}`

func testDocument(t interface{ Fatal(...any) }) *config.Document {
	text := `{"format":1,"epoch":1,"change_id":"x","changed_by":"x","active_preset":"ordinary","presets":{"ordinary":` +
		testPreset + `,"peak":` + testPreset + `,"maintenance":` + testPreset + `},"services":{"lookup":{"operations":[]}},
"batches":[]}`
	d, err := config.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// fakeStore is an in-memory store.Store. If faulty is set, the fault of each call is drawn from the test's random
// source.
type fakeStore struct {
	t       *rapid.T
	faulty  bool
	before  func() // runs before each call; simulates events on other processes
	rev     int64
	era     uint64 // number of restores
	items   map[string]store.KV
	history []store.KV      // every write, oldest first
	pending []func()        // writes that reach the store after their caller's timeout
	applied map[string]bool // change ids of the documents that were written
}

func newFakeStore(t *rapid.T) *fakeStore {
	return &fakeStore{t: t, rev: 1, items: make(map[string]store.KV), applied: make(map[string]bool), before: func() {}}
}

// fault draws one of the kinds of fault, or "" for none. Without faulty it draws nothing and returns "".
func (s *fakeStore) fault(kinds ...string) string {
	s.before()
	if !s.faulty {
		return ""
	}
	return rapid.SampledFrom(append(kinds, "", "")).Draw(s.t, "fault")
}

func (s *fakeStore) Get(_ context.Context, key string) (store.KV, error) {
	if s.fault("unavailable") != "" {
		return store.KV{}, store.ErrUnavailable
	}
	kv, ok := s.items[key]
	if !ok {
		return store.KV{}, store.ErrNotFound
	}
	return kv, nil
}

func (s *fakeStore) put(key string, rev int64, value []byte) (int64, error) {
	if s.items[key].Revision != rev {
		return 0, store.ErrConflict
	}
	s.rev++
	kv := store.KV{Key: key, Value: value, Revision: s.rev}
	s.items[key] = kv
	s.history = append(s.history, kv)
	if d, err := config.Parse(value); err == nil {
		s.applied[d.ChangeID] = true
	}
	return s.rev, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, rev int64, value []byte, _ store.LeaseID) (int64, error) {
	switch s.fault("unavailable", "lost", "failed", "delayed") {
	case "unavailable":
		return 0, store.ErrUnavailable
	case "failed":
		return 0, store.ErrUnknown
	case "lost":
		_, _ = s.put(key, rev, value)
		return 0, store.ErrUnknown
	case "delayed":
		s.pending = append(s.pending, func() { _, _ = s.put(key, rev, value) })
		return 0, store.ErrUnknown
	}
	return s.put(key, rev, value)
}

// deliverDelayed performs the delayed writes.
func (s *fakeStore) deliverDelayed() {
	for _, f := range s.pending {
		f()
	}
	s.pending = nil
}

// restore replaces the content by that of an earlier revision. Delayed writes are lost, as with the servers that held
// them.
func (s *fakeStore) restore(rev int64) {
	s.pending = nil
	s.era++
	s.rev = rev
	s.items = make(map[string]store.KV)
	kept := s.history[:0:0]
	for _, kv := range s.history {
		if kv.Revision <= rev {
			kept = append(kept, kv)
			s.items[kv.Key] = kv
		}
	}
	s.history = kept
}

func (s *fakeStore) Watch(_ context.Context, prefix string, from int64, f func([]store.KV) error) error {
	if s.fault("unavailable") != "" {
		return store.ErrUnavailable
	}
	for _, kv := range s.history {
		if kv.Revision < from || !strings.HasPrefix(kv.Key, prefix) {
			continue
		}
		if err := f([]store.KV{kv}); err != nil {
			return err
		}
	}
	return store.ErrUnavailable
}

func (s *fakeStore) Era() uint64                                                 { return s.era }
func (s *fakeStore) List(context.Context, string) ([]store.KV, int64, error)     { panic("unused") }
func (s *fakeStore) ListStale(context.Context, string) ([]store.KV, error)       { panic("unused") }
func (s *fakeStore) Delete(context.Context, string) error                        { panic("unused") }
func (s *fakeStore) Grant(context.Context, time.Duration) (store.LeaseID, error) { panic("unused") }
func (s *fakeStore) KeepAlive(context.Context, store.LeaseID) error              { panic("unused") }

type fleetFunc func() (config.Version, *config.Document, error)

func (f fleetFunc) InEffect(context.Context) (config.Version, *config.Document, error) { return f() }

// counterIDs returns a function that returns prefix-1, prefix-2 and so on.
func counterIDs(prefix string) func() string {
	n := 0
	return func() string {
		n++
		return fmt.Sprintf("%s-%d", prefix, n)
	}
}
