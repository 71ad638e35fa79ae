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
	// relaysPerZone is the number of leases of a zone. One relay suffices; the others take over at once if it fails.
	relaysPerZone = 3
	// relayCandidates is the number of members of a zone that compete for the leases. If all members did, the number of
	// calls would grow with the size of the fleet.
	relayCandidates = 6
	// leaseTTL is 3 renewal intervals, so that a lease survives two failed renewals.
	leaseTTL      = 9 * time.Second
	renewInterval = 3 * time.Second
	// acquireInterval is the mean interval at which a candidate without a lease lists the leases: 11 zones with 3 such
	// candidates each make 7 reads/s.
	acquireInterval = 5 * time.Second
	// acquireRetryInterval is the mean interval after which a candidate lists the leases again if it failed to acquire
	// one, usually because several candidates compete at the same time, as after a simultaneous start.
	acquireRetryInterval = 500 * time.Millisecond
	// configWatchers is the number of members of a zone that watch the configuration in the store. The others get it from
	// their peers, also from those of other zones. If all members watched, the number of calls would grow with the size
	// of the fleet.
	configWatchers = 2
	// configReaders is the number of members of a zone, the watchers included, that learn of a new configuration from the
	// store. Those that don't watch read it at configReadInterval: the store may reject the calls of all watchers of a
	// zone while it serves other members. Such a read may be stale and costs a tenth of a watch.
	configReaders = 6
	// configReadInterval is also the interval at which a daemon that has no configuration yet reads it: its peers may
	// have none either, as after all daemons were killed.
	configReadInterval = 2 * time.Second
	// configReadBytesPerSecond bounds the rate at which a daemon reads the configuration where it doesn't watch it. A daemon
	// has 6 KB/s for all control traffic, and the links between regions are narrow: a large configuration is read less
	// often there, and arrives from peers.
	configReadBytesPerSecond = 4 << 10
	// summaryReadInterval is the interval at which relays read the zone summaries. Reads are used because a read of
	// content that may be stale costs a tenth of a watch, and a watch would also end with each of the many changes while a
	// deployment starts.
	summaryReadInterval = time.Second
	// startJitter is the time over which the first calls of daemons that start together are spread.
	startJitter = 250 * time.Millisecond
	// outageTimeout is the time without a successful call after which the platform is considered down.
	outageTimeout = 10 * time.Second
	// exchangeInterval is the mean interval of anti-entropy exchanges with members of other zones while the platform is
	// available. They correct records that a summary can't, since the reader of a summary can't reply to its writer.
	exchangeInterval = 30 * time.Second
	// outageExchangeInterval is the mean interval of these exchanges while the platform is down.
	outageExchangeInterval = 5 * time.Second
	// summaryWriteInterval is the minimum time between two writes of a summary.
	summaryWriteInterval = time.Second
	// summaryStagger times the lease index is the time for which a relay delays a summary. The relay then writes it only
	// if none of the relays with a lower index has. It covers the write and the reads of two intervals.
	summaryStagger = 2500 * time.Millisecond
	// summaryBytesPerSecond limits the rate at which a relay writes summaries of large zones, so that the whole table of a
	// zone that starts isn't sent to all relays of the other zones every second.
	summaryBytesPerSecond = 2 << 10
	// watchRetryInterval is the time before a watch that ended is opened again, or its condition is checked again.
	watchRetryInterval = time.Second
	// compactedRetryInterval replaces watchRetryInterval if the store no longer keeps the revisions to watch from. It is
	// short because the store is available then and the daemon has missed changes.
	compactedRetryInterval = 50 * time.Millisecond
)

// Members is the part of the membership node that a relay uses. *LockedNode implements it. The methods are those
// of membership.Node.
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

// StoreRestoredError reports that the store was restored from an older copy.
type StoreRestoredError struct {
	From, To uint64 // era before and after
}

// Error implements error.
func (e *StoreRestoredError) Error() string {
	return fmt.Sprintf("the store was restored from an older copy: era %d, before %d", e.To, e.From)
}

// Relay competes for one of the leases of the daemon's zone. While it holds one, it connects the zone to the platform
// and to the other zones: it writes and reads zone summaries and exchanges tables with other zones. The members with the
// lowest ring positions also watch or read the configuration. It is safe for concurrent use, except that calls of Tick must not overlap.
type Relay struct {
	store   store.Store
	members Members
	configs *ConfigSync
	now     func() time.Time
	rng     *rand.Rand
	report  func(error)

	leaseChecked atomic.Bool // set once Tick has looked for a lease for the first time

	// mu guards lease, leaseEnd, lastSuccess and cancelWatch. Only Tick changes lease, so it reads that field without mu. The other
	// fields below are used by Tick only.
	mu                 sync.Mutex
	lease              store.LeaseID
	leaseEnd           time.Time // by this daemon's clock; the store may keep the lease longer
	cancelWatch        context.CancelCauseFunc
	nextLeaseCheck     time.Time
	lastRingPosition   int       // result of ringPosition when Tick last looked for a lease
	lastSuccess        time.Time // of a call to the store
	nextExchange       time.Time
	nextSummaryWrite   time.Time
	nextSummaryRead    time.Time
	nextConfigRead     time.Time
	era                uint64 // of the store when Tick last ran, 0 if it wasn't known
	leaseIndex         int    // of the lease that is held, below relaysPerZone
	writtenHash        uint64 // zone hash of the last summary that this relay wrote
	pendingHash        uint64 // current zone hash, unchanged since pendingSince
	pendingSince       time.Time
	ownSummaryRevision int64             // of the key of this relay's summary, 0 if unknown or absent
	ownZoneHashes      map[string]uint64 // zone hash by key, of the summaries that relays of this zone wrote
	summaryRevisions   map[string]int64  // revision by key, of the summaries read so far
}

// NewRelay returns a Relay without a lease. report, which may be nil, receives the errors from which the relay recovers
// by itself.
func NewRelay(store store.Store, members Members, configs *ConfigSync, now func() time.Time, rng *rand.Rand,
	report func(error)) *Relay {
	if report == nil {
		report = func(error) {}
	}
	return &Relay{
		store: store, members: members, configs: configs, now: now, rng: rng, report: report,
		lastSuccess: now(), lastRingPosition: relayCandidates,
		ownZoneHashes: make(map[string]uint64), summaryRevisions: make(map[string]int64),
		nextLeaseCheck: now().Add(time.Duration(rng.Int64N(int64(startJitter)))),
		nextConfigRead: now().Add(time.Duration(rng.Int64N(int64(startJitter)))),
	}
}

// HoldsLease reports whether this daemon holds one of the zone's leases, by its own clock.
func (r *Relay) HoldsLease() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease != 0 && r.now().Before(r.leaseEnd)
}

// PlatformDown reports whether no call to the store has succeeded for outageTimeout. The result is meaningful only on
// daemons that make calls.
func (r *Relay) PlatformDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now().Sub(r.lastSuccess) > outageTimeout
}

// Tick does the work that is due: it acquires or renews a lease, reads and writes summaries, reads the configuration
// while there is none, and exchanges tables. Callers tick about every 250 ms. A call makes at most a few calls to the
// store, each with the store's timeout.
func (r *Relay) Tick(ctx context.Context) {
	now := r.now()
	r.checkEra(now)
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
	if !now.Before(r.nextConfigRead) {
		r.nextConfigRead = now.Add(configReadInterval)
		r.readConfig(ctx, now)
	}
	r.exchangeTables(now)
}

// checkEra reports a restore of the store from an older copy and makes the relay forget what it knows of the store from
// before. It then takes a lease, writes and reads summaries and reads the configuration as if it had just started.
func (r *Relay) checkEra(now time.Time) {
	era := r.store.Era()
	if r.era != 0 && era != r.era {
		r.report(&StoreRestoredError{From: r.era, To: era})
		r.forgetStore(now)
	}
	r.era = era
}

// forgetStore removes all that was read from the store or written to it. A lease may be gone or held by another daemon
// under the same ID, and revisions may be given out again.
func (r *Relay) forgetStore(now time.Time) {
	r.setLease(0, time.Time{})
	r.ownSummaryRevision, r.writtenHash = 0, 0
	clear(r.ownZoneHashes)
	clear(r.summaryRevisions)
	r.nextLeaseCheck = now.Add(r.jitter(startJitter))
	r.nextSummaryRead, r.nextSummaryWrite, r.nextConfigRead = now, now, now
	r.endWatch()
}

// readConfig reads the configuration from the store if none is in effect, or if this daemon is one of the readers that
// don't watch it.
func (r *Relay) readConfig(ctx context.Context, now time.Time) {
	if r.configs.HasConfig() {
		if position := r.ringPosition(); position < configWatchers || position >= configReaders {
			return
		}
	}
	kvs, err := r.store.ListStale(ctx, r.configs.Key())
	r.recordCall(now, "read the configuration", err)
	if err == nil {
		r.nextConfigRead = now.Add(r.configReadInterval(kvs))
		r.applyConfig(kvs, true)
	}
}

// configReadInterval returns the time until the configuration is read again after a read that returned these items.
func (r *Relay) configReadInterval(kvs []store.KV) time.Duration {
	size := 0
	for _, kv := range kvs {
		size += len(kv.Value)
	}
	return max(configReadInterval, time.Duration(size)*time.Second/configReadBytesPerSecond)
}

// applyConfig applies the configuration if it is among the given items of the store. stale means that they come from a
// read that may be stale, so that an older version than the one in effect is no error.
func (r *Relay) applyConfig(kvs []store.KV, stale bool) {
	for _, kv := range kvs {
		if kv.Key != r.configs.Key() {
			continue
		}
		err := r.configs.ApplyFromStore(kv)
		if err != nil && !(stale && errors.Is(err, ErrStoreBehind)) {
			r.report(fmt.Errorf("apply configuration from store key %s: %w", kv.Key, err))
		}
	}
}

// ringPosition returns the number of alive members of the zone that precede this one in the order of the ring. The
// members with the lowest positions are the candidates for the leases.
func (r *Relay) ringPosition() int {
	self := r.members.Self()
	position := 0
	for _, m := range r.members.Members() {
		if m.Zone == self.Zone && m.Alive() && membership.RingLess(m.Address, self.Address) {
			position++
		}
	}
	return position
}

// recordCall records the success of a call to the store, or reports its error. A conflict or an expired lease counts as
// a success, because the store responded.
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

// exchangeTables starts an anti-entropy exchange with a member of another zone, at exchangeInterval while the platform
// is available and at the shorter outageExchangeInterval while it is down. During an outage the relaysPerZone
// candidates with the lowest ring positions do so without a lease.
func (r *Relay) exchangeTables(now time.Time) {
	if now.Before(r.nextExchange) {
		return
	}
	down := r.PlatformDown()
	if !r.HoldsLease() && (!down || r.lastRingPosition >= relaysPerZone) {
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

// Run calls Tick every interval and watches the configuration while watchesConfig holds, until the context ends.
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

// ReadsConfig reports whether this daemon learns of a new configuration from the store: it watches or reads it.
func (r *Relay) ReadsConfig() bool {
	return r.leaseChecked.Load() && r.ringPosition() < configReaders
}

// jitter returns a random duration in [0, d).
func (r *Relay) jitter(d time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(d)))
}
