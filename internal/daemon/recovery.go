package daemon

import (
	"context"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/announce"
	"guavapoint.example/guavapoint/internal/core/membership"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/wire"
)

const (
	// departureAskTimeout bounds the wait for the neighbors' answers. It covers a new connection and a round trip in a
	// zone, which take a few milliseconds. After a failure of the whole zone most neighbors don't answer.
	departureAskTimeout = 100 * time.Millisecond
	// witnessInterval is the interval at which the known neighbors are asked. After a restart while the store is down, they
	// become known one by one.
	witnessInterval = 200 * time.Millisecond
	// lateWitnessInterval replaces it once this daemon has run for minWitnessUptime. By then neighbors that started with it
	// can answer, so those that don't are down or cut off.
	lateWitnessInterval = 5 * time.Second
	// minWitnessUptime is for how long a neighbor must have run to answer for departures. Those from before are known by
	// other neighbors or by the store, unless all of them were lost.
	minWitnessUptime = 5 * time.Second
)

// lookup is the result of a search for earlier departures.
type lookup struct {
	found     []announce.Departure
	store     bool // the store has answered
	witnesses int  // neighbors that have answered and have run for long enough
}

// recoverDepartures looks up the departures that an earlier daemon at this address has learned, in the store and with the
// neighbors. Before the first of them has answered, the backend server takes work only after two heartbeats and a health
// check. What the second one adds counts as well. Where there is neither a platform nor a bootstrap peer, no earlier
// daemon can have kept anything.
func (d *Daemon) recoverDepartures(ctx context.Context) {
	started := d.now()
	results := make(chan lookup)
	var searches sync.WaitGroup
	switch {
	case d.departures.log != nil:
		searches.Go(func() { d.searchStore(ctx, results) })
		searches.Go(func() { d.searchWitnesses(ctx, results) })
	case len(d.settings.Peers) > 0:
		searches.Go(func() { d.searchWitnesses(ctx, results) })
	default:
		searches.Go(func() { results <- lookup{} })
	}
	d.tasks.Go(func() { searches.Wait(); close(results) })
	for l := range results {
		_ = d.updateInstance(func(t *announce.Tracker) error { t.MarkRecovered(d.now(), l.found); return nil }) // always nil
		d.log.Log(events.DeparturesRecovered, len(l.found), l.store, l.witnesses, d.now().Sub(started).String())
	}
}

// searchStore asks the store until it answers, and then the neighbors in its summaries: the store may have been down when a
// departure was learned. It sends the result unless ctx ends.
func (d *Daemon) searchStore(ctx context.Context, results chan<- lookup) {
	for first := true; ; first = false {
		var records []membership.Record
		var reading sync.WaitGroup
		reading.Go(func() { records = d.zoneRecords(ctx) })
		found, err := d.loadDepartures(ctx)
		reading.Wait()
		if err == nil {
			told, witnesses := d.askWitnesses(ctx, records)
			results <- lookup{found: append(found, told...), store: true, witnesses: witnesses}
			return
		}
		if first && ctx.Err() == nil {
			d.log.Log(events.DeparturesUnknown, err.Error())
		}
		if !sleep(ctx, departureRetryInterval) {
			return
		}
	}
}

// searchWitnesses asks the neighbors until one has answered that has run for long enough. It sends the result unless ctx
// ends.
func (d *Daemon) searchWitnesses(ctx context.Context, results chan<- lookup) {
	interval := func() time.Duration {
		if d.now().Sub(d.started) < minWitnessUptime {
			return witnessInterval
		}
		return lateWitnessInterval
	}
	for sleep(ctx, interval()) {
		if found, witnesses := d.askWitnesses(ctx, nil); witnesses > 0 {
			results <- lookup{found: found, witnesses: witnesses}
			return
		}
	}
}

// askWitnesses asks the neighbors among the known members and the given records once. It returns the departures that they
// were told, and the number of those that have answered and have run for long enough.
func (d *Daemon) askWitnesses(ctx context.Context, records []membership.Record) (found []announce.Departure, witnesses int) {
	var mu sync.Mutex
	d.forEachWitness(records, func(address string) {
		told, uptime := d.askWitness(ctx, address)
		mu.Lock()
		defer mu.Unlock()
		found = append(found, told...)
		if uptime >= minWitnessUptime {
			witnesses++
		}
	})
	return found, witnesses
}

// loadDepartures returns the departures in the store.
func (d *Daemon) loadDepartures(ctx context.Context) ([]announce.Departure, error) {
	found, malformed, err := d.departures.log.Load(ctx)
	if malformed > 0 {
		d.log.Log(events.EntryMalformed, "departures", malformed)
	}
	return found, err
}

// askWitness asks a neighbor for the departures that it was told, and returns for how long it has run, 0 if it doesn't
// answer. Quarantine records in its answer are merged.
func (d *Daemon) askWitness(ctx context.Context, address string) (found []announce.Departure, uptime time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, departureAskTimeout)
	defer cancel()
	m := &wire.Control{DepartureQuery: &wire.DepartureQuery{}}
	d.setSenderFields(m)
	reply, err := d.transport.Request(ctx, address, m)
	if err != nil || reply.Departures == nil {
		return nil, 0 // others may answer, and the search is repeated
	}
	if err := d.mergeWitnessed(reply.Departures.Quarantine); err != nil {
		d.log.Log(events.EntryMalformed, "quarantine records", 1)
	}
	for _, dep := range reply.Departures.List {
		found = append(found, announce.Departure{ID: dep.Instance, StartUnixMilli: dep.StartUnixMilli, NoticeUnixMilli: dep.NoticeUnixMilli})
	}
	return found, reply.Departures.Uptime
}
