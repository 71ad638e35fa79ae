package quarantine

// IsolationQueue orders the dispatch of requests on one daemon so that a suspect runs alone. Requests start in the order of
// Offer. A suspect starts when nothing is in flight, and the requests offered after it wait until it ends, so that a
// stream of other requests can't hold it back for ever.
//
// The verdict of a request can change while it waits. Whoever starts a request asks List.Check again, and on another
// verdict calls Done and, unless the request is refused now, Offer. It is not safe for concurrent use.
type IsolationQueue struct {
	waiting []queuedRequest
	running map[uint64]bool // request ID to whether it runs alone
}

type queuedRequest struct {
	id    uint64
	alone bool
}

// NewIsolationQueue returns a gate with nothing in flight.
func NewIsolationQueue() *IsolationQueue {
	return &IsolationQueue{running: make(map[uint64]bool)}
}

// Offer queues a request and returns the IDs of the requests that start now. alone is set for a suspect, that is for
// the verdict RunAlone. IDs must be unique among requests that wait or run.
func (q *IsolationQueue) Offer(id uint64, alone bool) []uint64 {
	q.waiting = append(q.waiting, queuedRequest{id: id, alone: alone})
	return q.start()
}

// Done ends a request, whether it runs or waits, and returns the IDs of the requests that start now. An unknown ID is
// ignored.
func (q *IsolationQueue) Done(id uint64) []uint64 {
	delete(q.running, id)
	for i, e := range q.waiting {
		if e.id == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	return q.start()
}

// start moves requests from the head of the queue into flight as far as the rule allows.
func (q *IsolationQueue) start() []uint64 {
	var ids []uint64
	for len(q.waiting) > 0 && q.canStart(q.waiting[0]) {
		e := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running[e.id] = e.alone
		ids = append(ids, e.id)
	}
	return ids
}

func (q *IsolationQueue) canStart(e queuedRequest) bool {
	if len(q.running) == 0 {
		return true
	}
	return !e.alone && !q.suspectRunning()
}

// runsAlone reports whether the request in flight is a suspect. It is then the only one.
func (q *IsolationQueue) suspectRunning() bool {
	if len(q.running) != 1 {
		return false
	}
	for _, alone := range q.running {
		return alone
	}
	return false
}
