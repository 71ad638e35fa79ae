package control

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/store"
)

// publishWorld simulates the environment of a Publisher: daemons that apply the stored document at random times,
// another operator, and restores of the store.
type publishWorld struct {
	t                *rapid.T
	store            *fakeStore
	holder           *config.Holder  // configuration on the daemons
	heldByDaemons    map[string]bool // change ids that were in effect on the daemons
	removedByRestore map[string]bool // change ids that a restore removed before they were in effect on a daemon
	other            *Publisher
}

// inEffect implements Fleet.InEffect.
func (w *publishWorld) inEffect() (config.Version, *config.Document, error) {
	v, d := w.holder.Current()
	return v, d, nil
}

// propagate offers the stored document to the daemons.
func (w *publishWorld) propagate() {
	kv, ok := w.store.items[ConfigKey]
	if !ok {
		return
	}
	d, err := config.Parse(kv.Value)
	if err != nil {
		w.t.Fatal(err)
	}
	if changed, _ := w.holder.Offer(versionOf(kv, d), d); changed {
		w.heldByDaemons[d.ChangeID] = true
	}
}

// withoutFaults runs f without store faults or random events.
func (w *publishWorld) withoutFaults(f func()) {
	before, faulty := w.store.before, w.store.faulty
	w.store.before, w.store.faulty = func() {}, false
	f()
	w.store.before, w.store.faulty = before, faulty
}

// otherWrites publishes a change of the other operator.
func (w *publishWorld) otherWrites() {
	w.withoutFaults(func() {
		base, err := w.other.Current(context.Background())
		if err != nil {
			w.t.Fatal(err)
		}
		r, err := w.other.Publish(context.Background(), base, testDocument(w.t))
		if err != nil || r.Kind != Accepted {
			w.t.Fatalf("publication without faults: result %v, error %v", r, err)
		}
	})
}

// randomEvent runs one event drawn from the test's random source, or none.
func (w *publishWorld) randomEvent() {
	switch rapid.SampledFrom([]string{"", "", "", "", "other", "propagate", "deliver delayed", "restore"}).Draw(w.t, "event") {
	case "other":
		w.otherWrites()
	case "propagate":
		w.propagate()
	case "deliver delayed":
		w.store.deliverDelayed()
	case "restore":
		rev := rapid.Int64Range(1, w.store.rev).Draw(w.t, "revision")
		for _, kv := range w.store.history {
			d, err := config.Parse(kv.Value)
			if err == nil && kv.Revision > rev && !w.heldByDaemons[d.ChangeID] {
				w.removedByRestore[d.ChangeID] = true
			}
		}
		w.store.restore(rev)
	}
}

// Guards against the result Accepted for a change that did not take effect or that daemons ignore, and against LostRace
// or an error for a change that took effect.
func TestPublisherReportsOutcomes(t *testing.T) {
	kinds := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		for range publicationsPerCheck {
			checkPublication(t, kinds)
		}
	})
	t.Logf("outcomes: %v", kinds)
}

// publicationsPerCheck is the number of publications in one check: the default 100 checks alone seldom reach a lost
// response that is followed by another operator's change.
const publicationsPerCheck = 8

// checkPublication publishes one change under random faults and events, compares the result with the writes of the
// store, and counts the result in kinds.
func checkPublication(t *rapid.T, kinds map[string]int) {
	store := newFakeStore(t)
	w := &publishWorld{
		t: t, store: store, holder: config.NewHolder(),
		heldByDaemons: map[string]bool{}, removedByRestore: map[string]bool{},
	}
	w.other = &Publisher{Store: store, Fleet: fleetFunc(w.inEffect), NewID: counterIDs("other")}
	p := &Publisher{Store: store, NewID: counterIDs("own"), Fleet: fleetFunc(func() (config.Version, *config.Document, error) {
		if store.fault("unavailable") != "" {
			return config.Version{}, nil, errors.New("no daemon answers")
		}
		return w.inEffect()
	})}
	for range rapid.IntRange(0, 2).Draw(t, "earlier changes") {
		w.otherWrites()
	}
	store.faulty = true
	store.before = w.randomEvent
	base, err := p.Current(context.Background())
	if err != nil {
		return
	}
	r, err := p.Publish(context.Background(), base, testDocument(t))
	store.before, store.faulty = func() {}, false
	current, doc := w.holder.Current()
	store.deliverDelayed()
	const id = "own-1"
	switch {
	case err != nil:
		kinds["error"]++
		if store.applied[id] {
			t.Fatalf("error %v for a change that took effect", err)
		}
	case r.Kind == Accepted:
		kinds["accepted"]++
		if !store.applied[id] {
			t.Fatal("accepted, but the change did not take effect")
		}
		if r.Confirmed && !current.Less(r.Version) && doc.ChangeID != id {
			t.Fatalf("accepted and confirmed as version %v, but daemons keep %v", r.Version, current)
		}
	case r.Kind == LostRace:
		kinds["lost"]++
		if store.applied[id] && !w.removedByRestore[id] {
			t.Fatal("lost the race, but the change took effect")
		}
	default:
		kinds["unknown"]++
	}
}

// Guards against a LostRace result without the version, the author and the difference of the change that won.
func TestPublisherNamesTheWinner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newFakeStore(t)
		a := &Publisher{Store: store, NewID: counterIDs("a")}
		b := &Publisher{Store: store, NewID: counterIDs("b")}
		ctx := context.Background()
		baseA, _ := a.Current(ctx)
		baseB, _ := b.Current(ctx)
		next := testDocument(t).Clone()
		next.ChangedBy, next.ActivePresetName = "operator b", config.PresetPeak
		won, err := b.Publish(ctx, baseB, next)
		if err != nil || won.Kind != Accepted {
			t.Fatalf("first publication: result %v, error %v", won, err)
		}
		r, err := a.Publish(ctx, baseA, testDocument(t))
		if err != nil || r.Kind != LostRace || r.Winner != won.Version || r.WinnerBy != "operator b" ||
			fmt.Sprint(r.Difference) != "[active_preset: ordinary -> peak]" {
			t.Fatalf("second publication: result %+v, error %v", r, err)
		}
		bad := next.Clone()
		bad.ActivePresetName = "none"
		if _, err := a.Publish(ctx, baseA, bad); err == nil || store.applied["a-2"] {
			t.Fatalf("invalid document: got error %v, or it was written", err)
		}
	})
}

var _ store.Store = (*fakeStore)(nil)
