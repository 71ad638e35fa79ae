package daemon

import (
	"sync"

	"guavapoint.example/guavapoint/internal/core/announce"
	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/wire"
)

// backendReports holds what the entry has learned about backend servers from their responses, by the address of the
// daemon beside them. It is safe for concurrent use.
type backendReports struct {
	mu        sync.Mutex
	byAddress map[string]*wire.BackendReport
}

// get returns what is known about the backend server beside a daemon, nil if that is nothing.
func (b *backendReports) get(address string) *wire.BackendReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byAddress[address]
}

// record records the report that came with an answer. An answer of the backend server without a report ends the last
// one. A refusal without one doesn't: the daemon that refused may have just started.
func (b *backendReports) record(address string, o call.Outcome, r *wire.BackendReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case r != nil:
		if b.byAddress == nil {
			b.byAddress = make(map[string]*wire.BackendReport)
		}
		b.byAddress[address] = r
	case o == call.OutcomeAnswered:
		delete(b.byAddress, address)
	}
}

// backendReport returns what the backend server beside this daemon has stated about itself, or nil if that is nothing.
func (u *upstream) backendReport() *wire.BackendReport {
	if u.instance == nil {
		return nil
	}
	known := u.instance.current()
	departure, leaving := u.instance.departure()
	if !known.RateLimit.Limited() && !leaving {
		return nil
	}
	return &wire.BackendReport{Instance: known.ID, StartUnixMilli: known.StartUnixMilli,
		Limited: known.RateLimit.Limited(), RateLimit: known.RateLimit.PerSecond(), Leaving: leaving,
		NoticeUnixMilli: departure.NoticeUnixMilli}
}

// reportedRateLimit returns the rate limit in a report of a peer, which may be nil.
func reportedRateLimit(r *wire.BackendReport) call.RateLimit {
	if r == nil || !r.Limited {
		return call.RateLimit{}
	}
	return call.NewRateLimit(r.RateLimit)
}

// recordPeerReport records what a peer has learned about the backend server beside this daemon; nil is nothing.
func (d *Daemon) recordPeerReport(r *wire.BackendReport) {
	if r == nil || d.instance == nil {
		return
	}
	_ = d.updateInstance(func(t *announce.Tracker) error {
		if r.Leaving {
			t.ApplyDeparture(d.now(), announce.Departure{ID: r.Instance, StartUnixMilli: r.StartUnixMilli, NoticeUnixMilli: r.NoticeUnixMilli})
		}
		t.PeerRateLimit(r.Instance, r.StartUnixMilli, reportedRateLimit(r))
		return nil
	}) // always nil
}
