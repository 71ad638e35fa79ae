package daemon

import (
	"net/http"
	"sync/atomic"
	"testing"
)

// leavingCluster is a cluster of a backend server of the service lookup and an entry of another service. While leaving is
// set, the backend server states in its responses that it leaves; its heartbeats and health checks don't show that.
type leavingCluster struct {
	*testCluster
	backend       *announcedBackend
	beside, entry *testDaemon
	leaving       atomic.Bool
}

func newLeavingCluster(t *testing.T) *leavingCluster {
	s := newTestCluster(t)
	s.withOperatorConfig()
	c := &leavingCluster{testCluster: s, backend: newAnnouncedBackend(t, "i-1")}
	c.backend.answer = func(w http.ResponseWriter, _ *http.Request) bool {
		if c.leaving.Load() {
			w.Header().Set("Server-Leaving", "1")
		}
		return false
	}
	c.beside = s.startReady(t, c.backend)
	c.entry = s.addAnnounced("ledger", newAnnouncedBackend(t, "i-2"))
	waitUntil(t, "the entry is ready", c.entry.isReady)
	c.entry.heartbeat(t, "i-2", 1, "ready")
	s.ready()
	c.leaving.Store(true)
	if got := c.entry.request(t, http.MethodGet, "/read/x"); got.header.Get("Server-Leaving") != "1" {
		t.Fatalf("status %d without the statement that the backend server leaves", got.status)
	}
	return c
}

// expectNoWork sends requests through the entry and fails the test if one reaches the backend server.
func (c *leavingCluster) expectNoWork(t *testing.T) {
	t.Helper()
	before := c.backend.runs.Load()
	for _, path := range []string{"/read/x", "/write/x", "/read/y"} {
		if got := c.entry.request(t, http.MethodGet, path); got.status != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d, want 503", path, got.status)
		}
	}
	if got := c.backend.runs.Load() - before; got != 0 {
		t.Errorf("%d requests reached a backend server after its response stated that it leaves", got)
	}
}

// Guards against work for a backend server whose heartbeats are lost or late while it leaves: only its responses show it.
func TestLeavingByResponseEndsWork(t *testing.T) {
	newLeavingCluster(t).expectNoWork(t)
}

// Guards against work for such a backend server after a restart of the daemon beside it, when a heartbeat that was sent
// before it began to leave arrives late. Only the entry has seen the response.
func TestLeavingByResponseSurvivesARestart(t *testing.T) {
	c := newLeavingCluster(t)
	c.restart(c.beside)
	waitUntil(t, "the daemon is ready", c.beside.isReady)
	for seq := 2; seq <= 3; seq++ {
		c.beside.heartbeat(t, "i-1", seq, "ready")
	}
	waitUntil(t, "the entry knows the restarted daemon as serving", func() bool {
		for _, r := range c.entry.members.records() {
			if r.Address == c.beside.settings.PeerAddress && r.Incarnation == c.beside.incarnation {
				return true
			}
		}
		return false
	})
	c.expectNoWork(t)
}
