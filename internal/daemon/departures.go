package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/control"
	"guavapoint.example/guavapoint/internal/core/announce"
	"guavapoint.example/guavapoint/internal/core/membership"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/wire"
)

const (
	// departureTimeout bounds how long the acknowledgement of a departure waits until it is kept outside this daemon. The
	// backend server waits one second for it.
	departureTimeout = 400 * time.Millisecond
	// departureSaveTimeout bounds one attempt to save a departure in the store.
	departureSaveTimeout = time.Second
	// departureWitnesses is the number of neighbors in each direction of the ring that are told of a departure, and asked
	// for it after a restart.
	departureWitnesses = 2
	// departureRetryInterval is the time after which the store is asked again for earlier departures, and after which
	// saving is tried again.
	departureRetryInterval = time.Second
	// toldDepartureTime is how long a daemon keeps the departures that it was told.
	toldDepartureTime = 10 * time.Minute
	// maxToldAddresses bounds the daemons whose departures are kept. A daemon is a neighbor of about four.
	maxToldAddresses = 1024
	// maxKeptDepartures bounds the departures that are kept for one of them.
	maxKeptDepartures = 8
)

// toldDepartures holds the departures that other daemons have told, for when they ask after a restart. It is safe for
// concurrent use.
type toldDepartures struct {
	mu        sync.Mutex
	byAddress map[string]toldEntry
}

type toldEntry struct {
	list []wire.Departure // the latest last
	at   time.Time        // when the last one was told
}

// record adds what the daemon at an address has told at now.
func (t *toldDepartures) record(now time.Time, address string, told []wire.Departure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byAddress == nil {
		t.byAddress = make(map[string]toldEntry)
	}
	for a, e := range t.byAddress {
		if now.Sub(e.at) > toldDepartureTime {
			delete(t.byAddress, a)
		}
	}
	e := t.byAddress[address]
	if e.list == nil && len(t.byAddress) == maxToldAddresses {
		return
	}
	for _, d := range told {
		if !slices.Contains(e.list, d) {
			e.list = append(e.list, d)
		}
	}
	e.list = slices.Clone(e.list[max(len(e.list)-maxKeptDepartures, 0):])
	e.at = now
	t.byAddress[address] = e
}

// get returns what the daemon at an address has told.
func (t *toldDepartures) get(address string) []wire.Departure {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byAddress[address].list
}

// departureKeeper keeps the departures of this daemon's backend server in the store and with the neighbors, where a later
// daemon at this address finds them. It is safe for concurrent use.
type departureKeeper struct {
	log  *control.DepartureLog // nil if the settings name no platform
	tell func(ctx context.Context, ds []announce.Departure) (told int)
	// report is called for each departure that is kept, with the number of neighbors that were told, and with the error
	// of saving it.
	report func(d announce.Departure, told int, saveErr error)

	saving chan struct{} // holds one element while departures are saved

	mu       sync.Mutex
	unsaved  []announce.Departure // the latest last, at most maxKeptDepartures
	saved    []announce.Departure // in savedEra of the store
	savedEra uint64
	keeping  chan struct{} // closed once the departures that were kept last are kept, or departureTimeout has passed
}

// keep tells the neighbors of new departures and saves them. It returns when that is done or departureTimeout has passed;
// saving goes on with retrySave.
func (k *departureKeeper) keep(ds []announce.Departure, done chan struct{}) {
	defer close(done)
	ctx, cancel := context.WithTimeout(context.Background(), departureTimeout)
	defer cancel()
	var told int
	var telling sync.WaitGroup
	telling.Go(func() { told = k.tell(ctx, ds) })
	err := k.save(ctx)
	telling.Wait()
	for _, d := range ds {
		k.report(d, told, err)
	}
}

// start begins to keep departures, and returns what keep needs for it.
func (k *departureKeeper) start(ds []announce.Departure) (done chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unsaved = lastDepartures(append(k.unsaved, ds...))
	k.keeping = make(chan struct{})
	return k.keeping
}

// wait waits until the departures that were learned last are kept, or departureTimeout has passed.
func (k *departureKeeper) wait() {
	k.mu.Lock()
	keeping := k.keeping
	k.mu.Unlock()
	if keeping != nil {
		<-keeping
	}
}

// lastDepartures returns the last maxKeptDepartures of a list.
func lastDepartures(ds []announce.Departure) []announce.Departure {
	return ds[max(len(ds)-maxKeptDepartures, 0):]
}

// save saves the departures that aren't in the store. It returns the first error.
func (k *departureKeeper) save(ctx context.Context) error {
	if k.log == nil {
		return nil
	}
	select {
	case k.saving <- struct{}{}:
		defer func() { <-k.saving }()
	case <-ctx.Done():
		return ctx.Err()
	}
	for d, ok := k.nextUnsaved(); ok; d, ok = k.nextUnsaved() {
		if err := k.log.Save(ctx, d); err != nil {
			return err
		}
		k.markSaved(d)
	}
	return nil
}

// nextUnsaved returns the first departure that isn't in the store. ok is false if there is none.
func (k *departureKeeper) nextUnsaved() (d announce.Departure, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.unsaved) == 0 {
		return announce.Departure{}, false
	}
	return k.unsaved[0], true
}

// markSaved records that a departure is in the store.
func (k *departureKeeper) markSaved(d announce.Departure) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unsaved = slices.DeleteFunc(k.unsaved, func(u announce.Departure) bool { return u == d })
	k.saved = lastDepartures(append(k.saved, d))
}

// run calls retrySave periodically until the context ends.
func (k *departureKeeper) run(ctx context.Context) {
	every(ctx, departureRetryInterval, func() { k.retrySave(ctx) })
}

// retrySave saves the departures that could not be saved before, and all of them after a restore of the store.
func (k *departureKeeper) retrySave(ctx context.Context) {
	if k.log == nil {
		return
	}
	k.mu.Lock()
	if era := k.log.Era(); era != k.savedEra {
		if k.savedEra != 0 {
			k.unsaved, k.saved = lastDepartures(append(k.saved, k.unsaved...)), nil
		}
		k.savedEra = era
	}
	due := len(k.unsaved) > 0
	k.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, departureSaveTimeout)
	defer cancel()
	_ = k.save(ctx) // tried again in the next period
}

// keepDepartures begins to keep departures that this daemon has learned.
func (d *Daemon) keepDepartures(ds []announce.Departure) {
	if len(ds) == 0 {
		return
	}
	done := d.departures.start(ds)
	d.tasks.Go(func() { d.departures.keep(ds, done) })
}

// tellDepartures tells the neighbors of departures and returns how many have acknowledged them.
func (d *Daemon) tellDepartures(ctx context.Context, ds []announce.Departure) int {
	list := make([]wire.Departure, 0, len(ds))
	for _, dep := range ds {
		list = append(list, wire.Departure{Instance: dep.ID, StartUnixMilli: dep.StartUnixMilli, NoticeUnixMilli: dep.NoticeUnixMilli})
	}
	var mu sync.Mutex
	told := 0
	d.forEachWitness(nil, func(address string) {
		m := &wire.Control{Departures: &wire.Departures{List: list}}
		d.setSenderFields(m)
		if d.transport.Send(ctx, address, m) == nil {
			mu.Lock()
			told++
			mu.Unlock()
		}
	})
	return told
}

// forEachWitness calls f at the same time for each witness among the known members and the given records, and waits until
// all calls have returned.
func (d *Daemon) forEachWitness(records []membership.Record, f func(address string)) {
	var calls sync.WaitGroup
	for _, address := range d.witnesses(records) {
		calls.Go(func() { f(address) })
	}
	calls.Wait()
}

// witnesses returns the addresses of the neighbors on the ring of the zone, or, where the zone has no other daemon, those
// of daemons in other zones.
func (d *Daemon) witnesses(records []membership.Record) []string {
	own, other := []string{}, []string{}
	for _, r := range slices.Concat(d.members.records(), records) {
		switch {
		case r.Address == d.settings.PeerAddress || !r.Alive():
		case r.Zone == d.settings.Zone:
			own = append(own, r.Address)
		default:
			other = append(other, r.Address)
		}
	}
	if len(own) == 0 {
		own = other
	}
	return membership.RingNeighbors(d.settings.PeerAddress, own, departureWitnesses)
}

// recordToldDepartures records the departures that another daemon has learned of its backend server.
func (d *Daemon) recordToldDepartures(from string, told *wire.Departures) {
	if from != "" {
		d.told.record(d.now(), from, told.List)
	}
}

// answerDepartureQuery returns the departures and the quarantine records that an earlier daemon at an address has sent to
// be kept.
func (d *Daemon) answerDepartureQuery(from string) *wire.Control {
	answer := &wire.Departures{List: d.told.get(from), Uptime: d.now().Sub(d.started)}
	if records := d.witnessed.get(from); len(records) > 0 {
		answer.Quarantine = encodeQuarantine(records)
	}
	return &wire.Control{Departures: answer}
}

// logDeparture logs that a departure was kept, see departureKeeper.report.
func (d *Daemon) logDeparture(dep announce.Departure, told int, saveErr error) {
	d.log.Log(events.DepartureKept, dep.ID, dep.StartUnixMilli, dep.NoticeUnixMilli, told, errorText(saveErr))
}
