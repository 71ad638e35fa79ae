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
	// heartbeatInterval is shorter than the platform's, so that a short soak sees many heartbeats.
	heartbeatInterval = 300 * time.Millisecond
	// drainGrace is the time after the acknowledgement of a leave within which no new request may arrive any more. What
	// was on its way at the acknowledgement arrives earlier.
	drainGrace = time.Second
	// slots is what each backend server announces.
	slots = 16
)

// backend is a backend server beside a daemon. Its listener stays; the instance that runs on it changes.
type backend struct {
	*httptest.Server
	service string
	checker *checker
	// abortThreshold is the percentage of answers that are cut after the work was done.
	abortThreshold atomic.Int64

	mu           sync.Mutex
	instance     string
	startCount   int64
	seq          int
	state        string
	leaveAckedAt time.Time // acknowledgement of the leave, zero before
}

func newBackend(service string, checker *checker) *backend {
	b := &backend{service: service, checker: checker}
	b.Server = httptest.NewServer(http.HandlerFunc(b.serve))
	b.restart()
	return b
}

// restart begins a new instance on the same address.
func (b *backend) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startCount++
	b.instance = fmt.Sprintf("%s-%d", strings.TrimPrefix(b.URL, "http://"), b.startCount)
	b.seq, b.state, b.leaveAckedAt = 0, "ready", time.Time{}
}

// setState changes what the heartbeats say.
func (b *backend) setState(state string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = state
}

// sendHeartbeat sends one heartbeat to the daemon.
func (b *backend) sendHeartbeat(client *http.Client, announce string) {
	b.mu.Lock()
	b.seq++
	id, state := b.instance, b.state
	body := fmt.Sprintf(`{"service":%q,"address":"x","zone":"z","version":"v1","slots":%d,"state":%q,"coldRemaining":"0ms","seq":%d,"born":%d}`,
		b.service, slots, state, b.seq, b.startCount)
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
		return // the daemon is down; the next heartbeat follows
	}
	resp.Body.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	if resp.StatusCode == http.StatusOK && state == "draining" && b.instance == id && b.leaveAckedAt.IsZero() {
		b.leaveAckedAt = time.Now()
	}
}

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
		b.checker.addViolation("DRAIN: request %s reached %s %v after its leave was acknowledged", r.Header.Get("X-Request-Id"), id, time.Since(leaveAckedAt))
	}
	b.run(w, r)
}

func (b *backend) run(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("X-Request-Id")
	b.checker.recordRun(request)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(time.Duration(len(request)%7+3) * time.Millisecond)
	if int64(request[len(request)-1])%100 < b.abortThreshold.Load() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Signature", "signed")
	_, _ = io.WriteString(w, expectedBody(request, r.URL.Path, body)) // a caller that is gone is no fault of this server
}

// expectedBody is the answer that only this request can have.
func expectedBody(request, path string, body []byte) string {
	sum := sha256.Sum256(append([]byte(request+" "+path+" "), body...))
	return strings.Repeat(hex.EncodeToString(sum[:]), 20)
}
