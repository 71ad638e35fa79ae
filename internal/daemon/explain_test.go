package daemon

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"

	"guavapoint.example/guavapoint/internal/events"
)

// logBuffer collects the log of all daemons of a test cluster.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// linesByEvent returns the log lines of a request by event number.
func (b *logBuffer) linesByEvent(t *testing.T, id string) map[float64]map[string]any {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	lines := make(map[float64]map[string]any)
	for text := range strings.Lines(b.text.String()) {
		var line map[string]any
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		if line["request_id"] == id {
			t.Log(strings.TrimSpace(text))
			lines[line["event"].(float64)] = line
		}
	}
	return lines
}

// requestWithID sends a request with the given ID and timeout in milliseconds to the ingress, and returns the status.
func (n *testDaemon) requestWithID(t *testing.T, method, path, id, timeout string) int {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+n.settings.Ingress.Address+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "a.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Timeout-Ms", timeout)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Guards against a failed request whose cause can't be found in the log by the request's ID. docs/OPERATIONS.md shows
// the log lines that this test prints with -v.
func TestFailedRequestsLogTheirCause(t *testing.T) {
	s := newTestCluster(t)
	s.withOperatorConfig()
	var buffer logBuffer
	var err error
	if s.log, err = events.New(&buffer, "info", map[string]any{"daemon": "lookup-1"}); err != nil {
		t.Fatal(err)
	}
	b := newAnnouncedBackend(t, "i-1")
	release := make(chan struct{})
	running := make(chan struct{}, 16)
	b.answer = func(_ http.ResponseWriter, r *http.Request) bool {
		switch {
		case strings.HasSuffix(r.URL.Path, "hold"):
			running <- struct{}{}
			<-release
		case strings.HasSuffix(r.URL.Path, "lose"):
			panic(http.ErrAbortHandler)
		}
		return false
	}
	n := s.addAnnounced("lookup", b)
	waitUntil(t, "the daemon is ready", n.isReady)
	n.heartbeat(t, "i-1", 1, "ready")
	waitUntil(t, "the daemon serves", func() bool {
		return n.request(t, http.MethodGet, "/read/x").status == http.StatusOK
	})

	const slots = 8
	var held sync.WaitGroup
	for range slots {
		held.Go(func() { n.request(t, http.MethodPost, "/write/hold") })
	}
	for range slots {
		<-running
	}
	if status := n.requestWithID(t, http.MethodGet, "/read/x", "refused-1",
		"4000"); status != http.StatusServiceUnavailable {
		t.Errorf("overload: status %d", status)
	}
	close(release)
	held.Wait()
	if status := n.requestWithID(t, http.MethodPost, "/write/lose", "lost-1", "4000"); status != http.StatusBadGateway {
		t.Errorf("lost connection: status %d", status)
	}
	n.heartbeat(t, "i-1", 2, "draining")
	if status := n.requestWithID(t, http.MethodPost, "/write/x", "leaving-1",
		"4000"); status != http.StatusServiceUnavailable {
		t.Errorf("leaving: status %d", status)
	}

	lines := buffer.linesByEvent(t, "refused-1")
	if lines[4015]["reason"] != "overload" || lines[4017]["in_flight"] != float64(slots) {
		t.Errorf("refused request: %v", lines)
	}
	lines = buffer.linesByEvent(t, "lost-1")
	if lines[4016]["reason"] != "connection-lost" || lines[4018]["instance"] != "i-1" {
		t.Errorf("lost request: %v", lines)
	}
	lines = buffer.linesByEvent(t, "leaving-1")
	if reason := lines[4015]["reason"]; reason != "leaving" && reason != "no-upstream" {
		t.Errorf("request to a leaving upstream: %v", lines)
	}
}
