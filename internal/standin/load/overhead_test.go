package load

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against CPU time that is divided by the wrong number of calls, against unequal numbers of direct calls and
// calls through the daemons, and against calls through the daemons that don't use the path /call/SERVICE/... of the
// call listener.
func TestOverheadCountsDirectAndDaemonCalls(t *testing.T) {
	var direct, daemons, scrapes atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("GET /documents/d", func(http.ResponseWriter, *http.Request) { direct.Add(1) })
	mux.HandleFunc("GET /call/docstore/documents/d", func(http.ResponseWriter, *http.Request) { daemons.Add(1) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "# TYPE %[1]s counter\n%[1]s_other 9\n%[1]s{a=\"b\"} %[2]d\n", cpuMetric, scrapes.Add(1))
	})
	srv := httptest.NewServer(mux)
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	o, err := MeasureOverhead(t.Context(), OverheadOptions{Direct: address, Entry: address, Service: "docstore",
		Path: "/documents/d", Count: 20, Warmup: 5, Admins: []string{address}})
	if err != nil {
		t.Fatal(err)
	}
	if direct.Load() != 25 || daemons.Load() != 25 {
		t.Errorf("%d direct calls and %d through daemons, want 25 each", direct.Load(), daemons.Load())
	}
	if o.CPU[0].PerCall != 50*time.Millisecond {
		t.Errorf("%v of CPU time per call, want 1 s in 20 calls", o.CPU[0].PerCall)
	}
}

// Guards against a measurement that counts refused calls as answered ones, which would look faster than they are.
func TestOverheadFailsOnRefusedCall(t *testing.T) {
	srv := httptest.NewServer(respond(http.StatusServiceUnavailable, OutcomeNotRun, "overload", ""))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	_, err := MeasureOverhead(t.Context(), OverheadOptions{Direct: address, Entry: address, Path: "/x", Count: 1})
	if err == nil || !strings.Contains(err.Error(), "503 overload") {
		t.Errorf("got error %v, want one that names the status and the reason", err)
	}
}
