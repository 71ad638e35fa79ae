package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"guavapoint.example/guavapoint/internal/core/membership"
	"guavapoint.example/guavapoint/internal/store"
)

const (
	// relaysPerZone is the number of leases of a zone; one relay suffices, the others replace it at once.
	relaysPerZone = 3
	// relayCandidates is the number of members of a zone that compete for the leases. If all did, the calls would
	// grow with the fleet.
	relayCandidates = 6
	// leaseTTL is 3 renewals, so that two lost renewals don't end a lease.
	leaseTTL      = 9 * time.Second
	renewInterval = 3 * time.Second
	// competeInterval spaces a candidate's looks at the leases: 11 zones with 3 candidates each make 7 reads/s.
	competeInterval = 5 * time.Second
	// raceInterval spaces the looks of candidates that compete at the same time, as after a common start.
	raceInterval = 500 * time.Millisecond
	// configWatchers is the number of members of a zone that follow the configuration in the store beside the relays: the
	// store may turn all relays of a zone away, or end their leases, while it serves others. The rest take it from their
	// peers. If all watched, the calls would grow with the fleet.
	configWatchers = 4
	// configReadInterval spaces the reads of the configuration by a daemon that has none yet and is no relay: its peers may
	// have none for it either, as when all daemons were killed.
	configReadInterval = 2 * time.Second
	// zonesInterval spaces the reads of the other zones' summaries. A read of content that may be stale costs a tenth of a
	// watch, which would also end with each of the many changes while a deployment starts.
	zonesInterval = time.Second
	// startSpread is the time over which the daemons of a zone that start together look for its leases.
	startSpread = 250 * time.Millisecond
	// outageAfter is the time without a successful call after which the platform counts as down.
	outageAfter = 10 * time.Second
	// exchangeInterval spaces direct exchanges while the platform works. They correct records that a summary can't:
	// it has no way back to its writer.
	exchangeInterval = 30 * time.Second
	// outageExchangeInterval spaces direct exchanges during an outage.
	outageExchangeInterval = 5 * time.Second
	// summaryInterval is the least time between two summaries.
	summaryInterval = time.Second
	// summaryStagger delays the summary of each further relay of a zone, which writes only what the ones before it have
	// not written. It covers the write and the reads of two intervals.
	summaryStagger = 2500 * time.Millisecond
	// summaryRate spaces the summaries of large zones, in bytes per second, so that a zone that starts doesn't
	// write its whole table every second to all relays of the other zones.
	summaryRate = 2 << 10
	// watchRetry is the wait before a watch is opened again.
	watchRetry = time.Second
	// compactedRetry is the wait where the history was dropped. The store works then, and changes have been missed.
	compactedRetry = 50 * time.Millisecond
)

// Members is the membership table; *LockedNode implements it.
type Members interface {
	Self() membership.Record
	Members() []membership.Record
	ZoneHash(zone string) uint64
	Summary(now time.Time) membership.Message
	Step(now time.Time, m membership.Message)
	SyncWith(now time.Time, address string)
	AddPeers(addresses []string)
	RemoteMember() (string, bool)
}

// Relay connects a zone to the platform and to the other zones, if it obtains one of the zone's leases. It is safe for
// concurrent use, but Tick must not run twice at once.
type Relay struct {
	store   store.Store
	members Members
	configs *ConfigSync
	now     func() time.Time
	rng     *rand.Rand
	report  func(error)

	looked atomic.Bool // for the zone's leases

	mu           sync.Mutex
	lease        store.LeaseID
	leaseEnd     time.Time // by this daemon's clock; the lease may last longer
	nextLease    time.Time
	lastRank     int       // at the last competition
	lastOK       time.Time // last successful call
	nextExchange time.Time
	nextSummary  time.Time
	nextZones    time.Time
	nextConfig   time.Time
	place        int    // number of the lease that is held
	summaryHash  uint64 // of the last summary written
	pendingHash  uint64 // of the zone, since pendingSince
	pendingSince time.Time
	summaryRev   int64             // of this relay's key, 0 if unknown or absent
	ownZone      map[string]uint64 // zone hash by key, of the summaries of this zone's relays
	summaries    map[string]int64  // revision by key, of the summaries that were read
}

// NewRelay returns a Relay. report, which may be nil, receives the errors that the relay recovers from itself.
func NewRelay(store store.Store, members Members, configs *ConfigSync, now func() time.Time, rng *rand.Rand,
	report func(error)) *Relay {
	if report == nil {
		report = func(error) {}
	}
	return &Relay{
		store: store, members: members, configs: configs, now: now, rng: rng, report: report,
		lastOK: now(), lastRank: relayCandidates, ownZone: make(map[string]uint64), summaries: make(map[string]int64),
		nextLease: now().Add(time.Duration(rng.Int64N(int64(startSpread)))), nextConfig: now().Add(time.Duration(rng.Int64N(int64(startSpread)))),
	}
}

// HoldsLease reports whether this daemon holds a lease.
func (r *Relay) HoldsLease() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease != 0 && r.now().Before(r.leaseEnd)
}

// PlatformDown reports whether calls have failed for a while. Only daemons that make calls can tell.
func (r *Relay) PlatformDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now().Sub(r.lastOK) > outageAfter
}

// Tick does what is due: competing for a lease or renewing it, writing the summary, exchanging tables. Callers call it
// about every 250 ms; it makes at most a few calls with the store's timeout.
func (r *Relay) Tick(ctx context.Context) {
	now := r.now()
	if !now.Before(r.nextLease) {
		r.stepLease(ctx, now)
	}
	if r.HoldsLease() && !now.Before(r.nextZones) {
		r.nextZones = now.Add(zonesInterval)
		r.readZones(ctx, now)
	}
	if r.HoldsLease() && !now.Before(r.nextSummary) {
		r.nextSummary = now.Add(summaryInterval)
		r.summarize(ctx, now)
	}
	if !r.HoldsLease() && !now.Before(r.nextConfig) {
		r.nextConfig = now.Add(configReadInterval)
		r.readConfig(ctx, now)
	}
	r.exchange(now)
}

// readConfig reads the configuration while none is known.
func (r *Relay) readConfig(ctx context.Context, now time.Time) {
	if r.configs.HasConfig() {
		return
	}
	kvs, err := r.store.ListStale(ctx, r.configs.Key())
	r.note(now, "read the configuration", err)
	if err == nil {
		r.takeConfig(kvs)
	}
}

// takeConfig takes the configuration out of items of the store.
func (r *Relay) takeConfig(kvs []store.KV) {
	for _, kv := range kvs {
		if kv.Key != r.configs.Key() {
			continue
		}
		if err := r.configs.ApplyFromStore(kv); err != nil {
			r.report(fmt.Errorf("%s: %w", kv.Key, err))
		}
	}
}

func (r *Relay) stepLease(ctx context.Context, now time.Time) {
	if r.lease != 0 {
		r.nextLease = now.Add(renewInterval)
		r.renew(ctx, now)
		return
	}
	r.nextLease = now.Add(competeInterval/2 + r.spread(competeInterval))
	defer r.looked.Store(true)
	r.lastRank = r.rank()
	if r.lastRank < relayCandidates {
		r.compete(ctx, now)
	}
}

// rank is the number of alive members of the zone that come before this one in the order of competition.
func (r *Relay) rank() int {
	self := r.members.Self()
	rank := 0
	for _, m := range r.members.Members() {
		if m.Zone == self.Zone && m.Alive() && membership.RingLess(m.Address, self.Address) {
			rank++
		}
	}
	return rank
}

// note records the success of a call, or reports its error.
func (r *Relay) note(now time.Time, what string, err error) {
	switch {
	case err == nil, errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrLeaseLost):
		r.mu.Lock()
		r.lastOK = now
		r.mu.Unlock()
	default:
		r.report(fmt.Errorf("%s: %w", what, err))
	}
}

func (r *Relay) setLease(id store.LeaseID, end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease, r.leaseEnd = id, end
}

func (r *Relay) renew(ctx context.Context, now time.Time) {
	err := r.store.KeepAlive(ctx, r.lease)
	r.note(now, "renew the relay lease", err)
	switch {
	case err == nil:
		r.setLease(r.lease, now.Add(leaseTTL))
	case errors.Is(err, store.ErrLeaseLost):
		r.setLease(0, time.Time{})
		r.summaryRev, r.summaryHash = 0, 0
	}
}

// compete takes a free lease of the zone, if there is one.
func (r *Relay) compete(ctx context.Context, now time.Time) {
	prefix := relaysPrefix + r.members.Self().Zone + "/"
	kvs, err := r.store.ListStale(ctx, prefix)
	r.note(now, "list the relay leases", err)
	if err != nil {
		return
	}
	r.join(now, kvs)
	if _, _, free := r.freeLease(kvs); !free {
		return
	}
	kvs, _, err = r.store.List(ctx, prefix) // the first list may be stale
	r.note(now, "list the relay leases", err)
	if err != nil {
		return
	}
	r.join(now, kvs)
	if place, revision, free := r.freeLease(kvs); free {
		r.take(ctx, now, place, revision)
	}
}

// freeLease returns the number of a lease of the zone that nobody holds, or one that an earlier daemon at this address has
// left, and the revision of its key.
func (r *Relay) freeLease(kvs []store.KV) (place int, revision int64, free bool) {
	self := r.members.Self()
	held := make(map[string]store.KV, len(kvs))
	for _, kv := range kvs {
		held[kv.Key] = kv
	}
	for i := range relaysPerZone {
		if kv := held[leaseKey(self.Zone, i)]; string(kv.Value) == self.Address {
			return i, kv.Revision, true
		}
	}
	for i := range relaysPerZone {
		if held[leaseKey(self.Zone, i)].Revision == 0 {
			return i, 0, true
		}
	}
	return 0, 0, false
}

// leaseKey returns the key of one of the zone's leases.
func leaseKey(zone string, place int) string {
	return fmt.Sprintf("%s%s/%d", relaysPrefix, zone, place)
}

// join tells the membership the addresses of the zone's relays, through which a daemon that has just started finds the
// others.
func (r *Relay) join(now time.Time, leases []store.KV) {
	addresses := make([]string, 0, len(leases))
	for _, kv := range leases {
		addresses = append(addresses, string(kv.Value))
	}
	r.members.AddPeers(addresses)
	if !r.alone() {
		return
	}
	for _, a := range addresses {
		r.members.SyncWith(now, a)
	}
}

// alone reports whether no other live member of the zone is known.
func (r *Relay) alone() bool {
	self := r.members.Self()
	for _, m := range r.members.Members() {
		if m.Zone == self.Zone && m.Address != self.Address && m.Alive() {
			return false
		}
	}
	return true
}

func (r *Relay) take(ctx context.Context, now time.Time, place int, revision int64) {
	self := r.members.Self()
	id, err := r.store.Grant(ctx, leaseTTL)
	r.note(now, "grant a relay lease", err)
	if err != nil {
		return
	}
	_, err = r.store.CompareAndSwap(ctx, leaseKey(self.Zone, place), revision, []byte(self.Address), id)
	r.note(now, "take a relay lease", err)
	if err == nil {
		r.place = place
		r.setLease(id, now.Add(leaseTTL))
		r.nextLease = now.Add(renewInterval)
		return
	}
	// Another candidate was faster. The next look finds the leases that are left, and the winner's address.
	r.nextLease = now.Add(raceInterval/2 + r.spread(raceInterval))
}

// exchange compares tables directly with a member of another zone: seldom while the platform works, often when it is
// down. In an outage the first candidates act without a lease.
func (r *Relay) exchange(now time.Time) {
	if now.Before(r.nextExchange) {
		return
	}
	down := r.PlatformDown()
	if !r.HoldsLease() && (!down || r.lastRank >= relaysPerZone) {
		return
	}
	interval := exchangeInterval
	if down {
		interval = outageExchangeInterval
	}
	r.nextExchange = now.Add(interval/2 + r.spread(interval))
	if to, ok := r.members.RemoteMember(); ok {
		r.members.SyncWith(now, to)
	}
}

// WatchConfig reads the configuration and follows it until the context or the watch ends.
func (r *Relay) WatchConfig(ctx context.Context) error {
	key := r.configs.Key()
	kvs, rev, err := r.store.List(ctx, key)
	r.note(r.now(), "read the configuration", err)
	if err != nil {
		return err
	}
	r.takeConfig(kvs)
	return r.store.Watch(ctx, key, rev+1, func(kvs []store.KV) error {
		r.takeConfig(kvs)
		return nil
	})
}

// Run steps the relay every interval and watches while it holds a lease, until the context ends.
func (r *Relay) Run(ctx context.Context, interval time.Duration) {
	var watches sync.WaitGroup
	defer watches.Wait()
	watches.Go(func() { r.keepWatching(ctx, r.followsConfig, r.WatchConfig) })
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.Tick(ctx)
		}
	}
}

// followsConfig reports whether this daemon follows the configuration in the store. Until it has looked for the zone's
// relays it knows no member that comes before it.
func (r *Relay) followsConfig() bool {
	return r.HoldsLease() || r.looked.Load() && r.rank() < configWatchers
}

// keepWatching watches while the condition holds when a watch begins.
func (r *Relay) keepWatching(ctx context.Context, condition func() bool, watch func(context.Context) error) {
	for ctx.Err() == nil {
		wait := watchRetry
		if condition() {
			err := watch(ctx)
			if ctx.Err() == nil {
				r.report(fmt.Errorf("watch: %w", err))
			}
			if errors.Is(err, store.ErrCompacted) {
				wait = compactedRetry
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// spread returns a random part of d.
func (r *Relay) spread(d time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(d)))
}
