package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in of a backend server.
type server struct {
	v        *vm
	id       string
	born     int64
	slots    int
	listener net.Listener
	http     *http.Server

	mu       sync.Mutex
	seq      int
	state    string // ready or draining
	leaving  bool   // says Server-Leaving in its answers
	limit    string // Server-Limit in its answers
	work     time.Duration
	status   int  // of its answers
	unsigned bool // its answers have no signature
	runs     []run
	stop     chan struct{}
	muted    bool   // its heartbeats don't arrive
	slowID   string // this request takes slowWork
}

// slowWork is below the timeout of all routes.
const slowWork = 4500 * time.Millisecond

// run is a request that the server began to work on.
type run struct {
	id, path string
	at       time.Time
}

// startServer starts the backend server beside a daemon.
func (v *vm) startServer(id string, born time.Time, slots int) (*server, error) {
	l, err := net.Listen("tcp", v.ports["app"])
	if err != nil {
		return nil, err
	}
	s := &server{v: v, id: id, born: born.UnixMilli(), slots: 100, listener: l, state: "ready", work: 20 * time.Millisecond, status: 200, stop: make(chan struct{})}
	s.http = &http.Server{Handler: s, MaxHeaderBytes: 1 << 20, IdleTimeout: 10 * time.Second}
	if slots != 0 {
		s.slots = slots
	}
	v.server = s
	v.rec.log("%s: server %s starts, born %d", v.name, id, s.born)
	go s.http.Serve(l)
	go s.beat()
	return s, nil
}

// crash ends the server at once: it sends nothing more.
func (s *server) crash() {
	s.v.rec.log("%s: server %s ends", s.v.name, s.id)
	close(s.stop)
	s.http.Close()
}

func (s *server) beat() {
	for {
		s.beatOnce()
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-s.stop:
			return
		}
	}
}

// beatOnce sends one heartbeat and reports whether it was acknowledged.
func (s *server) beatOnce() bool {
	s.mu.Lock()
	muted := s.muted
	s.seq++
	body := map[string]any{"service": s.v.service, "address": s.v.ports["app"], "zone": s.v.zone, "version": "v1", "slots": s.slots,
		"state": s.state, "coldRemaining": "0ms", "seq": s.seq, "born": s.born}
	s.mu.Unlock()
	if muted {
		return false
	}
	ok := s.v.heartbeat("PUT", s.id, body)
	s.v.rec.log("%s: heartbeat of %s: state %v, seq %v, acknowledged %v", s.v.name, s.id, body["state"], body["seq"], ok)
	return ok
}

func (s *server) set(f func(*server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	work, status, leaving, limit, unsigned, state := s.work, s.status, s.leaving, s.limit, s.unsigned, s.state
	s.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		if state != "ready" {
			w.WriteHeader(503)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if e := r.Header.Get("X-Expected-Instance"); e != "" && e != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(421)
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{id: id, path: r.URL.Path, at: time.Now()})
	if id == s.slowID && id != "" {
		work = slowWork
	}
	s.mu.Unlock()
	s.v.rec.log("%s: server %s runs %s", s.v.name, s.id, id)
	if r.Method != "GET" {
		io.Copy(io.Discard, r.Body)
	}
	if ms, err := strconv.Atoi(r.Header.Get("X-Timeout-Ms")); err == nil {
		work = min(work, time.Duration(ms)*time.Millisecond)
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
	if !unsigned {
		w.Header().Set("X-Response-Signature", "sig."+s.id)
	}
	w.WriteHeader(status)
	fmt.Fprintf(w, "answer to %s by %s", id, s.id)
}
