package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/core/membership"
	"guavapoint.example/guavapoint/internal/standin/kvstore"
	"guavapoint.example/guavapoint/internal/store"
	"guavapoint.example/guavapoint/platform"
)

// noWatchStore ends watches at once: a test reads the list instead, whenever it wants.
type noWatchStore struct{ store.Store }

func (noWatchStore) Watch(context.Context, string, int64, func([]store.KV) error) error {
	return store.ErrUnavailable
}

type relayWorld struct {
	now    time.Time
	store  *kvstore.Store
	nodes  map[string]*LockedNode
	relays map[string]*Relay
	order  []string
}

func newRelayWorld(t testing.TB, zones, size int) *relayWorld {
	w := &relayWorld{now: time.Unix(1_800_000_000, 0), nodes: map[string]*LockedNode{}, relays: map[string]*Relay{}}
	clock := func() time.Time { return w.now }
	w.store = kvstore.New(clock, kvstore.Limits{Writes: 500, Reads: 2000})
	server := httptest.NewServer(w.store)
	t.Cleanup(server.Close)
	client, err := platform.NewClient([]string{server.URL}, server.Client(), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	for z := range zones {
		first := fmt.Sprintf("10.0.%d.0:7000", z)
		for i := range size {
			rng := rand.New(rand.NewPCG(uint64(z), uint64(i)))
			self := membership.Record{
				Address: fmt.Sprintf("10.0.%d.%d:7000", z, i), Zone: fmt.Sprintf("z%d", z), Service: "lookup",
				Incarnation: call.Incarnation(i + 1), State: membership.StateServing,
			}
			node := NewLockedNode(membership.New(membership.Config{}, self, []string{first}, rng))
			configs := NewConfigSync(config.NewHolder(), nil, clock, nil)
			w.order = append(w.order, self.Address)
			w.nodes[self.Address] = node
			w.relays[self.Address] = NewRelay(noWatchStore{client}, node, configs, clock, rng, nil)
		}
	}
	return w
}

// run lets time pass in steps of 250 ms; messages arrive in the next step.
func (w *relayWorld) run(d time.Duration) {
	ctx := context.Background()
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(250 * time.Millisecond) {
		var sent []membership.Message
		for _, a := range w.order {
			node, relay := w.nodes[a], w.relays[a]
			if node == nil {
				continue
			}
			node.Tick(w.now)
			relay.Tick(ctx)
			sent = append(sent, node.Ready().Messages...)
		}
		for _, m := range sent {
			if node := w.nodes[m.To]; node != nil {
				node.Step(w.now, m)
			}
		}
	}
}

func (w *relayWorld) active(zone string) int {
	n := 0
	for _, a := range w.order {
		if w.nodes[a] != nil && w.nodes[a].Self().Zone == zone && w.relays[a].HoldsLease() {
			n++
		}
	}
	return n
}

func (w *relayWorld) wantState(t *testing.T, what, address string, want membership.State) {
	t.Helper()
	for _, a := range w.order {
		if w.nodes[a] == nil {
			continue
		}
		got := membership.StateDown
		for _, r := range w.nodes[a].Members() {
			if r.Address == address {
				got = r.State
			}
		}
		if got != want {
			t.Errorf("%s: %s holds %s for %v, want %v", what, a, address, got, want)
		}
	}
}

// Guards against zones that don't learn of each other by the platform or, in an outage, directly; against a number of
// relays other than 3; and against platform calls that grow.
func TestRelaysConnectZones(t *testing.T) {
	w := newRelayWorld(t, 2, 8)
	w.run(60 * time.Second)
	for _, zone := range []string{"z0", "z1"} {
		if n := w.active(zone); n != relaysPerZone {
			t.Errorf("zone %s has %d relays", zone, n)
		}
	}
	w.wantState(t, "after the start", "10.0.1.3:7000", membership.StateServing)
	// Guards against a zone that misses changes of the configuration when the store turns its relays away.
	watchers := 0
	for _, a := range w.order {
		if w.relays[a].watchesConfig() {
			watchers++
		}
	}
	if watchers < 2*configWatchers || watchers > 2*(configWatchers+relaysPerZone) {
		t.Errorf("%d members of two zones follow the configuration", watchers)
	}

	before := w.store.Calls()
	w.run(60 * time.Second)
	after := w.store.Calls()
	if n := after[platform.PathKeep] - before[platform.PathKeep]; n > 6*20 {
		t.Errorf("%d renewals of 6 relays in 60 s", n)
	}
	if n := after[platform.PathTxn] - before[platform.PathTxn]; n != 0 {
		t.Errorf("%d writes although nothing changed", n)
	}

	w.nodes["10.0.1.3:7000"].SetState(w.now, membership.StateLeaving)
	w.run(20 * time.Second)
	w.wantState(t, "by the platform", "10.0.1.3:7000", membership.StateLeaving)
	if n := w.store.Calls()[platform.PathTxn] - after[platform.PathTxn]; n < 1 || n > 2 {
		t.Errorf("%d writes for one change, want 1, or 2 when two relays notice it in the same step", n)
	}

	w.store.SetDown(true)
	w.run(leaseTTL + time.Second) // no relay acts under a lease any more
	w.nodes["10.0.0.5:7000"].SetState(w.now, membership.StateLeaving)
	w.run(90 * time.Second)
	w.wantState(t, "directly", "10.0.0.5:7000", membership.StateLeaving)
	if n := w.active("z0"); n != 0 {
		t.Errorf("%d relays trust a lease that ended in the outage", n)
	}

	w.store.SetDown(false)
	for _, a := range w.order {
		if w.nodes[a].Self().Zone == "z1" && w.relays[a].rank() < relaysPerZone {
			delete(w.nodes, a)
		}
	}
	w.run(60 * time.Second)
	if n := w.active("z1"); n != relaysPerZone {
		t.Errorf("after the loss of the first candidates the zone has %d relays", n)
	}
}

// countedStore counts the calls that relays make, apart from the lists that stand for a pending watch here.
type countedStore struct {
	store.Store
	reads, writes int
}

func (c *countedStore) Get(ctx context.Context, key string) (store.KV, error) {
	c.reads++
	return c.Store.Get(ctx, key)
}

func (c *countedStore) List(ctx context.Context, prefix string) ([]store.KV, int64, error) {
	if prefix != zonesPrefix {
		c.reads++
	}
	return c.Store.List(ctx, prefix)
}

func (c *countedStore) CompareAndSwap(ctx context.Context, key string, rev int64, v []byte, l store.LeaseID) (int64, error) {
	c.writes++
	return c.Store.CompareAndSwap(ctx, key, rev, v, l)
}

func (c *countedStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	c.writes++
	return c.Store.Grant(ctx, ttl)
}

func (c *countedStore) KeepAlive(ctx context.Context, id store.LeaseID) error {
	c.writes++
	return c.Store.KeepAlive(ctx, id)
}

// BenchmarkPlatformCalls measures the calls to the platform for 11 zones, of which each has 8 members here: only 6 of
// a zone's members make calls, whatever its size. The limits are several hundred writes/s and 2,000 reads/s.
func BenchmarkPlatformCalls(b *testing.B) {
	for range b.N {
		w := newRelayWorld(b, 11, 8)
		counted := &countedStore{Store: w.relays[w.order[0]].store}
		for _, r := range w.relays {
			r.store = counted
		}
		phase := func(name string) {
			counted.reads, counted.writes = 0, 0
			w.run(30 * time.Second)
			b.ReportMetric(float64(counted.reads)/30, "reads/s/"+name)
			b.ReportMetric(float64(counted.writes)/30, "writes/s/"+name)
		}
		phase("start")
		phase("normal")
		lost := make(map[string]*LockedNode)
		for _, a := range w.order {
			if node := w.nodes[a]; node.Self().Zone == "z3" {
				lost[a] = node
				delete(w.nodes, a)
			}
		}
		phase("loss")
		for a, node := range lost {
			w.nodes[a] = node
		}
		phase("return")
	}
	b.ReportMetric(0, "ns/op")
}
