package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
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

	mu   sync.Mutex
	next uint64
	hops map[uint64]*hop
}

func newHopTable(self call.Incarnation) *hopTable {
	return &hopTable{incarnation: self, hops: make(map[uint64]*hop)}
}

// add registers a running request and returns the context that the backend server sends with its child calls.
func (t *hopTable) add(h *hop) call.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	h.id = t.next
	t.hops[h.id] = h
	return call.Context{HopID: h.id, Incarnation: t.incarnation}
}

// remove removes a request that has ended. Child calls that arrive later are refused, because the rest of their retry
// budget has been returned to the caller.
func (t *hopTable) remove(h *hop) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.hops, h.id)
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
