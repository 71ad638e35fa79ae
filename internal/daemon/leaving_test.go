package daemon

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/core/quarantine"
)

// newLeavingCluster returns a cluster with one entry. The entry has passed on a response that states that the backend
// server leaves; its heartbeats and health checks don't show that.
func newLeavingCluster(t *testing.T) *reportingCluster {
	t.Helper()
	c := newReportingCluster(t, 1, func(h http.Header) { h.Set("Server-Leaving", "1") })
	if got := c.entries[0].request(t, http.MethodGet, "/read/x"); got.header.Get("Server-Leaving") != "1" {
		t.Fatalf("status %d without the statement that the backend server leaves", got.status)
	}
	return c
}

// expectNoWork sends requests through the entry and fails the test if one reaches the backend server.
func (c *reportingCluster) expectNoWork(t *testing.T) {
	t.Helper()
	before := c.backend.runs.Load()
	for _, path := range []string{"/read/x", "/write/x", "/read/y"} {
		if got := c.entries[0].request(t, http.MethodGet, path); got.status != http.StatusServiceUnavailable {
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
		c.beside.heartbeat(t, "i-0", seq, "ready")
	}
	waitUntil(t, "the entry knows the restarted daemon as serving", func() bool {
		for _, r := range c.entries[0].members.records() {
			if r.Address == c.beside.settings.PeerAddress && r.Incarnation == c.beside.incarnation {
				return true
			}
		}
		return false
	})
	c.expectNoWork(t)
}

// Guards against a suspect that starts on a leaving backend server: it is admitted before, and waits until it can run
// alone. That may take longer than a leaving backend server takes new work.
func TestWaitingSuspectDoesNotRunAfterLeaving(t *testing.T) {
	s := newTestCluster(t)
	s.withOperatorConfig()
	b := newAnnouncedBackend(t, "i-1")
	release := make(chan struct{})
	b.answer = func(_ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == "/read/first" {
			<-release
		}
		return false
	}
	n := s.startReady(t, b)
	later := time.Now().Add(time.Hour)
	n.quarantine.merge([]quarantine.Record{{Fingerprint: quarantine.NewFingerprint("lookup", http.MethodGet, "/read/suspect", nil),
		SuspectUntil: later, KeepUntil: later}})
	var requests sync.WaitGroup
	requests.Go(func() { n.request(t, http.MethodGet, "/read/first") })
	waitUntil(t, "the first request runs", func() bool { return b.runs.Load() == 1 })
	requests.Go(func() {
		if got := n.request(t, http.MethodGet, "/read/suspect"); got.status != http.StatusServiceUnavailable {
			t.Errorf("suspect: status %d, want 503", got.status)
		}
	})
	waitUntil(t, "the suspect is admitted", func() bool { return n.admission.load().InFlight == 2 })
	n.heartbeat(t, "i-1", 2, "draining")
	close(release)
	requests.Wait()
	if got := b.runs.Load(); got != 1 {
		t.Errorf("%d requests ran, want only the one that was running when the backend server began to leave", got)
	}
}
