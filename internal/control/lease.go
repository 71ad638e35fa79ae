package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"guavapoint.example/guavapoint/internal/store"
)

// tickLease renews the lease that is held, or tries to acquire one if this daemon is a candidate.
func (r *Relay) tickLease(ctx context.Context, now time.Time) {
	if r.lease != 0 {
		r.nextLeaseCheck = now.Add(renewInterval)
		r.renewLease(ctx, now)
		return
	}
	r.nextLeaseCheck = now.Add(acquireInterval/2 + r.jitter(acquireInterval))
	defer r.leaseChecked.Store(true)
	r.lastRingPosition = r.ringPosition()
	if r.lastRingPosition < relayCandidates {
		r.tryAcquireLease(ctx, now)
	}
}

func (r *Relay) setLease(id store.LeaseID, end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease, r.leaseEnd = id, end
}

// renewLease renews the lease that is held, and gives it up if the store reports that it has expired.
func (r *Relay) renewLease(ctx context.Context, now time.Time) {
	err := r.store.KeepAlive(ctx, r.lease)
	r.recordCall(now, "renew relay lease", err)
	switch {
	case err == nil:
		r.setLease(r.lease, now.Add(leaseTTL))
	case errors.Is(err, store.ErrLeaseLost):
		r.setLease(0, time.Time{})
		r.ownSummaryRevision, r.writtenHash = 0, 0
	}
}

// tryAcquireLease acquires a free lease of the zone, if there is one, and adds the zone's relays as peers.
func (r *Relay) tryAcquireLease(ctx context.Context, now time.Time) {
	prefix := relaysPrefix + r.members.Self().Zone + "/"
	kvs, err := r.store.ListStale(ctx, prefix)
	r.recordCall(now, "list relay leases under "+prefix, err)
	if err != nil {
		return
	}
	r.addRelayPeers(now, kvs)
	if _, _, free := r.freeLease(kvs); !free {
		return
	}
	kvs, _, err = r.store.List(ctx, prefix) // the first list may be stale
	r.recordCall(now, "list relay leases under "+prefix, err)
	if err != nil {
		return
	}
	r.addRelayPeers(now, kvs)
	if leaseIndex, revision, free := r.freeLease(kvs); free {
		r.acquireLease(ctx, now, leaseIndex, revision)
	}
}

// freeLease returns the index of a lease that this daemon may take, and the revision of its key, 0 if the key doesn't
// exist. It prefers a lease that an earlier daemon at this address still holds to one that nobody holds. A key that holds no
// address was written by something else, and its lease is free.
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
		if kv := held[leaseKey(self.Zone, i)]; kv.Revision == 0 || !ValidAddress(string(kv.Value)) {
			return i, kv.Revision, true
		}
	}
	return 0, 0, false
}

// leaseKey returns the store key of one of the leases of a zone.
func leaseKey(zone string, leaseIndex int) string {
	return fmt.Sprintf("%s%s/%d", relaysPrefix, zone, leaseIndex)
}

// addRelayPeers adds the addresses of the zone's relays to the bootstrap peers, so that a daemon that has just started
// finds the other members. While no other member of the zone is known, it also starts an exchange with each relay.
func (r *Relay) addRelayPeers(now time.Time, leases []store.KV) {
	addresses := make([]string, 0, len(leases))
	for _, kv := range leases {
		if address := string(kv.Value); ValidAddress(address) {
			addresses = append(addresses, address)
		} else {
			r.report(fmt.Errorf("relay lease %s left out: it holds no ip:port", kv.Key))
		}
	}
	r.members.AddPeers(addresses)
	if !r.aloneInZone() {
		return
	}
	for _, a := range addresses {
		r.members.SyncWith(now, a)
	}
}

// aloneInZone reports whether no other alive member of the zone is known.
func (r *Relay) aloneInZone() bool {
	self := r.members.Self()
	for _, m := range r.members.Members() {
		if m.Zone == self.Zone && m.Address != self.Address && m.Alive() {
			return false
		}
	}
	return true
}

// acquireLease creates a lease and writes this daemon's address under the key of the zone's lease with an index. The
// write succeeds only if the key still has the given revision.
func (r *Relay) acquireLease(ctx context.Context, now time.Time, leaseIndex int, revision int64) {
	self := r.members.Self()
	id, err := r.store.Grant(ctx, leaseTTL)
	r.recordCall(now, "grant relay lease", err)
	if err != nil {
		return
	}
	_, err = r.store.CompareAndSwap(ctx, leaseKey(self.Zone, leaseIndex), revision, []byte(self.Address), id)
	r.recordCall(now, "write relay lease key "+leaseKey(self.Zone, leaseIndex), err)
	if err == nil {
		r.leaseIndex = leaseIndex
		r.setLease(id, now.Add(leaseTTL))
		r.nextLeaseCheck = now.Add(renewInterval)
		return
	}
	// Usually another candidate has acquired the lease. The next list shows the remaining leases and its address.
	r.nextLeaseCheck = now.Add(acquireRetryInterval/2 + r.jitter(acquireRetryInterval))
}
