package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/lineage"
	"guavapoint.example/guavapoint/internal/core/retry"
)

// hop is a request that the backend server beside this daemon is running. Its child calls pass through the same daemon
// and inherit rank, deadline and retry budget from it. The methods are safe for concurrent use.
type hop struct {
	id          uint64
	rootID      string
	rank        call.Rank
	depth       int
	deadline    time.Time
	retryBudget *retry.Budget
	ctx         context.Context // ends when the request ends
	retried     bool            // the request is a retry, or belongs to one
	// callDeadline is the deadline that the backend server knows, which its calls inherit.
	callDeadline time.Time

	mu                 sync.Mutex // protects the fields below
	childrenInFlight   int
	childWaitStart     time.Time
	childWait          time.Duration
	childFailed        bool      // a child call had no answer, or one with a server error
	highestChildCutoff call.Rank // highest cutoff reported to a child call
}

// childStarted records that a child call is in flight.
func (h *hop) childStarted(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.childrenInFlight == 0 {
		h.childWaitStart = now
	}
	h.childrenInFlight++
}

// childEnded records the end and the result of a child call.
func (h *hop) childEnded(now time.Time, res *result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.childrenInFlight--
	if h.childrenInFlight == 0 {
		h.childWait += now.Sub(h.childWaitStart)
	}
	h.childFailed = h.childFailed || res.outcome != call.OutcomeAnswered || res.status >= http.StatusInternalServerError
}

// hasFailedChild reports whether a child call of this request failed. If the backend server then refuses the request,
// that is no sign that it is overloaded itself.
func (h *hop) hasFailedChild() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.childFailed
}

// recordCutoff records the cutoff of a service that a child call was sent to, or was refused for before it was sent.
func (h *hop) recordCutoff(r call.Rank) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.highestChildCutoff = max(h.highestChildCutoff, r)
}

// childCutoff returns the highest cutoff recorded for the child calls.
func (h *hop) childCutoff() call.Rank {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.highestChildCutoff
}

// childWaitTime returns the total time during which at least one child call was in flight.
func (h *hop) childWaitTime(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.childrenInFlight > 0 {
		return h.childWait + now.Sub(h.childWaitStart)
	}
	return h.childWait
}

// hopTable holds the requests that the backend server beside this daemon is running. It is safe for concurrent use.
type hopTable struct {
	incarnation call.Incarnation

	mu      sync.Mutex
	next    uint64
	hops    map[uint64]*hop
	matcher *lineage.Matcher
	retried int // hops that are retries
}

func newHopTable(self call.Incarnation) *hopTable {
	return &hopTable{incarnation: self, hops: make(map[uint64]*hop), matcher: lineage.NewMatcher()}
}

// add registers a running request and returns the context that the backend server sends with its child calls.
func (t *hopTable) add(h *hop, now time.Time) call.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	h.id = t.next
	t.hops[h.id] = h
	t.matcher.Add(h.id, lineage.Request{Started: now, Deadline: h.callDeadline})
	if h.retried {
		t.retried++
	}
	return call.Context{HopID: h.id, Incarnation: t.incarnation}
}

// remove removes a request that has ended. Child calls that arrive later are refused, because the rest of their retry
// budget has been returned to the caller.
func (t *hopTable) remove(h *hop, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.hops, h.id)
	t.matcher.Remove(now, h.id)
	if h.retried {
		t.retried--
	}
}

// answered records that the backend server has answered a request. It makes no more calls for it.
func (t *hopTable) answered(h *hop, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.matcher.Remove(now, h.id)
}

// callLineage is what is known about the origin of a call.
type callLineage struct {
	isCall bool // it is most likely a call of the local backend server
	// progress is the number of calls that the request which makes it has completed right before.
	progress int
	// retriedShare is the probability, from 0 to 1, that the call belongs to a request that is a retry.
	retriedShare float64
}

// beginCall infers the origin of a call that arrives on the connection of s.
func (t *hopTable) beginCall(now time.Time, s *lineage.Sequence, c lineage.Call) callLineage {
	t.mu.Lock()
	defer t.mu.Unlock()
	id, progress := t.matcher.Begin(now, s, c)
	if !t.matcher.IsCall(c.Route) {
		return callLineage{}
	}
	return callLineage{isCall: true, progress: progress, retriedShare: t.retriedShare(t.hops[id])}
}

// retriedShare returns the probability that a request that makes a call is a retry: whether it is one, or if the request
// isn't known (nil), the share of retries among all that are running. The caller holds t.mu.
func (t *hopTable) retriedShare(h *hop) float64 {
	switch {
	case h != nil && h.retried:
		return 1
	case h != nil || t.retried == 0:
		return 0
	default:
		return float64(t.retried) / float64(len(t.hops))
	}
}

// endCall records the end of a call on the connection of s.
func (t *hopTable) endCall(now time.Time, s *lineage.Sequence, succeeded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.matcher.End(now, s, succeeded)
}

// find returns the running request that a context names. It returns nil if the request has ended or ran on another
// incarnation.
func (t *hopTable) find(c call.Context) *hop {
	if c.Incarnation != t.incarnation {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hops[c.HopID]
}

// takeAllRetries takes all remaining retries from a budget and returns their number, so that no later child call can
// spend them as well.
func takeAllRetries(b *retry.Budget) int {
	taken := 0
	for n := b.Grant(); n > 0; n = b.Grant() {
		taken += n
	}
	return taken
}
