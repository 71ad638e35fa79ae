package daemon

import (
	"encoding/json"
	"net/http"
	"testing"

	"guavapoint.example/guavapoint/internal/core/quarantine"
)

// requestAdmin sends a request to the admin listener, decodes the JSON response into v unless v is nil, and returns the
// status.
func (n *testDaemon) requestAdmin(t *testing.T, method, path string, v any) int {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+n.settings.AdminAddress+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if v != nil {
		if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
			t.Fatalf("%s %s: %v", method, path, err)
		}
	}
	return resp.StatusCode
}

// Guards against a quarantine that operators can't see or lift, against one that is lifted on one daemon and remains on
// others of the service, and against a lift that reports success although nothing was quarantined.
func TestQuarantineIsLiftedEverywhere(t *testing.T) {
	s := newTestCluster(t)
	ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	a, b := s.add("lookup", ok), s.add("lookup", ok)
	s.ready()
	fp := quarantine.NewFingerprint("lookup", "GET", "/poison", nil)
	a.quarantine.reportCrash([]quarantine.Fingerprint{fp})
	listed := func(n *testDaemon) int {
		var state State
		n.requestAdmin(t, http.MethodGet, "/state", &state)
		return len(state.Quarantine)
	}
	waitUntil(t, "both daemons list the fingerprint", func() bool { return listed(a) == 1 && listed(b) == 1 })
	path := "/quarantine/" + fp.String()
	if status := b.requestAdmin(t, http.MethodDelete, path, nil); status != http.StatusNoContent {
		t.Errorf("lift: status %d", status)
	}
	waitUntil(t, "no daemon lists it", func() bool { return listed(a) == 0 && listed(b) == 0 })
	var p problem
	if status := b.requestAdmin(t, http.MethodDelete, path, &p); status != http.StatusNotFound ||
		p.Code != "unknown-fingerprint" {
		t.Errorf("second lift: status %d, %+v", status, p)
	}
}

// Guards against a drain command that has no effect, or doesn't report the requests that the daemon still waits for.
func TestDrainCommandReportsRequestsInFlight(t *testing.T) {
	s := newTestCluster(t)
	started, release := make(chan struct{}), make(chan struct{})
	n := s.add("lookup", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	}))
	s.ready()
	done := make(chan reply)
	go func() { done <- n.send(t, "GET", "lookup/slow", "") }()
	<-started
	var answer DrainResponse
	status := n.requestAdmin(t, http.MethodPost, "/drain", &answer)
	if status != http.StatusAccepted || answer.State != "leaving" || answer.InFlight == 0 ||
		answer.Limit != waitTimeout.String() {
		t.Errorf("drain: status %d, %+v", status, answer)
	}
	close(release)
	if got := <-done; got.outcome() != "answered" {
		t.Errorf("call in flight: %+v", got)
	}
	if err := <-n.stopped; err != nil {
		t.Errorf("stopped with %v", err)
	}
}
