package soak

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeatInterval is shorter than the platform's, so that many heartbeats are sent in a short soak.
	heartbeatInterval = 300 * time.Millisecond
	// drainGrace is the time after the acknowledgement of a leave in which requests may still arrive, because they were
	// sent before it. A request that arrives later is a violation.
	drainGrace = time.Second
	// slots is the number of slots that each backend server announces.
	slots = 16
)

// backend is a backend server beside a daemon. Its listener stays open for the whole soak, while restart replaces the
// instance that runs on it.
type backend struct {
	*httptest.Server
	service string
	checker *checker
	// abortThreshold makes the server run a request but abort the connection instead of responding, if the last
	// character of the request ID is below it. This is a digit (ASCII 48 to 57), so that 50 to 57 abort 20 % to 90 % of
	// the responses and 0 aborts none.
	abortThreshold atomic.Int64

	mu           sync.Mutex // guards the fields below
	instance     string
	startCount   int64     // number of instances so far, sent as the start time "born"
	seq          int       // of the instance's last heartbeat
	state        string    // "ready" or "draining" as in heartbeats, or "crashed", which sends none
	leaveAckedAt time.Time // when the daemon acknowledged the heartbeat with "draining"; zero before
	acked        int       // heartbeats of all instances that the daemon has acknowledged
}

func newBackend(service string, checker *checker) *backend {
	b := &backend{service: service, checker: checker}
	b.Server = httptest.NewServer(http.HandlerFunc(b.serve))
	b.restart()
	return b
}

// restart starts a new instance on the same address.
func (b *backend) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startCount++
	b.instance = fmt.Sprintf("%s-%d", strings.TrimPrefix(b.URL, "http://"), b.startCount)
	b.seq, b.state, b.leaveAckedAt = 0, "ready", time.Time{}
}

// setState changes the state of the instance, which its next heartbeat carries.
func (b *backend) setState(state string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = state
}

// ackedHeartbeats returns the number of heartbeats that the daemon has acknowledged.
func (b *backend) ackedHeartbeats() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.acked
}

// sendHeartbeat sends one heartbeat to the daemon that listens on announce, unless the instance has crashed. address is
// where the daemon reaches the backend server; heartbeats that name another one are rejected.
func (b *backend) sendHeartbeat(client *http.Client, announce, address string) {
	b.mu.Lock()
	b.seq++
	id, state := b.instance, b.state
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":%d,"state":%q,"coldRemaining":"0ms","seq":%d,"born":%d}`,
		b.service, address, slots, state, b.seq, b.startCount)
	b.mu.Unlock()
	if state == "crashed" {
		return
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+announce+"/instances/"+id, strings.NewReader(body))
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		return // the daemon is down; the next heartbeat follows after heartbeatInterval
	}
	resp.Body.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	if resp.StatusCode == http.StatusOK {
		b.acked++
	}
	if resp.StatusCode == http.StatusOK && state == "draining" && b.instance == id && b.leaveAckedAt.IsZero() {
		b.leaveAckedAt = time.Now()
	}
}

// serve handles health checks and refuses requests that were meant for another instance.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	id, state, leaveAckedAt := b.instance, b.state, b.leaveAckedAt
	b.mu.Unlock()
	w.Header().Set("X-Instance-Id", id)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if r.URL.Path == "/health" {
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if r.Header.Get("X-Expected-Instance") != id || state == "crashed" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !leaveAckedAt.IsZero() && time.Since(leaveAckedAt) > drainGrace {
		b.checker.addViolation("DRAIN: request %s reached instance %s %v after its leave was acknowledged",
			r.Header.Get("X-Request-Id"), id, time.Since(leaveAckedAt))
	}
	b.run(w, r)
}

// slowRunTime is how long the requests of slow callers run.
const slowRunTime = 1500 * time.Millisecond

// Reads below largeReadPath have a response body of largeReadSize bytes.
const (
	largeReadPath = "/read/large/"
	largeReadSize = 300_000
)

// runTime returns how long a request runs: slowRunTime for one of a slow caller, and otherwise 3 to 9 ms, depending on the
// length of its ID.
func runTime(request string) time.Duration {
	if strings.HasPrefix(request, slowCallerPrefix) {
		return slowRunTime
	}
	return time.Duration(len(request)%7+3) * time.Millisecond
}

// run runs a request for its runTime.
func (b *backend) run(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("X-Request-Id")
	b.checker.recordRun(request)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(runTime(request))
	if int64(request[len(request)-1])%100 < b.abortThreshold.Load() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Signature", "signed")
	if strings.HasPrefix(r.URL.Path, largeReadPath) {
		_, _ = w.Write(make([]byte, largeReadSize)) // as below
		return
	}
	_, _ = io.WriteString(w, expectedBody(request, r.URL.Path, body)) // the connection may be closed already
}

// expectedBody returns the response body to a request. It depends on the ID, path and body, so that no two requests
// have the same one.
func expectedBody(request, path string, body []byte) string {
	sum := sha256.Sum256(append([]byte(request+" "+path+" "), body...))
	return strings.Repeat(hex.EncodeToString(sum[:]), 20)
}
