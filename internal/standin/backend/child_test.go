package backend

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"
)

// fakeDaemon simulates the call listener of a daemon. It requires a token for POST requests, sends the configured
// outcome, reason and status otherwise, and records all requests.
type fakeDaemon struct {
	requests []*http.Request
	bodies   []string
	outcome  string
	reason   string
	status   int
}

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	d.requests = append(d.requests, r)
	d.bodies = append(d.bodies, string(body))
	if r.Method == "POST" && r.Header.Get(headerToken) == "" {
		w.Header().Set(headerToken, "tok")
		w.Header().Set(headerOutcome, "not-run")
		w.WriteHeader(http.StatusPreconditionRequired)
		return
	}
	w.Header().Set(headerOutcome, d.outcome)
	w.Header().Set(headerReason, d.reason)
	w.WriteHeader(d.status)
	_, _ = io.WriteString(w, `{"name":"holdership-1"}`)
}

func serveWithChild(t *testing.T, d *fakeDaemon, method string) *httptest.ResponseRecorder {
	t.Helper()
	srv := httptest.NewServer(d)
	defer srv.Close()
	call := ChildCall{Service: "holdership", Method: method, Path: "/holders/{id}", ForwardBody: true}
	s := newServer(t, Config{
		Daemon: strings.TrimPrefix(srv.URL, "http://"),
		Routes: []Route{{Method: "POST", Path: "/blocks/{id}", Calls: []ChildCall{call}}},
	}, Options{})
	r := httptest.NewRequest("POST", "/blocks/b7", strings.NewReader("body"))
	r.Header.Set(HeaderRequestKey, "k")
	r.Header.Set(headerContext, "ctx")
	r.Header.Set("traceparent", "00-a-b-01")
	r.Header.Set(headerToken, "token of the parent")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// Guards against a child call without the context, trace header, body or token, and against one that sends the parent
// request's token.
func TestChildCallRepeatsWithToken(t *testing.T) {
	d := &fakeDaemon{outcome: "answered", status: 200}
	w := serveWithChild(t, d, "POST")
	if w.Code != 200 || !strings.Contains(w.Body.String(), `"children":[{"name":"holdership-1"}]`) {
		t.Fatalf("status %d, body %s", w.Code, w.Body)
	}
	if len(d.requests) != 2 {
		t.Fatalf("%d requests", len(d.requests))
	}
	for i, token := range []string{"", "tok"} {
		r := d.requests[i]
		h := r.Header
		if r.URL.Path != "/call/holdership/holders/b7" || h.Get(headerContext) != "ctx" || d.bodies[i] != "body" ||
			h.Get("traceparent") != "00-a-b-01" || h.Get(HeaderRequestKey) != "k/0" || h.Get(headerToken) != token {
			t.Errorf("request %d: %s %v %q", i, r.URL.Path, h, d.bodies[i])
		}
	}
}

// Guards against a parent request that reports success although a child call failed, or that omits the reason.
func TestChildCallNotAnswered(t *testing.T) {
	cases := []struct {
		outcome, reason string
		status, want    int
	}{
		{"not-run", "overload", 503, 503},
		{"unknown", "connection-lost", 504, 502},
		{"answered", "", 503, 502},
		{"answered", "", 500, 502},
		{"", "", 400, 503},
	}
	for _, c := range cases {
		w := serveWithChild(t, &fakeDaemon{outcome: c.outcome, reason: c.reason, status: c.status}, "GET")
		f := decode[errorBody](t, w)
		if w.Code != c.want || f.Reason != c.reason || f.Outcome != c.outcome || f.Service != "holdership" {
			t.Errorf("%+v: got %d %+v", c, w.Code, f)
		}
	}
}

// Guards against a truncated response that looks complete, and against connections accepted beyond the limit.
func TestTruncatedAnswerAndConnectionLimit(t *testing.T) {
	s := newServer(t, Config{}, Options{})
	srv := httptest.NewUnstartedServer(s)
	srv.Listener = LimitConnections(srv.Listener, 1)
	srv.Start()
	defer srv.Close()
	first, err := net.Dial("tcp", srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := first.SetDeadline(time.Now().Add(30 * time.Second)); err != nil { // fails if no data arrives
		t.Fatal(err)
	}
	client := &http.Client{Timeout: 30 * time.Second} // fails if the connection stays open
	if resp, err := client.Get(srv.URL); err == nil || os.IsTimeout(err) {
		t.Errorf("got %v, %v on a connection beyond the limit", resp, err)
	}
	_, _ = io.WriteString(first, "GET / HTTP/1.1\r\nHost: x\r\n"+HeaderTruncate+": 1\r\n\r\n")
	data, err := io.ReadAll(first)
	if err != nil || !strings.Contains(string(data), "Content-Length: ") || strings.HasSuffix(string(data), "}") {
		t.Errorf("got %q, %v", data, err)
	}
}
