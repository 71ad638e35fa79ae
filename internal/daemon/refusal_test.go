package daemon

import (
	"net/http"
	"testing"
)

// Guards against reporting "no-upstream" for a call that all upstreams have refused: operators would be alerted to
// daemons that don't run, and the caller would not learn the reason.
func TestRefusalByAllUpstreamsKeepsItsReason(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			s := newTestCluster(t)
			entry := s.add("lookup", http.NotFoundHandler())
			leaving := s.add("transfer", http.NotFoundHandler())
			s.ready()
			leaving.beginSilentDrain()
			if got := entry.send(t, method, "transfer/x", ""); got.outcome() != "not-run" || got.reason() != "leaving" {
				t.Errorf("%s %s, want not-run leaving", got.outcome(), got.reason())
			}
		})
	}
}
