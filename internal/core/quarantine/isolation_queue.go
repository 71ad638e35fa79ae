package quarantine

// IsolationQueue orders the dispatch of requests on one daemon so that a suspect runs alone. Requests start in the
// order of Offer. A suspect starts when nothing is in flight, and the requests offered after it wait until it ends, so
// that a stream of other requests can't delay it for ever.
//
// The decision of List.Check on a request can change while the request waits. When the queue starts a request, the
// caller must call List.Check again before it dispatches the request. If the decision has changed, the caller must call
// Done and then, unless the request is now refused, Offer.
//
// An IsolationQueue is not safe for concurrent use.
type IsolationQueue struct {
	waiting []queuedRequest
	running map[uint64]bool // from request ID to the alone argument of its Offer
}

// queuedRequest is a request that waits to start.
type queuedRequest struct {
	id    uint64
	alone bool
}

// NewIsolationQueue returns an empty queue with nothing in flight.
func NewIsolationQueue() *IsolationQueue {
	return &IsolationQueue{running: make(map[uint64]bool)}
}

// Offer adds a request to the queue and returns the IDs of the requests that start now, which may include id. alone
// must be true for a suspect, that is for the decision RunAlone. IDs must be unique among requests that wait or run.
func (q *IsolationQueue) Offer(id uint64, alone bool) []uint64 {
	q.waiting = append(q.waiting, queuedRequest{id: id, alone: alone})
	return q.start()
}

// Done removes a request that runs or waits, and returns the IDs of the requests that start now. An unknown ID is
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

// start moves requests from the head of the queue into flight until one must wait, and returns their IDs.
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

// canStart reports whether a request may start beside the requests in flight.
func (q *IsolationQueue) canStart(e queuedRequest) bool {
	if len(q.running) == 0 {
		return true
	}
	return !e.alone && !q.suspectRunning()
}

// suspectRunning reports whether a suspect is in flight. It is then the only request in flight.
func (q *IsolationQueue) suspectRunning() bool {
	if len(q.running) != 1 {
		return false
	}
	for _, alone := range q.running {
		return alone
	}
	return false
}
