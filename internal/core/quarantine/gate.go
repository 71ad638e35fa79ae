package quarantine

// Gate orders the dispatch of requests on one daemon so that a suspect runs alone. Requests start in the order of
// Offer. A suspect starts when nothing is in flight, and the requests offered after it wait until it ends, so that a
// stream of other requests can't hold it back for ever.
//
// The verdict of a request can change while it waits. Whoever starts a request asks List.Check again, and on another
// verdict calls Done and, unless the request is refused now, Offer. It is not safe for concurrent use.
type Gate struct {
	waiting []gateEntry
	running map[uint64]bool // request ID to whether it runs alone
}

type gateEntry struct {
	id    uint64
	alone bool
}

// NewGate returns a gate with nothing in flight.
func NewGate() *Gate {
	return &Gate{running: make(map[uint64]bool)}
}

// Offer queues a request and returns the IDs of the requests that start now. alone is set for a suspect, that is for
// the verdict RunAlone. IDs must be unique among requests that wait or run.
func (g *Gate) Offer(id uint64, alone bool) []uint64 {
	g.waiting = append(g.waiting, gateEntry{id: id, alone: alone})
	return g.start()
}

// Done ends a request, whether it runs or waits, and returns the IDs of the requests that start now. An unknown ID is
// ignored.
func (g *Gate) Done(id uint64) []uint64 {
	delete(g.running, id)
	for i, e := range g.waiting {
		if e.id == id {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			break
		}
	}
	return g.start()
}

// start moves requests from the head of the queue into flight as far as the rule allows.
func (g *Gate) start() []uint64 {
	var ids []uint64
	for len(g.waiting) > 0 && g.admits(g.waiting[0]) {
		e := g.waiting[0]
		g.waiting = g.waiting[1:]
		g.running[e.id] = e.alone
		ids = append(ids, e.id)
	}
	return ids
}

func (g *Gate) admits(e gateEntry) bool {
	if len(g.running) == 0 {
		return true
	}
	return !e.alone && !g.runsAlone()
}

// runsAlone reports whether the request in flight is a suspect. It is then the only one.
func (g *Gate) runsAlone() bool {
	if len(g.running) != 1 {
		return false
	}
	for _, alone := range g.running {
		return alone
	}
	return false
}
