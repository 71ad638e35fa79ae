package control

import (
	"context"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/store"
)

// lostResponseStore performs the first write, calls after, and then returns ErrUnknown as if the response had been
// lost.
type lostResponseStore struct {
	*fakeStore
	after func()
}

func (s *lostResponseStore) CompareAndSwap(ctx context.Context, key string, rev int64, value []byte, l store.LeaseID) (int64, error) {
	if s.after == nil {
		return s.fakeStore.CompareAndSwap(ctx, key, rev, value, l)
	}
	after := s.after
	s.after = nil
	_, _ = s.put(key, rev, value)
	after()
	return 0, store.ErrUnknown
}

// Guards against the result LostRace for a change that took effect on daemons before the platform was restored from an
// older copy, if another operator then replaced it (found with -rapid.seed=34726) or the daemons can't be queried.
func TestLostResponseBeforeARestoreIsUnknown(t *testing.T) {
	for _, unreachable := range []bool{false, true} {
		rapid.Check(t, func(t *rapid.T) {
			store := newFakeStore(t)
			w := &publishWorld{
				t: t, store: store, holder: config.NewHolder(),
				heldByDaemons: map[string]bool{}, removedByRestore: map[string]bool{},
			}
			w.other = &Publisher{Store: store, Fleet: fleetFunc(w.inEffect), NewID: counterIDs("other")}
			asked := 0
			fleet := fleetFunc(func() (config.Version, *config.Document, error) {
				if asked++; asked > 2 && unreachable {
					return config.Version{}, nil, errors.New("no daemon answers")
				}
				return w.inEffect()
			})
			lossy := &lostResponseStore{fakeStore: store, after: func() {
				w.propagate()
				store.restore(1)
				w.otherWrites()
				if !unreachable {
					w.propagate()
				}
			}}
			p := &Publisher{Store: lossy, NewID: counterIDs("own"), Fleet: fleet}
			base, err := p.Current(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			r, err := p.Publish(context.Background(), base, testDocument(t))
			if err != nil || r.Kind != Unknown {
				t.Fatalf("got result %v, error %v, want unknown: the change was in effect and then replaced", r.Kind, err)
			}
		})
	}
}

// Guards against the result Accepted for a change that replaced one of another operator, whom nobody told: a restore
// between the last read and the write gave the expected revision out again.
func TestWriteOverARevisionGivenOutAgainIsUnknown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeStore(t)
		own := &Publisher{Store: s, NewID: counterIDs("own")}
		other := &Publisher{Store: s, NewID: counterIDs("other")}
		publish := func(p *Publisher) Result {
			base, err := p.Current(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			r, err := p.Publish(context.Background(), base, testDocument(t))
			if err != nil {
				t.Fatal(err)
			}
			return r
		}
		publish(own)
		calls := 0
		s.before = func() {
			if calls++; calls != 3 { // the third call is the write, after two reads
				return
			}
			s.before = func() {}
			before := s.rev
			s.restore(before - 1)
			publish(other)
			if s.rev != before {
				t.Fatalf("revision %d after the restore, want %d again", s.rev, before)
			}
		}
		if r := publish(own); r.Kind != Unknown || !errors.Is(r.Err, ErrRestored) {
			t.Fatalf("result %v (%v) for a change that replaced another one, want unknown", r.Kind, r.Err)
		}
	})
}
