package daemon

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
)

// Guards against a limit that shrinks because a deeper service sheds load: the backend server answers 503 for requests
// whose child calls failed, and isn't overloaded itself. Seen in examples/local/run.sh: 2 of 9 slots, and critical
// requests refused.
func TestDownstreamOverloadDoesNotShrinkTheLimit(t *testing.T) {
	s := newSite(t)
	var n *node
	n = s.add("lookup", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		child := n.send(t, "GET", "transfer/x", "", headerContext, r.Header.Get(headerContext))
		if child.outcome() != "answered" || child.status != http.StatusOK {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	s.add("transfer", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	s.ready()
	var callers sync.WaitGroup
	for caller := range 4 {
		callers.Go(func() {
			for i := range 100 {
				n.send(t, "GET", fmt.Sprintf("lookup/%d/%d", caller, i), "")
			}
		})
	}
	callers.Wait()
	if load := n.gate.load(); load.Limit < n.settings.Backend.Slots {
		t.Errorf("limit %d of %d slots", load.Limit, n.settings.Backend.Slots)
	}
}
