package guavapoint

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/outcome"
)

// startEntries starts one HTTP server per handler, in place of an entry daemon. It returns a client that begins with
// the first one and resends without a backoff.
func startEntries(t testing.TB, retries int, handlers ...http.HandlerFunc) *Client {
	var entries []string
	for _, h := range handlers {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		entries = append(entries, strings.TrimPrefix(s.URL, "http://"))
	}
	c, err := NewClient(Config{Entries: entries, Retries: retries})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	c.preferred.Store(0)
	c.backoff = func(int) time.Duration { return 0 }
	return c
}

// abortConnection closes the connection, before the response or in the middle of it. It panics and must be called from
// a handler.
func abortConnection() { panic(http.ErrAbortHandler) }

// writeAnswer writes the response to an answered request.
func writeAnswer(w http.ResponseWriter, body string) {
	w.Header().Set(headerOutcome, "answered")
	_, _ = w.Write([]byte(body))
}

// writeError writes the response of a daemon that has no answer, with an error body.
func writeError(w http.ResponseWriter, status int, outcome call.Outcome, reason Reason) {
	w.Header().Set(headerOutcome, outcome.String())
	w.Header().Set(headerReason, string(reason))
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"code":%q,"message":"no"}`, reason)
}

// Guards against headers that the daemon doesn't receive, and against a response that is altered.
func TestRequestAndResponsePassThrough(t *testing.T) {
	c := startEntries(t, 0, func(w http.ResponseWriter, r *http.Request) {
		left, err := time.ParseDuration(r.Header.Get(headerTimeout))
		if err != nil || left > 2*time.Second || left <= 0 {
			t.Errorf("timeout %v, %v", left, err)
		}
		got := fmt.Sprintln(r.URL.RequestURI(), r.ContentLength, r.TransferEncoding, r.Header[headerImportance],
			r.Header[headerRequestID], r.Header[headerContext], r.Header["Traceparent"], r.Header["X-Own"], r.Header[headerToken])
		if want := "/call/lookup/blocks/7?x=1 0 [] [high] [id-1] [ctx] [tp] [1 2] []\n"; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		w.Header().Set(headerUpstream, "10.0.0.1:1")
		w.Header().Set("Location", "/elsewhere")
		w.Header().Set(headerOutcome, "answered")
		w.WriteHeader(http.StatusFound) // a redirect is part of the response and is not followed
	})
	request := &Request{
		Service: "lookup", Path: "/blocks/7?x=1", Importance: "high", Timeout: 2 * time.Second, ID: "id-1",
		Header: http.Header{"X-Own": {"1", "2"}, "guavapoint-token": {"forged"}},
	}
	request.ChildOf(&http.Request{Header: http.Header{headerContext: {"ctx"}, headerTraceParent: {"tp"}}})
	got, err := c.Do(context.Background(), request)
	if err != nil || got.Status != http.StatusFound || got.Upstream != "10.0.0.1:1" || got.Header.Get(headerOutcome) != "" {
		t.Fatalf("%+v, %v", got, err)
	}
}

// Guards against a request that is resent more often than Config.Retries, under another ID, or by net/http itself.
func TestLostConnectionsStayWithinBound(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		var calls atomic.Int32
		c := startEntries(t, 2, func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(headerRequestID) != "id" {
				t.Errorf("request ID %q", r.Header.Get(headerRequestID))
			}
			if calls.Add(1) > 1 {
				abortConnection()
			}
			writeAnswer(w, "") // leaves an idle connection to reuse; net/http would repeat a GET that fails on it
		})
		_, err := c.Do(context.Background(), &Request{Service: "s", ID: "id"})
		if err != nil {
			t.Fatal(err)
		}
		_, err = c.Do(context.Background(), &Request{Service: "s", ID: "id", Method: method})
		unknown, ok := errors.AsType[*UnknownError](err)
		if !ok || unknown.Reason != ReasonConnectionLost || unknown.Resends != 2 || calls.Load() != 4 {
			t.Fatalf("%s: %v; %d calls, want 4", method, err, calls.Load())
		}
	}
}

// Guards against a truncated response that is returned as complete, for each way in which HTTP marks the end of a body,
// and against a response that isn't from a daemon.
func TestTruncatedResponseIsNotWhole(t *testing.T) {
	for name, raw := range map[string]string{
		"declared length":   "Guavapoint-Outcome: answered\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks":            "Guavapoint-Outcome: answered\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"end of connection": "Guavapoint-Outcome: answered\r\nConnection: close\r\n\r\nhalf",
		"no outcome":        "Content-Length: 4\r\n\r\nhalf",
	} {
		c := startEntries(t, 0, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n"+raw)
			_ = conn.Close()
		}, func(w http.ResponseWriter, _ *http.Request) { writeAnswer(w, "whole") })
		got, err := c.Do(context.Background(), &Request{Service: "s"})
		if err != nil || string(got.Body) != "whole" || got.Resends != 1 {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
	}
}

// Guards against an unknown outcome for a request that was not sent, because no entry daemon accepted a connection.
func TestNoEntryIsNotRun(t *testing.T) {
	c := startEntries(t, -1, nil) // no resends
	c.entries[0] = "127.0.0.1:1"
	_, err := c.Do(context.Background(), &Request{Service: "s"})
	if notRun, ok := errors.AsType[*NotRunError](err); !ok || notRun.Reason != ReasonNoEntry {
		t.Fatal(err)
	}
}

// Guards against the outcome "not run" for a request that was sent before its context ended.
func TestCanceledAfterSendIsUnknown(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	c := startEntries(t, 0, func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	})
	_, err := c.Do(ctx, &Request{Service: "s"})
	unknown, ok := errors.AsType[*UnknownError](err)
	if !ok || unknown.Reason != ReasonCanceled || !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
}

// Guards against resends of refused requests, which would add to an overload, and of requests for which a resend can't
// give a more definite outcome.
func TestFinalReportsAreNotResent(t *testing.T) {
	for reason, outcome := range map[Reason]call.Outcome{
		ReasonOverload: call.OutcomeNotRun, ReasonDeadline: call.OutcomeNotRun, ReasonQuarantined: call.OutcomeNotRun,
		ReasonBackendCrashed: call.OutcomeUnknown,
	} {
		calls := 0
		c := startEntries(t, 0, func(w http.ResponseWriter, _ *http.Request) {
			calls++
			writeError(w, http.StatusServiceUnavailable, outcome, reason)
		})
		_, err := c.Do(context.Background(), &Request{Service: "s"})
		notRun, _ := errors.AsType[*NotRunError](err)
		if calls != 1 || (notRun != nil) != (outcome == call.OutcomeNotRun) || notRun != nil && notRun.Code != string(reason) {
			t.Errorf("%s: %d calls, %v", reason, calls, err)
		}
	}
}

// Guards against invalid requests that are sent to a daemon.
func TestInvalidRequests(t *testing.T) {
	c := startEntries(t, 0, func(http.ResponseWriter, *http.Request) { t.Error("sent") })
	for _, r := range []Request{
		{}, {Service: "a/b"}, {Service: "s", Path: "x"}, {Service: "s", Timeout: time.Hour}, {Service: "s", ID: "a b"},
		{Service: "s", Importance: "urgent"}, {Service: "s", Method: "a b"}, {Service: "s", Path: "/%zz"},
	} {
		_, err := c.Do(context.Background(), &r)
		if _, ok := errors.AsType[*RequestError](err); !ok {
			t.Errorf("%+v: %v", r, err)
		}
	}
}

// fault is a fault injected into one attempt.
type fault string

const (
	faultNone         fault = "none"
	faultLostBefore   fault = "lost before it arrived"
	faultLostAfter    fault = "ran, response lost"
	faultTruncated    fault = "ran, response truncated"
	faultDelayed      fault = "connection lost, request arrives later"
	faultTimedOut     fault = "ran, entry daemon lost its upstream"
	faultEntryLeaving fault = "entry daemon refuses with leaving"
	faultEntryRefused fault = "entry daemon refuses with overload"
	faultRefused      fault = "upstream refuses before dispatch"
	faultCrashed      fault = "backend server dies in the run"
)

var (
	// repairable are the faults after which a resend succeeds.
	repairable = []fault{
		faultNone, faultLostBefore, faultLostAfter, faultTruncated, faultDelayed, faultTimedOut, faultEntryLeaving,
	}
	allFaults = append(slices.Clone(repairable), faultEntryRefused, faultRefused, faultCrashed)
)

// fakeUpstream is an upstream with a real token table, together with entry daemons that inject faults.
type fakeUpstream struct {
	mu            sync.Mutex
	idempotent    bool
	table         *outcome.Table
	faults        []fault      // faults of the next attempts, in order; later attempts have none
	delayedTokens []call.Token // tokens of requests with faultDelayed that have not arrived yet
	runs          int          // runs of the request
	attempts      int          // attempts, without those that were answered with a new token
	tokens        uint32       // tokens issued, from which the nonces are made
}

// testTime is the time of all operations on the token table.
var testTime = time.Unix(1_000_000, 0)

// deliverDelayed runs the requests that were delayed.
func (s *fakeUpstream) deliverDelayed() {
	for _, tok := range s.delayedTokens {
		_, _, _ = s.run(tok, faultNone)
	}
	s.delayedTokens = nil
}

// run handles a request that arrived at the upstream. An idempotent request runs each time, as if it had a new token.
func (s *fakeUpstream) run(tok call.Token, f fault) (outcome.Decision, *outcome.Answer, error) {
	a := outcome.Answer{Status: http.StatusOK, Body: []byte("whole")}
	if f == faultCrashed {
		a = outcome.LostAnswer(call.ReasonBackendCrashed)
	}
	if s.idempotent {
		tok = s.newToken()
	}
	if f == faultRefused {
		s.table.Refuse(testTime, tok)
	}
	decision, kept, err := s.table.Begin(testTime, tok, outcome.Fingerprint{})
	if decision != outcome.Run {
		return decision, kept, err
	}
	s.runs++
	s.table.Finish(testTime, tok, a)
	return outcome.Replay, &a, nil
}

// newToken returns a new token and issues it.
func (s *fakeUpstream) newToken() call.Token {
	var nonce [call.NonceSize]byte
	s.tokens++
	binary.BigEndian.PutUint32(nonce[:], s.tokens)
	tok := s.table.NewToken(testTime, "transfer", "10.0.0.1:1", nonce)
	_ = s.table.Issue(testTime, tok) // a token whose issue fails is rejected when it is used
	return tok
}

// ServeHTTP is the handler of all entry daemons. It applies the next fault to each attempt that has a token or is
// idempotent.
func (s *fakeUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tok, err := call.ParseToken(r.Header.Get(headerToken))
	if err != nil && !s.idempotent {
		w.Header().Set(headerToken, s.newToken().String())
		writeError(w, http.StatusPreconditionRequired, call.OutcomeNotRun, ReasonTokenRequired)
		return
	}
	s.attempts++
	f := faultNone
	if len(s.faults) > 0 {
		f, s.faults = s.faults[0], s.faults[1:]
	}
	if f == faultDelayed {
		s.delayedTokens = append(s.delayedTokens, tok)
		abortConnection()
	}
	defer s.deliverDelayed()
	s.serve(w, tok, f)
}

// serve handles an attempt with fault f.
func (s *fakeUpstream) serve(w http.ResponseWriter, tok call.Token, f fault) {
	switch f {
	case faultLostBefore:
		abortConnection()
	case faultEntryRefused:
		writeError(w, http.StatusServiceUnavailable, call.OutcomeNotRun, ReasonOverload)
		return
	case faultEntryLeaving:
		writeError(w, http.StatusServiceUnavailable, call.OutcomeNotRun, ReasonLeaving)
		return
	}
	decision, kept, err := s.run(tok, f)
	reported, reason := outcome.CallOutcome(decision, kept, err)
	switch {
	case f == faultLostAfter:
		abortConnection()
	case f == faultTimedOut:
		writeError(w, http.StatusGatewayTimeout, call.OutcomeUnknown, ReasonConnectionLost)
	case reported != call.OutcomeAnswered:
		writeError(w, http.StatusServiceUnavailable, reported, reason)
	case f == faultTruncated:
		w.Header().Set("Content-Length", "5")
		writeAnswer(w, "wh")
		abortConnection()
	default:
		writeAnswer(w, string(kept.Body))
	}
}

// checkOutcome compares the outcome that the caller got with the number of runs, after delayed requests have arrived.
func (s *fakeUpstream) checkOutcome(t *rapid.T, got *Response, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverDelayed()
	notRun, _ := errors.AsType[*NotRunError](err)
	unknown, _ := errors.AsType[*UnknownError](err)
	switch {
	case !s.idempotent && s.runs > 1:
		t.Fatalf("ran %d times", s.runs)
	case err == nil && (string(got.Body) != "whole" || s.runs == 0):
		t.Fatalf("response %q after %d runs", got.Body, s.runs)
	case notRun != nil && s.runs > 0:
		t.Fatalf("reported \"not run\" after %d runs: %v", s.runs, err)
	case err != nil && notRun == nil && unknown == nil:
		t.Fatal(err)
	case unknown != nil && !s.idempotent && unknown.Token == "":
		t.Fatal("unknown outcome without a token")
	}
}

// Guards against a second run of a non-idempotent request, the outcome "not run" for a request that ran or runs later,
// an incomplete response, more resends than Config.Retries, an unknown outcome without the token, and failures despite
// resends when all faults are repairable.
func TestOutcomesUnderFaults(t *testing.T) {
	var s *fakeUpstream
	entry := func(w http.ResponseWriter, r *http.Request) { s.ServeHTTP(w, r) }
	c := startEntries(t, DefaultRetries, entry, entry)
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom(allFaults), 0, 8).Draw(t, "faults")
		s = &fakeUpstream{
			idempotent: rapid.Bool().Draw(t, "idempotent"), faults: faults, table: outcome.NewTable(outcome.Config{}, 1),
		}
		request := Request{Service: "transfer", Method: "POST", Body: []byte("x"), ID: "id"}
		got, err := c.Do(context.Background(), &request)
		s.checkOutcome(t, got, err)
		unrepairable := func(f fault) bool { return !slices.Contains(repairable, f) }
		if len(faults) <= DefaultRetries && !slices.ContainsFunc(faults, unrepairable) && err != nil {
			t.Fatalf("%d faults within the bound: %v", len(faults), err)
		}
		if s.attempts > 1+DefaultRetries {
			t.Fatalf("%d attempts", s.attempts)
		}
		if unknown, ok := errors.AsType[*UnknownError](err); ok { // the caller later asks for the outcome
			if s.idempotent {
				s.runs = 0 // without a token, the next Do reports only on its own attempts
			}
			request.Token = unknown.Token
			got, err = c.Do(context.Background(), &request)
			s.checkOutcome(t, got, err)
		}
	})
}
