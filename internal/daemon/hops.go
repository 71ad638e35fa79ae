package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/retry"
)

// hop is a request that the backend server is running. Its child calls pass through the same daemon and inherit
// rank, deadline and retry account from it.
type hop struct {
	id          uint64
	rootID      string
	rank        call.Rank
	depth       int
	deadline    time.Time
	retryBudget *retry.Budget
	ctx         context.Context // ends with the request

	mu                 sync.Mutex
	childrenInFlight   int
	childWaitStart     time.Time
	childWait          time.Duration
	childFailed        bool      // a child call brought no successful answer
	highestChildCutoff call.Rank // highest cutoff that child calls have met
}

// childStarted notes that a child call is under way.
func (h *hop) childStarted(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.childrenInFlight == 0 {
		h.childWaitStart = now
	}
	h.childrenInFlight++
}

// childEnded notes the end of a child call and how it ended.
func (h *hop) childEnded(now time.Time, res *result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.childrenInFlight--
	if h.childrenInFlight == 0 {
		h.childWait += now.Sub(h.childWaitStart)
	}
	h.childFailed = h.childFailed || res.outcome != call.OutcomeAnswered || res.status >= http.StatusInternalServerError
}

// lostChild reports whether a deeper service has failed this request. A backend server that then refuses it isn't
// overloaded itself.
func (h *hop) hasFailedChild() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.childFailed
}

// meetCutoff notes the cutoff of a service that a child call went to, or was to go to.
func (h *hop) recordCutoff(r call.Rank) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.highestChildCutoff = max(h.highestChildCutoff, r)
}

// deeperCutoff returns the highest cutoff that child calls have met.
func (h *hop) childCutoff() call.Rank {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.highestChildCutoff
}

// waitedForChildren returns the time in which at least one child call was under way.
func (h *hop) childWaitTime(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.childrenInFlight > 0 {
		return h.childWait + now.Sub(h.childWaitStart)
	}
	return h.childWait
}

// hopTable holds the running requests of this daemon. It is safe for concurrent use.
type hopTable struct {
	incarnation call.Incarnation

	mu   sync.Mutex
	next uint64
	hops map[uint64]*hop
}

func newHopTable(self call.Incarnation) *hopTable {
	return &hopTable{incarnation: self, hops: make(map[uint64]*hop)}
}

// add registers a running request and returns the context for its backend server.
func (t *hopTable) add(h *hop) call.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	h.id = t.next
	t.hops[h.id] = h
	return call.Context{HopID: h.id, Incarnation: t.incarnation}
}

// remove ends a running request. Child calls that come later are refused, because their retry account has been
// returned to the caller.
func (t *hopTable) remove(h *hop) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.hops, h.id)
}

// find returns the running request that a context names, or nil.
func (t *hopTable) find(c call.Context) *hop {
	if c.Incarnation != t.incarnation {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hops[c.HopID]
}

// drainAccount takes everything that is left in an account, so that no later child call can spend it as well.
func takeAllRetries(b *retry.Budget) int {
	taken := 0
	for n := b.Grant(); n > 0; n = b.Grant() {
		taken += n
	}
	return taken
}
