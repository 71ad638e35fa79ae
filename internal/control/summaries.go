package control

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"guavapoint.example/guavapoint/internal/core/membership"
	"guavapoint.example/guavapoint/internal/store"
)

// readSummaries reads the summaries that have changed.
func (r *Relay) readSummaries(ctx context.Context, now time.Time) {
	kvs, err := r.store.ListStale(ctx, zonesPrefix)
	r.recordCall(now, "read the summaries of the zones", err)
	if err != nil {
		return
	}
	present := make(map[string]bool, len(kvs))
	for _, kv := range kvs {
		present[kv.Key] = true
		if kv.Revision <= r.summaryRevisions[kv.Key] {
			continue // read already, or older
		}
		r.summaryRevisions[kv.Key] = kv.Revision
		if err := r.applySummary(kv); err != nil {
			r.report(fmt.Errorf("%s: %w", kv.Key, err))
		}
	}
	r.removeMissingSummaries(present)
}

// removeMissingSummaries drops what was read of summaries that are gone.
func (r *Relay) removeMissingSummaries(present map[string]bool) {
	for key := range r.summaryRevisions {
		if !present[key] {
			delete(r.summaryRevisions, key)
			delete(r.ownZoneHashes, key)
		}
	}
}

// LastAnnouncedSlots returns the slots that an earlier daemon at this address has last announced for the same service, 0 if
// unknown. It makes one call to the store.
func (r *Relay) LastAnnouncedSlots(ctx context.Context) int {
	self := r.members.Self()
	kvs, err := r.store.ListStale(ctx, zonesPrefix+self.Zone+"/")
	r.recordCall(r.now(), "read the summaries of the own zone", err)
	slots := 0
	for _, kv := range kvs {
		m, err := membership.Decode(kv.Value)
		if err != nil {
			r.report(fmt.Errorf("%s: %w", kv.Key, err))
			continue
		}
		for _, rec := range m.Records {
			if rec.Address == self.Address && rec.Service == self.Service {
				slots = max(slots, rec.Slots)
			}
		}
	}
	return slots
}

func (r *Relay) ownSummaryKey() string {
	self := r.members.Self()
	return zonesPrefix + self.Zone + "/" + self.Address
}

// writeSummary writes the zone's summary if it changed and no other relay of the zone has written the same.
func (r *Relay) writeSummary(ctx context.Context, now time.Time) {
	hash := r.members.ZoneHash(r.members.Self().Zone)
	if hash != r.pendingHash {
		r.pendingHash, r.pendingSince = hash, now
	}
	if hash == r.writtenHash || r.writtenByOther(hash) || now.Sub(r.pendingSince) < time.Duration(r.leaseIndex)*summaryStagger {
		return
	}
	data, err := membership.Encode(r.members.Summary(now))
	if err != nil {
		r.report(fmt.Errorf("encode the zone's summary: %w", err))
		return
	}
	spacing := time.Duration(len(data)) * time.Second / summaryBytesPerSecond
	r.nextSummaryWrite = now.Add(max(summaryWriteInterval, spacing) + r.jitter(summaryWriteInterval/2))
	rev, err := r.store.CompareAndSwap(ctx, r.ownSummaryKey(), r.ownSummaryRevision, data, r.lease)
	r.recordCall(now, "write the zone's summary", err)
	switch {
	case err == nil:
		r.ownSummaryRevision, r.writtenHash = rev, hash
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrUnknown):
		r.readSummaryRevision(ctx, now)
	}
}

// readSummaryRevision looks up the revision of this relay's key, after which the summary is written again.
func (r *Relay) readSummaryRevision(ctx context.Context, now time.Time) {
	kv, err := r.store.Get(ctx, r.ownSummaryKey())
	if errors.Is(err, store.ErrNotFound) {
		kv, err = store.KV{}, nil
	}
	r.recordCall(now, "read the zone's summary", err)
	if err == nil {
		r.ownSummaryRevision = kv.Revision
	}
}

func (r *Relay) writtenByOther(hash uint64) bool {
	own := r.ownSummaryKey()
	for key, h := range r.ownZoneHashes {
		if key != own && h == hash {
			return true
		}
	}
	return false
}

// applySummary merges another zone's summary, and remembers what this zone's other relays have written.
func (r *Relay) applySummary(kv store.KV) error {
	self := r.members.Self()
	own := strings.HasPrefix(kv.Key, zonesPrefix+self.Zone+"/")
	m, err := membership.Decode(kv.Value)
	if err != nil {
		return err
	}
	if own {
		r.ownZoneHashes[kv.Key] = membership.HashRecords(m.Records)
		return nil
	}
	r.members.Step(r.now(), m)
	return nil
}
