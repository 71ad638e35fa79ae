package daemon

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
)

// Guards against reducing the limit of a backend server because a service further down the call graph sheds load. The
// backend server then responds with 503 to requests whose child calls failed, but isn't overloaded itself. In
// examples/local/run.sh the limit fell to 2 of 9 slots, and critical requests were refused.
func TestDownstreamOverloadDoesNotShrinkTheLimit(t *testing.T) {
	s := newTestCluster(t)
	var n *testDaemon
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
	if load := n.admission.load(); load.Limit < n.settings.Backend.Slots {
		t.Errorf("limit %d of %d slots", load.Limit, n.settings.Backend.Slots)
	}
}
