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

// readSummaries reads the summaries of all zones and applies those that have changed.
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
			continue // applied already, or an older revision, since the list may be stale
		}
		r.summaryRevisions[kv.Key] = kv.Revision
		if err := r.applySummary(kv); err != nil {
			r.report(fmt.Errorf("decode zone summary %s: %w", kv.Key, err))
		}
	}
	r.removeMissingSummaries(present)
}

// removeMissingSummaries removes the recorded revisions and hashes of summaries that the store no longer has.
func (r *Relay) removeMissingSummaries(present map[string]bool) {
	for key := range r.summaryRevisions {
		if !present[key] {
			delete(r.summaryRevisions, key)
			delete(r.ownZoneHashes, key)
		}
	}
}

// ZoneRecords returns the records of this daemon's zone that are in the summaries, which may be seconds old. It makes one
// call to the store; without a response there are no records.
func (r *Relay) ZoneRecords(ctx context.Context) []membership.Record {
	prefix := zonesPrefix + r.members.Self().Zone + "/"
	kvs, err := r.store.ListStale(ctx, prefix)
	r.recordCall(r.now(), "read the summaries under "+prefix, err)
	var records []membership.Record
	for _, kv := range kvs {
		m, err := membership.Decode(kv.Value)
		if err != nil {
			r.report(fmt.Errorf("decode zone summary %s: %w", kv.Key, err))
			continue
		}
		if err := DropUnreachable(&m); err != nil {
			r.report(fmt.Errorf("zone summary %s: %w", kv.Key, err))
		}
		records = append(records, m.Records...)
	}
	return records
}

// ownSummaryKey returns the store key of the summary that this relay writes.
func (r *Relay) ownSummaryKey() string {
	self := r.members.Self()
	return zonesPrefix + self.Zone + "/" + self.Address
}

// writeSummary writes the zone's summary if it has changed and no other relay of the zone has written the same one. The
// relay first waits for its stagger, so that relays with a lower lease index write before it.
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
		r.report(fmt.Errorf("encode zone summary %s: %w", r.ownSummaryKey(), err))
		return
	}
	spacing := time.Duration(len(data)) * time.Second / summaryBytesPerSecond
	r.nextSummaryWrite = now.Add(max(summaryWriteInterval, spacing) + r.jitter(summaryWriteInterval/2))
	rev, err := r.store.CompareAndSwap(ctx, r.ownSummaryKey(), r.ownSummaryRevision, data, r.lease)
	r.recordCall(now, "write zone summary "+r.ownSummaryKey(), err)
	switch {
	case err == nil:
		r.ownSummaryRevision, r.writtenHash = rev, hash
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrUnknown):
		r.readSummaryRevision(ctx, now)
	}
}

// readSummaryRevision reads the revision of this relay's summary key, so that the next write of the summary can
// succeed.
func (r *Relay) readSummaryRevision(ctx context.Context, now time.Time) {
	kv, err := r.store.Get(ctx, r.ownSummaryKey())
	if errors.Is(err, store.ErrNotFound) {
		kv, err = store.KV{}, nil
	}
	r.recordCall(now, "read zone summary "+r.ownSummaryKey(), err)
	if err == nil {
		r.ownSummaryRevision = kv.Revision
	}
}

// writtenByOther reports whether another relay of the zone has written a summary with this zone hash.
func (r *Relay) writtenByOther(hash uint64) bool {
	own := r.ownSummaryKey()
	for key, h := range r.ownZoneHashes {
		if key != own && h == hash {
			return true
		}
	}
	return false
}

// applySummary merges the records of another zone's summary into the membership table. Of a summary of this zone it
// only records the hash. It returns an error if the summary can't be decoded.
func (r *Relay) applySummary(kv store.KV) error {
	self := r.members.Self()
	own := strings.HasPrefix(kv.Key, zonesPrefix+self.Zone+"/")
	m, err := membership.Decode(kv.Value)
	if err != nil {
		return err
	}
	if err := DropUnreachable(&m); err != nil {
		r.report(fmt.Errorf("zone summary %s: %w", kv.Key, err))
	}
	if own {
		r.ownZoneHashes[kv.Key] = membership.HashRecords(m.Records)
		return nil
	}
	r.members.Step(r.now(), m)
	return nil
}
