package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/core/membership"
)

// Guards against a call path that loses the method, path, query, body, header or status between caller and backend
// server.
func TestCallReachesBackendServerAndReturns(t *testing.T) {
	s := newTestCluster(t)
	entry := s.add("transfer", http.NotFoundHandler())
	s.add("lookup", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Backend", "yes")
		w.WriteHeader(http.StatusTeapot)
		fmt.Fprintf(w, "%s %s %s %s", r.Method, r.URL.RequestURI(), body, r.Header.Get("X-Caller"))
	}))
	s.ready()
	got := entry.send(t, "PUT", "lookup/blocks/a%2Fb?x=1", "hello", "X-Caller", "me")
	if got.status != http.StatusTeapot || got.outcome() != "answered" || got.header.Get("X-Backend") != "yes" {
		t.Fatalf("got %+v", got)
	}
	if want := "PUT /blocks/a%2Fb?x=1 hello me"; got.body != want {
		t.Fatalf("got body %q, want %q", got.body, want)
	}
}

// Guards against a non-idempotent request that runs without a token, against one that runs twice because its caller
// resends it through another entry, and against a resend that gets a different answer.
func TestTokenRunsOnce(t *testing.T) {
	s := newTestCluster(t)
	var runs atomic.Int64
	s.add("transfer", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "run %d", runs.Add(1))
	}))
	a := s.add("lookup", http.NotFoundHandler())
	b := s.add("lookup", http.NotFoundHandler())
	s.ready()
	first := a.send(t, "POST", "transfer/blocks", "x")
	token := first.header.Get(headerToken)
	if first.status != http.StatusPreconditionRequired || first.outcome() != "not-run" || token == "" {
		t.Fatalf("without a token: %+v", first)
	}
	if runs.Load() != 0 {
		t.Fatal("ran without a token")
	}
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			got := []*testDaemon{a, b}[i%2].send(t, "POST", "transfer/blocks", "x", headerToken, token)
			if got.outcome() != "answered" || got.body != "run 1" {
				t.Errorf("resend %d: %+v", i, got)
			}
		})
	}
	wg.Wait()
	if got := a.send(t, "POST", "transfer/blocks", "y", headerToken, token); got.status != http.StatusConflict {
		t.Fatalf("another request under the same token: %+v", got)
	}
	if runs.Load() != 1 {
		t.Fatalf("ran %d times", runs.Load())
	}
}

// Guards against a daemon that runs a request under a token of the daemon that ran earlier on the same address.
func TestTokenOfEarlierIncarnationIsUnknown(t *testing.T) {
	s := newTestCluster(t)
	entry := s.add("lookup", http.NotFoundHandler())
	var runs atomic.Int64
	up := s.add("transfer", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	s.ready()
	token := entry.send(t, "POST", "transfer/blocks", "x").header.Get(headerToken)
	s.restart(up)
	s.ready()
	got := entry.send(t, "POST", "transfer/blocks", "x", headerToken, token)
	if got.outcome() != "unknown" || runs.Load() != 0 {
		t.Fatalf("got %+v after %d runs", got, runs.Load())
	}
}

// Guards against a truncated response of the backend server that the caller receives as a complete one.
func TestTruncatedResponseIsDetected(t *testing.T) {
	s := newTestCluster(t)
	s.add("lookup", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := 1000
		if strings.HasPrefix(r.URL.Path, "/long") {
			size = 4 * maxAnswerPrefix
		}
		if r.URL.Path != "/long/chunked" {
			w.Header().Set("Content-Length", fmt.Sprint(2*size))
		}
		_, _ = w.Write(make([]byte, size))
		panic(http.ErrAbortHandler)
	}))
	s.ready()
	short := s.nodes[0].send(t, "GET", "lookup/short", "")
	if short.outcome() != "unknown" || short.status != http.StatusGatewayTimeout {
		t.Errorf("short answer: %d %v", short.status, short.header)
	}
	for _, path := range []string{"lookup/long", "lookup/long/chunked"} {
		if long := s.nodes[0].send(t, "GET", path, ""); long.bodyErr == nil {
			t.Errorf("%s: a truncated answer of %d bytes looks whole", path, len(long.body))
		}
	}
}

// Guards against a draining daemon that accepts new requests, or cuts off requests in flight or their child calls.
func TestDrainFinishesWorkInFlight(t *testing.T) {
	s := newTestCluster(t)
	started, release := make(chan struct{}), make(chan struct{})
	var up *testDaemon
	up = s.add("lookup", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		child := up.send(t, "GET", "transfer/child", "", headerContext, r.Header.Get(headerContext))
		fmt.Fprint(w, "child ", child.outcome())
	}))
	entry := s.add("transfer", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.ready()
	done := make(chan reply)
	go func() { done <- entry.send(t, "GET", "lookup/slow", "") }()
	<-started
	up.stop()
	waitUntil(t, "the daemon drains", up.drain.draining)
	if got := up.send(t, "GET", "transfer/new", ""); got.outcome() != "not-run" || got.reason() != "leaving" {
		t.Errorf("new call at the draining entry: %+v", got)
	}
	if got := entry.send(t, "GET", "lookup/new", ""); got.outcome() != "not-run" {
		t.Errorf("new call to the draining upstream: %+v", got)
	}
	close(release)
	if got := <-done; got.outcome() != "answered" || got.body != "child answered" {
		t.Errorf("call in flight: %+v", got)
	}
	if err := <-up.stopped; err != nil {
		t.Errorf("stopped with %v", err)
	}
}

// Guards against calls that fail, or that wait for an upstream that drains, while its announcement to leave hasn't
// arrived: the entry must use another upstream.
func TestCallGoesToAnotherUpstreamWhileOneLeaves(t *testing.T) {
	s := newTestCluster(t)
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	entry := s.add("transfer", http.NotFoundHandler())
	leaving := s.add("lookup", ok)
	s.add("lookup", ok)
	s.ready()
	leaving.beginSilentDrain()
	for i := range 50 {
		if got := entry.send(t, "GET", fmt.Sprintf("lookup/%d", i), ""); got.outcome() != "answered" {
			t.Fatalf("call %d: %+v", i, got)
		}
	}
}

// Guards against a crash of a backend server that is reported as not-run or makes no suspects, and against a request
// that goes on crashing backend servers: after at most two crashes it must be refused as quarantined.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	s := newTestCluster(t)
	var crashes atomic.Int64
	for range 3 {
		server := httptest.NewUnstartedServer(nil)
		server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/poison" {
				return
			}
			crashes.Add(1)
			server.Listener.Close()
			panic(http.ErrAbortHandler)
		})
		server.Start()
		t.Cleanup(server.CloseClientConnections)
		s.addWith("lookup", server)
	}
	s.ready()
	outcomes := map[string]int{}
	for range 6 {
		got := s.nodes[0].send(t, "GET", "lookup/poison", "")
		outcomes[got.outcome()+" "+got.reason()]++
		waitUntil(t, "the suspects have reached the others", func() bool {
			records := len(s.nodes[0].quarantine.records())
			return records > 0 && len(s.nodes[1].quarantine.records()) == records &&
				len(s.nodes[2].quarantine.records()) == records
		})
	}
	if crashes.Load() > 2 {
		t.Errorf("%d backend servers crashed, outcomes %v", crashes.Load(), outcomes)
	}
	if outcomes["not-run quarantined"] == 0 {
		t.Errorf("never quarantined: %v", outcomes)
	}
}

// Guards against malformed input that is accepted, that is refused without an error code, or that breaks the next call.
func TestMalformedRequestsAreRefusedWithACode(t *testing.T) {
	s := newTestCluster(t)
	n := s.add("lookup", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.ready()
	cases := []struct {
		path, name, value string
		status            int
		code              string
	}{
		{"lookup/a", headerToken, "!!", 400, "malformed-token"},
		{"lookup/a", headerTimeout, "5", 400, "malformed-timeout"},
		{"lookup/a", headerTimeout, "1h", 400, "malformed-timeout"},
		{"lookup/a", headerImportance, "urgent", 400, "malformed-importance"},
		{"lookup/a", headerRequestID, "a b", 400, "malformed-request-id"},
		{"lookup/a", headerContext, "zz", 400, "malformed-context"},
		{"lookup/a", headerContext, "AAAAAAAAAAEAAAAAAAAAAQ", 503, "parent-gone"},
		{"lookup/a", "X-Long", strings.Repeat("x", maxHTTPHeaderSize+8192), 431, ""},
		{"nothing/a", "X", "y", 404, "unknown-operation"},
	}
	for _, c := range cases {
		got := n.send(t, "GET", c.path, "", c.name, c.value)
		if got.status != c.status || got.code() != c.code {
			t.Errorf("%s %.20q on %s: got %d %q, want %d %q", c.name, c.value, c.path, got.status, got.code(), c.status, c.code)
		}
	}
	if got := n.send(t, "GET", "lookup/a", ""); got.outcome() != "answered" {
		t.Errorf("call after malformed ones: %+v", got)
	}
}

// Guards against retries that multiply along a chain of calls: a failing service at its end must see no more attempts
// than the root request's budget allows, at any depth.
func TestRetriesStayBoundedAlongTheChain(t *testing.T) {
	s := newTestCluster(t)
	var attempts atomic.Int64
	var lookup *testDaemon
	lookup = s.add("lookup", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		depth := strings.Count(r.URL.Path, "/d")
		if depth < 4 {
			child := lookup.send(t, "GET", "lookup"+r.URL.Path+"/d", "", headerContext, r.Header.Get(headerContext))
			w.WriteHeader(child.status)
			return
		}
		attempts.Add(1)
		panic(http.ErrAbortHandler)
	}))
	s.ready()
	s.nodes[0].send(t, "GET", "lookup/root", "")
	if n := attempts.Load(); n < 1 || n > 4 {
		t.Errorf("%d attempts at the end of the chain, want 1 to 4 with a budget of 3 retries", n)
	}
}

// Guards against an idempotent call that isn't retried after its response was lost, and against retries by net/http,
// which the budget doesn't count.
func TestLostIdempotentCallIsRetriedWithinTheBudget(t *testing.T) {
	for _, failures := range []int64{2, 100} {
		s := newTestCluster(t)
		var attempts atomic.Int64
		s.add("lookup", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/x" && attempts.Add(1) <= failures {
				panic(http.ErrAbortHandler)
			}
		}))
		s.ready()
		// net/http repeats a request by itself only on a connection that was used before.
		s.nodes[0].send(t, "GET", "lookup/warm-up", "")
		got := s.nodes[0].send(t, "GET", "lookup/x", "")
		switch {
		case failures == 2 && (got.outcome() != "answered" || attempts.Load() != 3):
			t.Errorf("two failures: %d attempts, %+v", attempts.Load(), got)
		case failures == 100 && (got.outcome() != "unknown" || attempts.Load() < 2 || attempts.Load() > 4):
			t.Errorf("failing service: %d attempts with a budget of 3 retries, %+v", attempts.Load(), got)
		}
	}
}

// Guards against a daemon that other daemons still see serving after its backend server has stopped.
func TestUnreachableBackendServerIsAnnounced(t *testing.T) {
	s := newTestCluster(t)
	a := s.add("lookup", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	b := s.add("lookup", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.ready()
	a.backend.CloseClientConnections()
	a.backend.Close()
	waitUntil(t, "the backend server's end is announced", func() bool {
		b.send(t, "GET", "lookup/x", "")
		for _, r := range b.members.records() {
			if r.Address == a.settings.PeerAddress {
				return r.State == membership.StateStarting
			}
		}
		return false
	})
	for i := range 20 {
		if got := b.send(t, "GET", fmt.Sprintf("lookup/%d", i), ""); got.outcome() != "answered" {
			t.Fatalf("call %d: %+v", i, got)
		}
	}
}

// Guards against an entry that refuses a resend itself and reports it as not-run, although the request has run through
// another entry.
func TestEntryReportsResendAsUnknown(t *testing.T) {
	s := newTestCluster(t)
	s.add("transfer", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	a := s.add("lookup", http.NotFoundHandler())
	b := s.add("lookup", http.NotFoundHandler())
	s.ready()
	token := a.send(t, "POST", "transfer/x", "x").header.Get(headerToken)
	if got := a.send(t, "POST", "transfer/x", "x", headerToken, token); got.outcome() != "answered" {
		t.Fatalf("first: %+v", got)
	}
	refusals := [][]string{
		{"POST", "transfer/x", headerTimeout, "1h"},
		{"POST", "nothing/x", headerTimeout, "1s"},
		{"POST", "transfer/x", headerContext, "AAAAAAAAAAEAAAAAAAAAAQ"},
	}
	for _, r := range refusals {
		if got := b.send(t, r[0], r[1], "x", headerToken, token, r[2], r[3]); got.outcome() != "unknown" {
			t.Errorf("%v: %+v", r, got)
		}
	}
	b.beginSilentDrain()
	if got := b.send(t, "POST", "transfer/x", "x", headerToken, token); got.outcome() != "unknown" {
		t.Errorf("draining entry: %+v", got)
	}
}

// Guards against a crash of the entry on a path whose length differs between its escaped and unescaped form.
func TestEscapedServiceNameIsRefused(t *testing.T) {
	s := newTestCluster(t)
	n := s.add("lookup", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.ready()
	for _, path := range []string{"%6cookup/a", "a%2Fb", "%41", "lookup//a/../b"} {
		if got := n.send(t, "GET", path, ""); got.status != http.StatusNotFound {
			t.Errorf("%s: %+v", path, got)
		}
	}
}

// Guards against a non-idempotent request that is canceled after its dispatch because its caller has disconnected.
func TestDispatchedTransferIsNotCancelledWithItsCaller(t *testing.T) {
	s := newTestCluster(t)
	started, release := make(chan struct{}), make(chan struct{})
	var canceled atomic.Bool
	s.add("transfer", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		canceled.Store(r.Context().Err() != nil)
		fmt.Fprint(w, "done")
	}))
	entry := s.add("lookup", http.NotFoundHandler())
	s.ready()
	token := entry.send(t, "POST", "transfer/x", "x").header.Get(headerToken)
	ctx, hangUp := context.WithCancel(t.Context())
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+entry.settings.CallAddress+"/call/transfer/x",
			strings.NewReader("x"))
		req.Header.Set(headerToken, token)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	<-started
	hangUp()
	<-gone
	resend := make(chan reply)
	go func() { resend <- entry.send(t, "POST", "transfer/x", "x", headerToken, token) }()
	time.Sleep(50 * time.Millisecond) // in this time a wrong cancellation would reach the backend server
	close(release)
	if got := <-resend; got.outcome() != "answered" || got.body != "done" || canceled.Load() {
		t.Errorf("canceled %v, resend %+v", canceled.Load(), got)
	}
}
