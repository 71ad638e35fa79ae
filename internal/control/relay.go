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
	// acquireInterval spaces a candidate's looks at the leases: 11 zones with 3 candidates each make 7 reads/s.
	acquireInterval = 5 * time.Second
	// acquireRetryInterval spaces the looks of candidates that compete at the same time, as after a common start.
	acquireRetryInterval = 500 * time.Millisecond
	// configWatchers is the number of members of a zone that follow the configuration in the store beside the relays: the
	// store may turn all relays of a zone away, or end their leases, while it serves others. The rest take it from their
	// peers. If all watched, the calls would grow with the fleet.
	configWatchers = 4
	// configReadInterval spaces the reads of the configuration by a daemon that has none yet and is no relay: its peers may
	// have none for it either, as when all daemons were killed.
	configReadInterval = 2 * time.Second
	// summaryReadInterval spaces the reads of the other zones' summaries. A read of content that may be stale costs a tenth of a
	// watch, which would also end with each of the many changes while a deployment starts.
	summaryReadInterval = time.Second
	// startJitter is the time over which the daemons of a zone that start together look for its leases.
	startJitter = 250 * time.Millisecond
	// outageTimeout is the time without a successful call after which the platform counts as down.
	outageTimeout = 10 * time.Second
	// exchangeInterval spaces direct exchanges while the platform works. They correct records that a summary can't:
	// it has no way back to its writer.
	exchangeInterval = 30 * time.Second
	// outageExchangeInterval spaces direct exchanges during an outage.
	outageExchangeInterval = 5 * time.Second
	// summaryWriteInterval is the least time between two summaries.
	summaryWriteInterval = time.Second
	// summaryStagger delays the summary of each further relay of a zone, which writes only what the ones before it have
	// not written. It covers the write and the reads of two intervals.
	summaryStagger = 2500 * time.Millisecond
	// summaryBytesPerSecond spaces the summaries of large zones, in bytes per second, so that a zone that starts doesn't
	// write its whole table every second to all relays of the other zones.
	summaryBytesPerSecond = 2 << 10
	// watchRetryInterval is the wait before a watch is opened again.
	watchRetryInterval = time.Second
	// compactedRetryInterval is the wait where the history was dropped. The store works then, and changes have been missed.
	compactedRetryInterval = 50 * time.Millisecond
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

	leaseChecked atomic.Bool // for the zone's leases

	mu                 sync.Mutex
	lease              store.LeaseID
	leaseEnd           time.Time // by this daemon's clock; the lease may last longer
	nextLeaseCheck     time.Time
	lastRank           int       // at the last competition
	lastSuccess        time.Time // last successful call
	nextExchange       time.Time
	nextSummaryWrite   time.Time
	nextSummaryRead    time.Time
	nextConfigRead     time.Time
	leaseIndex         int    // number of the lease that is held
	writtenHash        uint64 // of the last summary written
	pendingHash        uint64 // of the zone, since pendingSince
	pendingSince       time.Time
	ownSummaryRevision int64             // of this relay's key, 0 if unknown or absent
	ownZoneHashes      map[string]uint64 // zone hash by key, of the summaries of this zone's relays
	summaryRevisions   map[string]int64  // revision by key, of the summaries that were read
}

// NewRelay returns a Relay. report, which may be nil, receives the errors that the relay recovers from itself.
func NewRelay(store store.Store, members Members, configs *ConfigSync, now func() time.Time, rng *rand.Rand,
	report func(error)) *Relay {
	if report == nil {
		report = func(error) {}
	}
	return &Relay{
		store: store, members: members, configs: configs, now: now, rng: rng, report: report,
		lastSuccess: now(), lastRank: relayCandidates,
		ownZoneHashes: make(map[string]uint64), summaryRevisions: make(map[string]int64),
		nextLeaseCheck: now().Add(time.Duration(rng.Int64N(int64(startJitter)))),
		nextConfigRead: now().Add(time.Duration(rng.Int64N(int64(startJitter)))),
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
	return r.now().Sub(r.lastSuccess) > outageTimeout
}

// Tick does what is due: competing for a lease or renewing it, writing the summary, exchanging tables. Callers call it
// about every 250 ms; it makes at most a few calls with the store's timeout.
func (r *Relay) Tick(ctx context.Context) {
	now := r.now()
	if !now.Before(r.nextLeaseCheck) {
		r.tickLease(ctx, now)
	}
	if r.HoldsLease() && !now.Before(r.nextSummaryRead) {
		r.nextSummaryRead = now.Add(summaryReadInterval)
		r.readSummaries(ctx, now)
	}
	if r.HoldsLease() && !now.Before(r.nextSummaryWrite) {
		r.nextSummaryWrite = now.Add(summaryWriteInterval)
		r.writeSummary(ctx, now)
	}
	if !r.HoldsLease() && !now.Before(r.nextConfigRead) {
		r.nextConfigRead = now.Add(configReadInterval)
		r.readConfig(ctx, now)
	}
	r.exchangeTables(now)
}

// readConfig reads the configuration while none is known.
func (r *Relay) readConfig(ctx context.Context, now time.Time) {
	if r.configs.HasConfig() {
		return
	}
	kvs, err := r.store.ListStale(ctx, r.configs.Key())
	r.recordCall(now, "read the configuration", err)
	if err == nil {
		r.applyConfig(kvs)
	}
}

// applyConfig takes the configuration out of items of the store.
func (r *Relay) applyConfig(kvs []store.KV) {
	for _, kv := range kvs {
		if kv.Key != r.configs.Key() {
			continue
		}
		if err := r.configs.ApplyFromStore(kv); err != nil {
			r.report(fmt.Errorf("%s: %w", kv.Key, err))
		}
	}
}

func (r *Relay) tickLease(ctx context.Context, now time.Time) {
	if r.lease != 0 {
		r.nextLeaseCheck = now.Add(renewInterval)
		r.renewLease(ctx, now)
		return
	}
	r.nextLeaseCheck = now.Add(acquireInterval/2 + r.jitter(acquireInterval))
	defer r.leaseChecked.Store(true)
	r.lastRank = r.rank()
	if r.lastRank < relayCandidates {
		r.tryAcquireLease(ctx, now)
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

// recordCall records the success of a call, or reports its error.
func (r *Relay) recordCall(now time.Time, operation string, err error) {
	switch {
	case err == nil, errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrLeaseLost):
		r.mu.Lock()
		r.lastSuccess = now
		r.mu.Unlock()
	default:
		r.report(fmt.Errorf("%s: %w", operation, err))
	}
}

func (r *Relay) setLease(id store.LeaseID, end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease, r.leaseEnd = id, end
}

func (r *Relay) renewLease(ctx context.Context, now time.Time) {
	err := r.store.KeepAlive(ctx, r.lease)
	r.recordCall(now, "renew the relay lease", err)
	switch {
	case err == nil:
		r.setLease(r.lease, now.Add(leaseTTL))
	case errors.Is(err, store.ErrLeaseLost):
		r.setLease(0, time.Time{})
		r.ownSummaryRevision, r.writtenHash = 0, 0
	}
}

// tryAcquireLease takes a free lease of the zone, if there is one.
func (r *Relay) tryAcquireLease(ctx context.Context, now time.Time) {
	prefix := relaysPrefix + r.members.Self().Zone + "/"
	kvs, err := r.store.ListStale(ctx, prefix)
	r.recordCall(now, "list the relay leases", err)
	if err != nil {
		return
	}
	r.addRelayPeers(now, kvs)
	if _, _, free := r.freeLease(kvs); !free {
		return
	}
	kvs, _, err = r.store.List(ctx, prefix) // the first list may be stale
	r.recordCall(now, "list the relay leases", err)
	if err != nil {
		return
	}
	r.addRelayPeers(now, kvs)
	if leaseIndex, revision, free := r.freeLease(kvs); free {
		r.acquireLease(ctx, now, leaseIndex, revision)
	}
}

// freeLease returns the number of a lease of the zone that nobody holds, or one that an earlier daemon at this address has
// left, and the revision of its key.
func (r *Relay) freeLease(kvs []store.KV) (leaseIndex int, revision int64, free bool) {
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
func leaseKey(zone string, leaseIndex int) string {
	return fmt.Sprintf("%s%s/%d", relaysPrefix, zone, leaseIndex)
}

// addRelayPeers tells the membership the addresses of the zone's relays, through which a daemon that has just started finds the
// others.
func (r *Relay) addRelayPeers(now time.Time, leases []store.KV) {
	addresses := make([]string, 0, len(leases))
	for _, kv := range leases {
		addresses = append(addresses, string(kv.Value))
	}
	r.members.AddPeers(addresses)
	if !r.aloneInZone() {
		return
	}
	for _, a := range addresses {
		r.members.SyncWith(now, a)
	}
}

// aloneInZone reports whether no other live member of the zone is known.
func (r *Relay) aloneInZone() bool {
	self := r.members.Self()
	for _, m := range r.members.Members() {
		if m.Zone == self.Zone && m.Address != self.Address && m.Alive() {
			return false
		}
	}
	return true
}

func (r *Relay) acquireLease(ctx context.Context, now time.Time, leaseIndex int, revision int64) {
	self := r.members.Self()
	id, err := r.store.Grant(ctx, leaseTTL)
	r.recordCall(now, "grant a relay lease", err)
	if err != nil {
		return
	}
	_, err = r.store.CompareAndSwap(ctx, leaseKey(self.Zone, leaseIndex), revision, []byte(self.Address), id)
	r.recordCall(now, "take a relay lease", err)
	if err == nil {
		r.leaseIndex = leaseIndex
		r.setLease(id, now.Add(leaseTTL))
		r.nextLeaseCheck = now.Add(renewInterval)
		return
	}
	// Another candidate was faster. The next look finds the leases that are left, and the winner's address.
	r.nextLeaseCheck = now.Add(acquireRetryInterval/2 + r.jitter(acquireRetryInterval))
}

// exchangeTables compares tables directly with a member of another zone: seldom while the platform works, often when it is
// down. In an outage the first candidates act without a lease.
func (r *Relay) exchangeTables(now time.Time) {
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
	r.nextExchange = now.Add(interval/2 + r.jitter(interval))
	if to, ok := r.members.RemoteMember(); ok {
		r.members.SyncWith(now, to)
	}
}

// WatchConfig reads the configuration and follows it until the context or the watch ends.
func (r *Relay) WatchConfig(ctx context.Context) error {
	key := r.configs.Key()
	kvs, rev, err := r.store.List(ctx, key)
	r.recordCall(r.now(), "read the configuration", err)
	if err != nil {
		return err
	}
	r.applyConfig(kvs)
	return r.store.Watch(ctx, key, rev+1, func(kvs []store.KV) error {
		r.applyConfig(kvs)
		return nil
	})
}

// Run steps the relay every interval and watches while it holds a lease, until the context ends.
func (r *Relay) Run(ctx context.Context, interval time.Duration) {
	var watches sync.WaitGroup
	defer watches.Wait()
	watches.Go(func() { r.watchWhile(ctx, r.watchesConfig, r.WatchConfig) })
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

// watchesConfig reports whether this daemon follows the configuration in the store. Until it has looked for the zone's
// relays it knows no member that comes before it.
func (r *Relay) watchesConfig() bool {
	return r.HoldsLease() || r.leaseChecked.Load() && r.rank() < configWatchers
}

// watchWhile watches while the condition holds when a watch begins.
func (r *Relay) watchWhile(ctx context.Context, condition func() bool, watch func(context.Context) error) {
	for ctx.Err() == nil {
		wait := watchRetryInterval
		if condition() {
			err := watch(ctx)
			if ctx.Err() == nil {
				r.report(fmt.Errorf("watch: %w", err))
			}
			if errors.Is(err, store.ErrCompacted) {
				wait = compactedRetryInterval
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// jitter returns a random part of d.
func (r *Relay) jitter(d time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(d)))
}
