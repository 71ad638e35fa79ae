package backend

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func newServer(t *testing.T, cfg Config, o Options) *Server {
	t.Helper()
	cfg.Name, cfg.Service = "lookup-1", "lookup"
	cfg.Slots = max(cfg.Slots, 1)
	s, err := New(cfg, o)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func serve(s *Server, method, path, key, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set(HeaderRequestKey, key)
	s.ServeHTTP(w, r)
	return w
}

func decode[T any](t *testing.T, w *httptest.ResponseRecorder) T {
	t.Helper()
	var v T
	if err := json.Unmarshal(w.Body.Bytes(), &v); err != nil {
		t.Fatalf("%v in %q", err, w.Body)
	}
	return v
}

// Guards against more running or waiting requests than configured. Of 5 requests that take 1 s, on 2 slots with 2
// waiting, 2 end after 1 s, 2 after 2 s, and 1 is refused at once with status 503.
func TestSlotLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, Config{Slots: 2, Waiting: 2, ServiceTime: Duration(time.Second)}, Options{})
		start := time.Now()
		got := make(chan string, 5)
		for range 5 {
			go func() {
				w := serve(s, "GET", "/blocks/1", "k", "")
				got <- http.StatusText(w.Code) + " " + time.Since(start).String()
			}()
		}
		count := map[string]int{}
		for range 5 {
			count[<-got]++
		}
		if count["OK 1s"] != 2 || count["OK 2s"] != 2 || count["Service Unavailable 0s"] != 1 {
			t.Errorf("got %v", count)
		}
		if st := s.stats(""); st.PeakRunning != 2 || st.Runs["k"] != 4 || st.Refused != 1 || st.Running != 0 {
			t.Errorf("stats %+v", st)
		}
	})
}

// Guards against a canceled request that keeps its slot.
func TestCanceledRequestFreesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, Config{ServiceTime: Duration(time.Hour)}, Options{})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		s.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "/", nil).WithContext(ctx))
		if st := s.stats(""); st.Canceled != 1 || st.Running != 0 || len(s.slots) != 0 {
			t.Errorf("stats %+v, %d slots taken", st, len(s.slots))
		}
	})
}

// Guards against a cold start or a slowdown that doesn't change the service time.
func TestServiceTimeFactors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cold := ColdStart{Duration: Duration(10 * time.Second), Factor: 5}
		s := newServer(t, Config{ServiceTime: Duration(time.Second), ColdStart: cold}, Options{})
		if got := s.serviceTime(Route{}); got != 5*time.Second {
			t.Errorf("at the start %v", got)
		}
		time.Sleep(5 * time.Second)
		if got := s.serviceTime(Route{}); got != 3*time.Second {
			t.Errorf("in the middle %v", got)
		}
		time.Sleep(5 * time.Second)
		serve(s, "POST", "/_slow?factor=2", "", "")
		if got := s.serviceTime(Route{}); got != 2*time.Second {
			t.Errorf("slowed down %v", got)
		}
	})
}

// Guards against health and load endpoints that report current values although a lag or fixed values are configured.
func TestDelayedAndFixedHealthAndLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, Config{Health: Health{Lag: Duration(time.Second)}}, Options{})
		codes := []int{serve(s, "GET", "/_health", "", "").Code}
		s.Drain()
		for range 3 {
			codes = append(codes, serve(s, "GET", "/_health", "", "").Code)
			time.Sleep(time.Second)
		}
		if codes[1] != 200 || codes[2] != 200 || codes[3] != 503 {
			t.Errorf("lagging health %v", codes)
		}
		seven := 7
		s = newServer(t, Config{Health: Health{Fixed: "serving"}, Load: Load{Fixed: &seven}}, Options{})
		s.Drain()
		if w := serve(s, "GET", "/_health", "", ""); w.Code != 200 {
			t.Errorf("fixed health %d", w.Code)
		}
		if got := decode[loadReport](t, serve(s, "GET", "/_load", "", "")); got.Running != 7 {
			t.Errorf("fixed load %+v", got)
		}
	})
}

// Guards against a draining server that runs new requests.
func TestDrainRefusesNewRequests(t *testing.T) {
	s := newServer(t, Config{}, Options{})
	serve(s, "POST", "/_drain", "", "")
	if w := serve(s, "GET", "/", "k", ""); w.Code != 503 || s.stats("").Started != 0 {
		t.Errorf("status %d, stats %+v", w.Code, s.stats(""))
	}
}

// Guards against a run that is missing from the run log because the process crashed during it.
func TestRunIsLoggedBeforeCrash(t *testing.T) {
	var log bytes.Buffer
	crashed := ""
	s := newServer(t, Config{CrashPath: "/crash/"}, Options{RunLog: &log, Crash: func() { crashed = log.String() }})
	serve(s, "GET", "/crash/1", "k1", "")
	if crashed != "GET k1\n" {
		t.Errorf("log at the crash %q", crashed)
	}
}

// Guards against an upload hash that doesn't cover the whole body.
func TestUploadHash(t *testing.T) {
	cfg := Config{Routes: []Route{{Method: "PUT", Path: "/documents/{id}", Upload: true}}}
	body := strings.Repeat("0123456789abcdef", MaxBodySize/8)
	sum := sha256.Sum256([]byte(body))
	got := decode[responseBody](t, serve(newServer(t, cfg, Options{}), "PUT", "/documents/1", "k", body))
	if got.SHA256 != hex.EncodeToString(sum[:]) || got.Bytes != int64(len(body)) || got.Key != "k" {
		t.Errorf("got %+v", got)
	}
}

// Guards against invalid configurations that are accepted and fail only later: missing fields, conflicting routes,
// child calls without a daemon, an unknown state, unknown fields and malformed durations.
func TestInvalidConfiguration(t *testing.T) {
	routes := []Route{{Method: "GET", Path: "/a/{x}"}, {Method: "GET", Path: "/a/{y}"}}
	for _, cfg := range []Config{
		{},
		{Name: "n", Service: "s", Slots: 1, Routes: routes},
		{Name: "n", Service: "s", Slots: 1, Routes: []Route{{Method: "GET", Path: "/", Calls: []ChildCall{{}}}}},
		{Name: "n", Service: "s", Slots: 1, Health: Health{Fixed: "fine"}},
	} {
		if _, err := New(cfg, Options{}); err == nil {
			t.Errorf("accepted %+v", cfg)
		}
	}
	for _, text := range []string{`{"slotz": 1}`, `{"service_time": "-1s"}`, `{"service_time": 5}`} {
		if _, err := ParseConfig([]byte(text)); err == nil {
			t.Errorf("accepted %s", text)
		}
	}
}
