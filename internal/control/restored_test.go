package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/core/membership"
	"guavapoint.example/guavapoint/internal/standin/kvstore"
	"guavapoint.example/guavapoint/platform"
)

// restoredWorld returns two zones that know each other, and their store as it was before the later changes that raised its
// revisions were lost. After it, each revision of these changes can be given out again.
func restoredWorld(t *testing.T) *relayWorld {
	w := newRelayWorld(t, 2, 8)
	w.run(61 * time.Second) // the leases have just been renewed, so that they outlast the restore
	older := w.store.Snapshot()
	w.nodes["10.0.1.5:7000"].SetState(w.now, membership.StateLeaving)
	w.run(1500 * time.Millisecond)
	for range 2 {
		w.nodes["10.0.1.4:7000"].SetState(w.now, membership.StateStarting)
		w.nodes["10.0.1.4:7000"].SetState(w.now, membership.StateServing)
		w.run(1500 * time.Millisecond)
	}
	w.wantState(t, "before the restore", "10.0.1.5:7000", membership.StateLeaving)
	w.store.Restore(older)
	for _, r := range w.relays {
		r.nextExchange = w.now.Add(time.Hour) // no direct exchange between zones hides what the summaries lack
	}
	return w
}

// Guards against a zone that doesn't learn of members of another zone after a restore: its relays ignored summaries whose
// revisions they had seen before.
func TestSummariesWrittenAfterARestoreAreRead(t *testing.T) {
	w := restoredWorld(t)
	w.run(2 * time.Second)
	w.nodes["10.0.1.3:7000"].SetState(w.now, membership.StateLeaving)
	w.run(4 * time.Second) // the time within which a change must be in effect everywhere
	w.wantState(t, "after the restore", "10.0.1.3:7000", membership.StateLeaving)
}

// storedState returns the state of the member at an address in the summaries in the store, StateDown if they don't have it.
func (w *relayWorld) storedState(t *testing.T, address string) membership.State {
	kvs, _, err := w.relays[w.order[0]].store.List(context.Background(), zonesPrefix)
	if err != nil {
		t.Fatal(err)
	}
	newest := membership.Record{State: membership.StateDown}
	for _, kv := range kvs {
		m, err := membership.Decode(kv.Value)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range m.Records {
			if r.Address == address && r.Seq >= newest.Seq {
				newest = r
			}
		}
	}
	return newest.State
}

// Guards against a summary that stays lost after a restore: its relay believed that the store had it.
func TestSummariesLostByARestoreAreWrittenAgain(t *testing.T) {
	w := restoredWorld(t)
	w.run(10 * time.Second)
	if got := w.storedState(t, "10.0.1.5:7000"); got != membership.StateLeaving {
		t.Errorf("the store has state %v of a member that left before the restore, want %v", got, membership.StateLeaving)
	}
}

// Guards against zones that new daemons can't join for several seconds after a restore: the relay leases are gone, and
// their holders must take leases again within about two seconds.
func TestLeasesLostByARestoreAreTakenAgain(t *testing.T) {
	w := newRelayWorld(t, 2, 8)
	older := w.store.Snapshot()
	w.run(60 * time.Second)
	w.store.Restore(older)
	w.run(2 * time.Second)
	for _, zone := range []string{"z0", "z1"} {
		var holders, stored []string
		for _, a := range w.order {
			if w.nodes[a].Self().Zone == zone && w.relays[a].HoldsLease() {
				holders = append(holders, a)
			}
		}
		kvs, _, err := w.relays[w.order[0]].store.List(context.Background(), relaysPrefix+zone+"/")
		if err != nil {
			t.Fatal(err)
		}
		for _, kv := range kvs {
			stored = append(stored, string(kv.Value))
		}
		slices.Sort(holders)
		slices.Sort(stored)
		if len(stored) != relaysPerZone || !slices.Equal(holders, stored) {
			t.Errorf("zone %s: the store has leases of %v, %v believe to hold one, want the same %d", zone, stored, holders, relaysPerZone)
		}
	}
}

// Guards against a configuration that a watching daemon never takes: between two requests of its watch, the store is
// restored and gives out the revisions up to the one that the watch continues from again, the configuration's among them.
func TestWatchFindsAConfigurationAfterARestore(t *testing.T) {
	standin := kvstore.New(time.Now, kvstore.Limits{})
	server := httptest.NewServer(standin)
	defer server.Close()
	client, err := platform.NewClient([]string{server.URL}, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	write := func(key, value string) int64 {
		kv, _ := client.Get(t.Context(), key) // the zero revision if it doesn't exist
		rev, err := client.CompareAndSwap(t.Context(), key, kv.Revision, []byte(value), 0)
		if err != nil {
			t.Error(err)
		}
		return rev
	}
	configText := func(version int) string { return fmt.Sprintf(`{"version":"r%d","routes":{},"services":{}}`, version) }
	holder := config.NewHolder()
	inEffect := func() uint64 { v, _ := holder.Current(); return v.Revision }
	var older kvstore.Snapshot
	var restore sync.Once
	configs := NewConfigSync(holder, nil, time.Now, func(v config.Version, _ *config.Document) {
		if v.Revision != 2 {
			return
		}
		restore.Do(func() { // the next request of the watch is yet to come
			before := write("filler", "")
			standin.Restore(older)
			write(platform.ConfigKey, configText(3))
			for write("filler", "") <= before {
			}
		})
	})
	configs.SetSource(Source{Key: platform.ConfigKey, Decode: platform.DecodeConfig})
	write(platform.ConfigKey, configText(1))
	older = standin.Snapshot()
	self := membership.Record{Address: "10.0.0.1:7000", Zone: "z0", Service: "lookup", Incarnation: 1, State: membership.StateServing}
	node := NewLockedNode(membership.New(membership.Config{}, self, nil, rand.New(rand.NewPCG(1, 1))))
	relay := NewRelay(client, node, configs, time.Now, rand.New(rand.NewPCG(2, 2)), nil)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { relay.Run(ctx, 50*time.Millisecond) })
	defer running.Wait()
	defer cancel()
	written := false
	for deadline := time.Now().Add(20 * time.Second); inEffect() != 3; time.Sleep(10 * time.Millisecond) {
		if !written && inEffect() == 1 && relay.HoldsLease() {
			written = true
			write(platform.ConfigKey, configText(2))
		}
		if time.Now().After(deadline) {
			t.Fatalf("version %d is in effect, want 3", inEffect())
		}
	}
}
