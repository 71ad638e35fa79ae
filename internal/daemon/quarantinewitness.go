package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"guavapoint.example/guavapoint/internal/core/quarantine"
	"guavapoint.example/guavapoint/internal/wire"
)

// The quarantine records of a daemon are kept by all daemons of its service, and by its neighbors, which may be of other
// services. A daemon that starts asks the neighbors of its address: the daemons of a small service may all have been
// restarted within seconds. Nothing is kept in the store.

const (
	// maxQuarantineWitnessed bounds the daemons whose records are kept for them. A daemon is a neighbor of about four.
	maxQuarantineWitnessed = 64
	// maxWitnessedRecords bounds the records that are kept for one of them, about 100 KB.
	maxWitnessedRecords = 1000
	// maxQuarantineRecords bounds the records in one message, so that it stays below the maximum size of a control message.
	maxQuarantineRecords = 4096
	// quarantineInterval is the interval at which a daemon sends all its records to one random daemon of its service and to
	// one random neighbor. This replaces lost messages and informs daemons that have become neighbors.
	quarantineInterval = 5 * time.Second
)

// witnessedQuarantine holds the records that other daemons have sent to be kept for them. It is safe for concurrent use.
type witnessedQuarantine struct {
	mu        sync.Mutex
	byAddress map[string]*quarantine.List
}

// record merges the records of the daemon at an address.
func (w *witnessedQuarantine) record(now time.Time, address string, rs []quarantine.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byAddress == nil {
		w.byAddress = make(map[string]*quarantine.List)
	}
	for a, l := range w.byAddress {
		if l.Tick(now); len(l.Records()) == 0 {
			delete(w.byAddress, a)
		}
	}
	l := w.byAddress[address]
	if l == nil {
		if len(w.byAddress) == maxQuarantineWitnessed {
			return
		}
		l = quarantine.NewList(quarantine.Config{MaxRecords: maxWitnessedRecords})
		w.byAddress[address] = l
	}
	l.Merge(now, rs)
}

// get returns the records of the daemon at an address.
func (w *witnessedQuarantine) get(address string) []quarantine.Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l := w.byAddress[address]; l != nil {
		return l.Records()
	}
	return nil
}

// quarantineRecords is the payload of a wire.Quarantine message.
type quarantineRecords struct {
	Records []quarantine.Record `cbor:"1,keyasint"`
}

// encodeQuarantine encodes records, at most maxQuarantineRecords.
func encodeQuarantine(rs []quarantine.Record) []byte {
	payload, err := cbor.Marshal(quarantineRecords{rs[:min(len(rs), maxQuarantineRecords)]})
	if err != nil {
		panic(err) // can't happen: CBOR can encode all field types of a record
	}
	return payload
}

// decodeQuarantine decodes records.
func decodeQuarantine(payload []byte) ([]quarantine.Record, error) {
	var q quarantineRecords
	if err := cbor.Unmarshal(payload, &q); err != nil {
		return nil, fmt.Errorf("decode quarantine records: %w", err)
	}
	return q.Records, nil
}

// broadcastQuarantine logs changed records and sends them to the other live daemons of the service and to the neighbors.
func (d *Daemon) broadcastQuarantine(records []quarantine.Record) {
	d.logQuarantine(records)
	d.sendQuarantineToAll(records)
}

// sendQuarantineToAll sends records to the other live daemons of the service, and to the neighbors to be kept.
func (d *Daemon) sendQuarantineToAll(records []quarantine.Record) {
	for _, address := range d.members.liveAddresses(d.settings.Service, d.settings.PeerAddress) {
		d.sendQuarantine(records, address, false)
	}
	for _, address := range d.witnesses(nil) {
		d.sendQuarantine(records, address, true)
	}
}

// sendQuarantine sends records to one daemon in the background. keep asks it to keep them for the address of this daemon.
func (d *Daemon) sendQuarantine(records []quarantine.Record, address string, keep bool) {
	for part := range slices.Chunk(records, maxQuarantineRecords) {
		go d.sendControl(address, &wire.Control{Quarantine: &wire.Quarantine{Payload: encodeQuarantine(part), Keep: keep}})
	}
}

// runQuarantine periodically sends the quarantine records to a random daemon of the service and to a random neighbor until
// the context ends.
func (d *Daemon) runQuarantine(ctx context.Context, rng *rand.Rand) {
	every(ctx, quarantineInterval, func() {
		records := d.quarantine.records()
		if peers := d.members.liveAddresses(d.settings.Service, d.settings.PeerAddress); len(peers) > 0 {
			d.sendQuarantine(records, peers[rng.IntN(len(peers))], false)
		}
		if neighbors := d.witnesses(nil); len(neighbors) > 0 {
			d.sendQuarantine(records, neighbors[rng.IntN(len(neighbors))], true)
		}
	})
}

// handleQuarantine handles a message with records of another daemon: it merges them, or keeps them for that daemon. It
// returns an error if the payload can't be decoded.
func (d *Daemon) handleQuarantine(from string, q *wire.Quarantine) error {
	records, err := decodeQuarantine(q.Payload)
	if err != nil {
		return err
	}
	if q.Keep && from != "" {
		d.witnessed.record(d.now(), from, records)
		return nil
	}
	d.quarantine.merge(records)
	return nil
}

// recoverQuarantine asks the neighbors for the records of an earlier daemon at this address until one has answered that has
// run for long enough. It is used where the backend server doesn't announce itself; elsewhere the search for departures
// brings the records.
func (d *Daemon) recoverQuarantine(ctx context.Context) {
	if len(d.settings.Peers) == 0 && d.relay == nil {
		return // no earlier daemon can have sent them to anyone
	}
	results := make(chan lookup, 1)
	d.searchWitnesses(ctx, results)
}

// mergeWitnessed merges the records that a neighbor has kept for an earlier daemon at this address.
func (d *Daemon) mergeWitnessed(payload []byte) error {
	if len(payload) == 0 {
		return nil
	}
	records, err := decodeQuarantine(payload)
	if err != nil {
		return err
	}
	d.quarantine.merge(records)
	return nil
}
