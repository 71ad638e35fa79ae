package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/retry"
	"guavapoint.example/guavapoint/internal/transport"
	"guavapoint.example/guavapoint/internal/wire"
)

// allowedWithin returns the number of requests that a backend server with a limit per second may get from daemons that
// know the limit, in a window of 4 s or of the given time if that is longer.
func allowedWithin(perSecond float64, elapsed time.Duration) int64 {
	return int64(1.5*perSecond*max(elapsed, 4*time.Second).Seconds()) + 5
}

// limitedCluster is a backend server of the service lookup that states a rate limit, and three daemons that have passed
// on its responses: the one beside it and two of another service.
type limitedCluster struct {
	*testCluster
	backend *announcedBackend
	beside  *testDaemon
	entries []*testDaemon
	held    atomic.Bool   // responses of the backend server wait for release
	release chan struct{} // closed by the test
}

func newLimitedCluster(t *testing.T, limit string) *limitedCluster {
	s := newTestCluster(t)
	s.withOperatorConfig()
	b := newAnnouncedBackend(t, "i-1")
	c := &limitedCluster{testCluster: s, backend: b, release: make(chan struct{})}
	b.answer = func(w http.ResponseWriter, _ *http.Request) bool {
		if c.held.Load() {
			<-c.release
		}
		w.Header().Set("Server-Limit", limit)
		return false
	}
	c.beside = s.startReady(t, b)
	c.announceSlots(t, 2)
	c.entries = []*testDaemon{c.beside}
	for _, id := range []string{"i-2", "i-3"} {
		c.entries = append(c.entries, s.addAnnounced("ledger", newAnnouncedBackend(t, id)))
	}
	for i, n := range c.entries[1:] {
		waitUntil(t, "the entry is ready", n.isReady)
		n.heartbeat(t, []string{"i-2", "i-3"}[i], 1, "ready")
	}
	s.ready()
	for _, n := range c.entries {
		waitUntil(t, "the entry has passed on a response with the limit", func() bool {
			return n.request(t, http.MethodGet, "/read/x").header.Get("Server-Limit") != ""
		})
	}
	return c
}

// announceSlots sends a heartbeat that states more slots than a test uses, so that only the rate limits its requests.
func (c *limitedCluster) announceSlots(t *testing.T, seq int) {
	t.Helper()
	body := fmt.Sprintf(`{"service":"lookup","address":"x","zone":"z","slots":200,"state":"ready","coldRemaining":"0ms","seq":%d,"born":5}`, seq)
	if status := c.beside.sendAnnouncement(t, http.MethodPut, "i-1", body); status != http.StatusOK {
		t.Fatalf("heartbeat: %d", status)
	}
}

// sendAtOnce sends requests through all entries at the same time. refused counts the responses 503 as they arrive.
func (c *limitedCluster) sendAtOnce(t *testing.T, perEntry int, refused *atomic.Int64) *sync.WaitGroup {
	var sent sync.WaitGroup
	for _, n := range c.entries {
		for i := range perEntry {
			path := []string{"/read/x", "/write/x"}[i%2]
			sent.Go(func() {
				got := n.request(t, http.MethodGet, path)
				if got.status != http.StatusOK && (got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "") {
					t.Errorf("%s: status %d, want 200, or 503 with Retry-After", path, got.status)
				}
				if got.status == http.StatusServiceUnavailable {
					refused.Add(1)
				}
			})
		}
	}
	return &sent
}

// Guards against more requests to a backend server than the rate that it states: no daemon read the header, and a limit
// that each daemon applies for itself adds up to several times the rate.
func TestStatedRateLimitHoldsForAllEntries(t *testing.T) {
	c := newLimitedCluster(t, "1")
	started, before := time.Now(), c.backend.runs.Load()
	var refused atomic.Int64
	c.sendAtOnce(t, 40, &refused).Wait()
	got := c.backend.runs.Load() - before
	if allowed := allowedWithin(1, time.Since(started)); got > allowed || got+refused.Load() != 120 {
		t.Errorf("the backend server got %d requests and %d of 120 were refused, want at most %d and all others refused",
			got, refused.Load(), allowed)
	}
}

// Guards against a surge after a restart of the daemon beside a backend server: it has forgotten the rate that the
// backend server stated and learns it again only from the first response.
func TestStatedRateLimitSurvivesARestart(t *testing.T) {
	c := newLimitedCluster(t, "1")
	c.held.Store(true)
	c.restart(c.beside)
	waitUntil(t, "the daemon is ready", c.beside.isReady)
	c.announceSlots(t, 3)
	c.ready()
	c.entries = c.entries[1:] // a restart excuses the requests that begin at the restarted daemon
	started, before := time.Now(), c.backend.runs.Load()
	var refused atomic.Int64
	sent := c.sendAtOnce(t, 20, &refused)
	waitUntil(t, "all requests are refused or held by the backend server", func() bool {
		return refused.Load()+c.backend.runs.Load()-before == 40
	})
	got := c.backend.runs.Load() - before
	close(c.release)
	sent.Wait()
	if allowed := allowedWithin(1, time.Since(started)); got > allowed {
		t.Errorf("the backend server got %d requests, want at most %d", got, allowed)
	}
}

// resolvingPeer loses the answer to each call and delivers it when it is asked for the outcome.
type resolvingPeer struct {
	losingPeer
	report *wire.BackendReport
}

func (p *resolvingPeer) Call(_ context.Context, address string, _ *wire.CallHeader, _ io.Reader) (*transport.Answer, error) {
	return nil, &transport.LostError{Address: address, Err: io.ErrUnexpectedEOF}
}

func (p *resolvingPeer) Request(context.Context, string, *wire.Control) (*wire.Control, error) {
	return &wire.Control{ResolveAnswer: &wire.ResolveAnswer{Outcome: call.OutcomeAnswered, Status: http.StatusOK, Backend: p.report}}, nil
}

// Guards against an entry that passes on a response with a rate limit and doesn't know the limit: the answer was lost on
// the way, and the entry got it by asking for the outcome.
func TestResolvedAnswerTellsTheRateLimit(t *testing.T) {
	report := &wire.BackendReport{Instance: "i-1", Limited: true, RateLimit: 7}
	d := newTestDispatcher(t, &resolvingPeer{report: report}, "a")
	req := &request{service: "deep", rank: call.LowestRank(call.ClassNormal), deadline: time.Now().Add(waitTimeout),
		retryBudget: retry.NewBudget(1), routed: true, maxUpstreams: 2}
	body, err := newRequestBody(strings.NewReader(""), 0)
	if err != nil {
		t.Fatal(err)
	}
	if res := d.callNonIdempotent(t.Context(), req, nil, body); res.outcome != call.OutcomeAnswered {
		t.Fatalf("outcome %v, want answered", res.outcome)
	}
	if got := d.backends.get("a"); got != report {
		t.Errorf("the entry knows %+v of the backend server, want %+v", got, report)
	}
}
