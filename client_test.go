package guavapoint

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// serve starts one entry daemon per handler and returns a client that begins with the first and doesn't wait.
func serve(t testing.TB, retries int, handlers ...http.HandlerFunc) *Client {
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
	t.Cleanup(c.transport.(*http.Transport).CloseIdleConnections)
	c.preferred.Store(0)
	c.backoff = func(int) time.Duration { return 0 }
	return c
}

// cut ends the connection without, or in the middle of, a response.
func cut(w http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}

func answer(w http.ResponseWriter, body string) {
	w.Header().Set(headerOutcome, "answered")
	_, _ = w.Write([]byte(body))
}

func refuse(w http.ResponseWriter, outcome, reason string) {
	w.Header().Set(headerOutcome, outcome)
	w.Header().Set(headerReason, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = fmt.Fprintf(w, `{"code":%q,"message":"no"}`, reason)
}

// Guards against headers that the daemon doesn't see, and a response that is altered.
func TestRequestAndResponsePassThrough(t *testing.T) {
	c := serve(t, 0, func(w http.ResponseWriter, r *http.Request) {
		want := http.Header{
			"Guavapoint-Importance": {"high"}, "Guavapoint-Request-Id": {"id-1"}, "Guavapoint-Context": {"ctx"},
			"Traceparent": {"tp"}, "X-Own": {"1", "2"},
		}
		for name, values := range want {
			if fmt.Sprint(r.Header[name]) != fmt.Sprint(values) {
				t.Errorf("%s: %q", name, r.Header[name])
			}
		}
		if left, err := time.ParseDuration(r.Header.Get(headerTimeout)); err != nil || left > 2*time.Second || left <= 0 {
			t.Errorf("timeout %v, %v", left, err)
		}
		if r.URL.RequestURI() != "/call/lookup/blocks/7?x=1" || r.Header.Get(headerToken) != "" {
			t.Errorf("path %s, token %q", r.URL.RequestURI(), r.Header.Get(headerToken))
		}
		if r.ContentLength != 0 || len(r.TransferEncoding) > 0 {
			t.Errorf("length %d, encoding %v", r.ContentLength, r.TransferEncoding)
		}
		w.Header().Set(headerUpstream, "10.0.0.1:1")
		w.Header().Set("Location", "/elsewhere")
		w.Header().Set(headerOutcome, "answered")
		w.WriteHeader(http.StatusFound) // a redirect is part of the response and is not followed
	})
	got, err := c.Do(context.Background(), &Request{
		Service: "lookup", Path: "/blocks/7?x=1", Importance: "high", Timeout: 2 * time.Second, ID: "id-1", Context: "ctx",
		TraceParent: "tp", Header: http.Header{"X-Own": {"1", "2"}, "guavapoint-token": {"forged"}},
	})
	if err != nil || got.Status != http.StatusFound || got.Upstream != "10.0.0.1:1" || got.Header.Get(headerOutcome) != "" {
		t.Fatalf("%+v, %v", got, err)
	}
}

// Guards against a request that is resent beyond the bound, under another ID, or by net/http itself.
func TestLostConnectionsStayWithinBound(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		var mu sync.Mutex // the end of a connection doesn't order memory for the race detector
		calls, ids := 0, map[string]bool{}
		warm := true
		entry := func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if warm { // leaves a connection to reuse, on which net/http repeats a GET
				answer(w, "")
				return
			}
			calls++
			ids[r.Header.Get(headerRequestID)] = true
			cut(w)
		}
		c := serve(t, 2, entry)
		if _, err := c.Do(context.Background(), &Request{Service: "s"}); err != nil {
			t.Fatal(err)
		}
		mu.Lock()
		warm = false
		mu.Unlock()
		_, err := c.Do(context.Background(), &Request{Service: "s", Method: method})
		var unknown *UnknownError
		if !errors.As(err, &unknown) || unknown.Reason != ReasonConnectionLost || unknown.Resends != 2 {
			t.Fatalf("%s: %v", method, err)
		}
		mu.Lock()
		defer mu.Unlock()
		if calls != 3 || len(ids) != 1 {
			t.Fatalf("%s: %d calls with %d IDs, want 3 with 1", method, calls, len(ids))
		}
	}
}

// Guards against a truncated response that is returned as whole, in each way in which HTTP marks the end of a body.
func TestTruncatedResponseIsNotWhole(t *testing.T) {
	truncated := map[string]http.HandlerFunc{
		"declared length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			answer(w, "half")
			cut(w)
		},
		"chunks": func(w http.ResponseWriter, _ *http.Request) {
			answer(w, "half")
			w.(http.Flusher).Flush()
			cut(w)
		},
		"end of connection": func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nGuavapoint-Outcome: answered\r\n\r\nhalf")
			_ = conn.Close()
		},
		"no outcome": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("half")) },
	}
	for name, h := range truncated {
		c := serve(t, 0, h, func(w http.ResponseWriter, _ *http.Request) { answer(w, "whole") })
		got, err := c.Do(context.Background(), &Request{Service: "s"})
		if err != nil || string(got.Body) != "whole" || got.Resends != 1 {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
	}
}

// Guards against "unknown" without need: no entry daemon accepted a connection, so that nothing was sent.
func TestNoEntryIsNotRun(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	c, err := NewClient(Config{Entries: []string{strings.TrimPrefix(s.URL, "http://")}, Retries: -1})
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Do(context.Background(), &Request{Service: "s"})
	var notRun *NotRunError
	if !errors.As(err, &notRun) || notRun.Reason != ReasonNoEntry {
		t.Fatal(err)
	}
}

// Guards against "not run" for a request that was sent before its context ended.
func TestCanceledAfterSendIsUnknown(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	c := serve(t, 0, func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	})
	_, err := c.Do(ctx, &Request{Service: "s"})
	var unknown *UnknownError
	if !errors.As(err, &unknown) || unknown.Reason != ReasonCanceled || !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
}

// Guards against resends of refused requests, which would add to an overload, and of requests whose outcome is final.
func TestFinalReportsAreNotResent(t *testing.T) {
	for _, reason := range []call.Reason{ReasonOverload, ReasonDeadline, ReasonQuarantined, ReasonBackendCrashed} {
		calls := 0
		outcome := "not-run"
		if reason == ReasonBackendCrashed {
			outcome = "unknown"
		}
		c := serve(t, 0, func(w http.ResponseWriter, _ *http.Request) {
			calls++
			refuse(w, outcome, string(reason))
		})
		_, err := c.Do(context.Background(), &Request{Service: "s"})
		var notRun *NotRunError
		if calls != 1 || errors.As(err, &notRun) != (outcome == "not-run") || !strings.Contains(err.Error(), string(reason)) {
			t.Errorf("%s: %d calls, %v", reason, calls, err)
		}
	}
}

// Guards against invalid requests that reach a daemon.
func TestInvalidRequests(t *testing.T) {
	c := serve(t, 0, func(http.ResponseWriter, *http.Request) { t.Error("sent") })
	for _, r := range []Request{
		{}, {Service: "a/b"}, {Service: "s", Path: "x"}, {Service: "s", Timeout: time.Hour}, {Service: "s", ID: "a b"},
		{Service: "s", Importance: "urgent"}, {Service: "s", Method: "a b"}, {Service: "s", Path: "/%zz"},
	} {
		var invalid *RequestError
		if _, err := c.Do(context.Background(), &r); !errors.As(err, &invalid) {
			t.Errorf("%+v: %v", r, err)
		}
	}
}
