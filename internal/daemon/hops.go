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
	id       uint64
	rootID   string
	rank     call.Rank
	depth    int
	deadline time.Time
	account  *retry.Budget
	ctx      context.Context // ends with the request

	mu         sync.Mutex
	children   int
	childSince time.Time
	childTime  time.Duration
	childLost  bool      // a child call brought no successful answer
	cutoff     call.Rank // highest cutoff that child calls have met
}

// childStarted notes that a child call is under way.
func (h *hop) childStarted(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.children == 0 {
		h.childSince = now
	}
	h.children++
}

// childEnded notes the end of a child call and how it ended.
func (h *hop) childEnded(now time.Time, res *result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.children--
	if h.children == 0 {
		h.childTime += now.Sub(h.childSince)
	}
	h.childLost = h.childLost || res.outcome != call.OutcomeAnswered || res.status >= http.StatusInternalServerError
}

// lostChild reports whether a deeper service has failed this request. A backend server that then refuses it isn't
// overloaded itself.
func (h *hop) lostChild() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.childLost
}

// meetCutoff notes the cutoff of a service that a child call went to, or was to go to.
func (h *hop) meetCutoff(r call.Rank) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cutoff = max(h.cutoff, r)
}

// deeperCutoff returns the highest cutoff that child calls have met.
func (h *hop) deeperCutoff() call.Rank {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cutoff
}

// waitedForChildren returns the time in which at least one child call was under way.
func (h *hop) waitedForChildren(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.children > 0 {
		return h.childTime + now.Sub(h.childSince)
	}
	return h.childTime
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
func drainAccount(a *retry.Budget) int {
	left := 0
	for n := a.Grant(); n > 0; n = a.Grant() {
		left += n
	}
	return left
}
