package load

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeEntry is a test server in place of an entry daemon. Handler i serves request i; the last handler serves all
// further requests.
type fakeEntry struct {
	mu       sync.Mutex
	requests []*http.Request
	handlers []http.HandlerFunc
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	h := e.handlers[min(len(e.requests), len(e.handlers)-1)]
	e.requests = append(e.requests, r)
	e.mu.Unlock()
	h(w, r)
}

// respond returns a handler that sends the status and headers, and the key and the SHA-256 of the request as the body.
func respond(status int, outcome, reason, token string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		sum := sha256.Sum256(body)
		w.Header().Set(headerOutcome, outcome)
		w.Header().Set(headerReason, reason)
		if token != "" {
			w.Header().Set(headerToken, token)
		}
		w.WriteHeader(status)
		fmt.Fprintf(w, `{"key":%q,"sha256":%q}`, r.Header.Get(headerRequestKey), hex.EncodeToString(sum[:]))
	}
}

// dropConnection closes the connection without a response.
func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// runOne runs the load generator with one request and returns its result from the record.
func runOne(t *testing.T, resends int, op Operation, handlers ...http.HandlerFunc) (Result, *fakeEntry) {
	t.Helper()
	e := &fakeEntry{handlers: handlers}
	srv := httptest.NewServer(e)
	defer srv.Close()
	op.Name, op.Class, op.Service, op.Path, op.Weight = "op", "critical", "holdership", "/x/{n}", 1
	var record bytes.Buffer
	_, err := Run(t.Context(), Options{
		Entries: []string{strings.TrimPrefix(srv.URL, "http://")}, Mix: []Operation{op}, Rate: 1000, Count: 1,
		MaxInFlight: 1, Timeout: 5 * time.Second, Resends: resends, KeyPrefix: "k", Record: &record,
	})
	if err != nil {
		t.Fatal(err)
	}
	results, err := ReadRecord(&record)
	if err != nil || len(results) != 1 {
		t.Fatalf("the record has %d results, want 1; error %v", len(results), err)
	}
	return results[0], e
}

// tokens returns the token of each request received, "" for a request without one.
func (e *fakeEntry) tokens() []string {
	var out []string
	for _, r := range e.requests {
		out = append(out, r.Header.Get(headerToken))
	}
	return out
}

// Guards against a caller that uses a second token while the request may still run with the first, and against one that
// reports "not-run" while an earlier attempt may have run.
func TestTokensAcrossAttempts(t *testing.T) {
	issue := func(token string) http.HandlerFunc { return respond(428, "not-run", "token-required", token) }
	unknown := respond(504, "unknown", "connection-lost", "")
	refused := respond(503, "not-run", "overload", "")
	ok := respond(200, "answered", "", "")
	cases := []struct {
		name     string
		handlers []http.HandlerFunc
		tokens   string
		outcome  string
	}{
		{"token is used", []http.HandlerFunc{issue("a"), ok}, " a", "answered"},
		{"unknown keeps the token", []http.HandlerFunc{issue("a"), unknown, ok}, " a a", "answered"},
		{"a lost connection keeps the token", []http.HandlerFunc{issue("a"), dropConnection, ok}, " a a", "answered"},
		{"no other token after unknown", []http.HandlerFunc{issue("a"), unknown, issue("b")}, " a a a", "unknown"},
		{"not run takes a new token", []http.HandlerFunc{issue("a"), refused, issue("b"), ok}, " a  b", "answered"},
		{"not run after unknown stays unknown", []http.HandlerFunc{issue("a"), unknown, refused}, " a a a", "unknown"},
		{"a refused token rules out a run", []http.HandlerFunc{
			issue("a"), unknown, respond(503, "not-run", "token-refused", ""), issue("b"), ok,
		}, " a a  b", "answered"},
	}
	for _, c := range cases {
		res, e := runOne(t, 2, Operation{Method: "POST"}, c.handlers...)
		if got := strings.Join(e.tokens(), " "); got != c.tokens || res.Outcome != c.outcome {
			t.Errorf("%s: tokens %q, want %q; outcome %s (%s), want %s", c.name, got, c.tokens, res.Outcome, res.Reason,
				c.outcome)
		}
	}
}

// Guards against an answer to another request, or one with a wrong hash of the upload, that counts as a success.
func TestWrongAnswers(t *testing.T) {
	op := Operation{Method: "PUT", BodyBytes: 1000, Upload: true, Idempotent: true}
	if res, _ := runOne(t, 0, op, respond(200, "answered", "", "")); !res.Succeeded() {
		t.Errorf("correct answer: %+v", res)
	}
	for _, body := range []string{`{"key":"other"}`, `{"key":"k0","sha256":"00"}`, `{"key":"k0"`} {
		res, _ := runOne(t, 0, op, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerOutcome, "answered")
			_, _ = io.WriteString(w, body)
		})
		if res.Succeeded() || res.WrongAnswer == "" {
			t.Errorf("%s: %+v", body, res)
		}
	}
	otherRequest := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerOutcome, "answered")
		_, _ = io.WriteString(w, `{"key":"other"}`)
	}
	if res, _ := runOne(t, 0, Operation{Method: "GET"}, otherRequest); res.Succeeded() || res.WrongAnswer == "" {
		t.Errorf("answer to another request: %+v", res)
	}
	if res, _ := runOne(t, 0, op, dropConnection); res.Outcome != OutcomeUnknown || res.Reason != ReasonEntryLost {
		t.Errorf("lost connection: %+v", res)
	}
}

// Guards against a resend of the same request that uses another token, and against different answers that are accepted
// as the same.
func TestSendRequest(t *testing.T) {
	ok := respond(200, "answered", "", "")
	cases := []struct {
		name     string
		handlers []http.HandlerFunc
		tokens   string
		wantOK   bool
	}{
		{"same answer", []http.HandlerFunc{respond(428, "not-run", "token-required", "a"), ok}, " a a", true},
		{"other answer", []http.HandlerFunc{ok, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(headerOutcome, "answered")
			fmt.Fprintf(w, `{"key":%q}`, r.Header.Get(headerRequestKey))
		}}, " ", false},
		{"refused", []http.HandlerFunc{respond(503, "not-run", "overload", "")}, " ", false},
		{"failed", []http.HandlerFunc{respond(500, "answered", "", "")}, " ", false},
	}
	for _, c := range cases {
		e := &fakeEntry{handlers: c.handlers}
		srv := httptest.NewServer(e)
		o := Options{Entries: []string{strings.TrimPrefix(srv.URL, "http://")}, Timeout: 5 * time.Second}
		exchange, err := SendRequest(t.Context(), o, Operation{Service: "s", Method: "POST", Path: "/t"}, "k", 2)
		srv.Close()
		if err != nil {
			t.Fatal(err)
		}
		if err := exchange.Check(); (err == nil) != c.wantOK || strings.Join(e.tokens(), " ") != c.tokens {
			t.Errorf("%s: error %v, want success %v; tokens %q, want %q", c.name, err, c.wantOK, e.tokens(), c.tokens)
		}
	}
}

// Guards against a report that omits requests or miscounts a class.
func TestReport(t *testing.T) {
	r := newReport()
	for i := range 100 {
		r.add(Result{Class: "low", Outcome: "answered", Status: 200, Latency: time.Duration(100 - i)})
	}
	r.add(Result{Class: "critical", Outcome: "not-run", Reason: "overload", Status: 503, Attempts: 2})
	r.add(Result{Class: "critical", Outcome: "answered", Status: 502})
	r.add(Result{Class: "critical", Outcome: "unknown", Reason: "timeout"})
	r.add(Result{Class: "critical", Outcome: "answered", Status: 200, WrongAnswer: "hash"})
	r.finish(time.Second)
	c, low := r.Classes[0], r.Classes[1]
	if c.Class != "critical" || c.Sent != 4 || c.NotRun != 1 || c.Failed != 1 || c.Unknown != 1 || c.Wrong != 1 {
		t.Errorf("critical %+v", c)
	}
	if low.Succeeded != 100 || low.Latency != (Percentiles{P50: 50, P90: 90, P99: 99, Max: 100}) {
		t.Errorf("low %+v", low)
	}
	var table bytes.Buffer
	if err := r.WriteTable(&table); err != nil || !strings.Contains(table.String(), "not-run/overload 1, status/502 1") {
		t.Errorf("error %v, or the reasons of class critical are missing in the table\n%s", err, &table)
	}
	if _, err := json.Marshal(r); err != nil {
		t.Error(err)
	}
}

// Guards against options or operations out of range that are accepted.
func TestRunBounds(t *testing.T) {
	if _, err := Run(t.Context(), Options{Rate: MaxRate + 1, Resends: -1}); err == nil ||
		!strings.Contains(err.Error(), "rate") || !strings.Contains(err.Error(), "resends") {
		t.Errorf("options out of range: got error %v", err)
	}
	if _, err := ParseMix([]byte(`[{"name":"a","class":"urgent","weight":0}]`)); err == nil ||
		!strings.Contains(err.Error(), "mix[0].class is urgent") || !strings.Contains(err.Error(), "weight") {
		t.Errorf("operation out of range: got error %v", err)
	}
}

// Guards against a verifier that misses a violation or reports one where there is none. Request b ran twice, c ran
// although it was reported as not-run, a child call of d ran twice, and f was reported as answered but did not run.
func TestVerify(t *testing.T) {
	log := "POST a\nPOST a/0\nPOST b\nPOST b\nPOST c\nPOST d\nPOST d/0\nPOST d/0\nGET e\nGET e\nGET e/0\nGET e/0\nPOST g\n"
	runs := make(RunCounts)
	if err := runs.AddLog(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	results := []Result{
		{Key: "a", Outcome: "answered", Status: 200},
		{Key: "b", Outcome: "answered", Status: 200},
		{Key: "c", Outcome: "not-run", Reason: "overload"},
		{Key: "d", Outcome: "unknown"},
		{Key: "e", Outcome: "answered", Status: 200, Idempotent: true},
		{Key: "f", Outcome: "answered", Status: 200},
		{Key: "g", Outcome: "unknown"},
		{Key: "h", Outcome: "unknown"},
		{Key: "i", Outcome: "not-run"},
	}
	v := Verify(results, runs)
	var bad []string
	for _, text := range v.Violations {
		bad = append(bad, text[:1])
	}
	if !slices.Equal(bad, []string{"b", "c", "d", "f"}) || v.Requests != 9 || v.Runs != 13 {
		t.Errorf("%d requests, %d runs, violations %q", v.Requests, v.Runs, v.Violations)
	}
	if v.UnknownRun != 2 || v.UnknownNotRun != 1 {
		t.Errorf("unknown outcomes: %d ran and %d did not, want 2 and 1", v.UnknownRun, v.UnknownNotRun)
	}
}
