package backend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// State is the state of a backend server, as reported by the health endpoint.
type State string

// The states of a backend server.
const (
	StateStarting State = "starting" // within the cold start
	StateServing  State = "serving"
	StateDraining State = "draining"
)

// maxRunKeys is the largest number of keys whose runs are counted. A key takes about 100 bytes, so this bounds their
// memory to about 100 MB.
const maxRunKeys = 1_000_000

// counters are the counters of requests and runs, guarded by Server.mu. The exported fields appear in the stats.
type counters struct {
	running, waiting int            // requests that run or wait now
	runs             map[string]int // runs by request key

	PeakRunning  int `json:"peak_running"`
	Started      int `json:"started"`
	Finished     int `json:"finished"`
	Canceled     int `json:"canceled"`     // canceled while waiting for a slot or during the service time
	Refused      int `json:"refused"`      // refused without a run, by overload or draining
	ChildFailed  int `json:"child_failed"` // runs that ended because a child call failed
	KeysDropped  int `json:"keys_dropped"` // runs not counted by key because of maxRunKeys
	RunLogErrors int `json:"run_log_errors"`
}

func newCounters() counters {
	return counters{runs: make(map[string]int)}
}

func (c *counters) startRun() {
	c.running++
	c.PeakRunning = max(c.PeakRunning, c.running)
}

// countRun counts a run of the request with the given key; runs without a key aren't counted.
func (c *counters) countRun(key string) {
	if key == "" {
		return
	}
	if _, ok := c.runs[key]; !ok && len(c.runs) >= maxRunKeys {
		c.KeysDropped++
		return
	}
	c.runs[key]++
}

// delayedValue reports a value that is between lag and 2*lag old if it is read often. With a lag of 0 it reports the
// current value. It is not safe for concurrent use.
type delayedValue[T any] struct {
	lag       time.Duration
	reported  T
	next      T         // sampled at updatedAt, reported after the next update
	updatedAt time.Time // zero before the first read
}

// read returns the reported value, given the current one.
func (l *delayedValue[T]) read(now time.Time, current T) T {
	if l.lag == 0 {
		return current
	}
	if l.updatedAt.IsZero() {
		l.reported, l.next, l.updatedAt = current, current, now
	}
	if now.Sub(l.updatedAt) >= l.lag {
		l.reported, l.next, l.updatedAt = l.next, current, now
	}
	return l.reported
}

// loadReport is the body of the load endpoint.
type loadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// statsReport is the body of the stats endpoint.
type statsReport struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	State   State  `json:"state"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	counters
	Runs map[string]int `json:"runs"`
}

func (s *Server) registerControlRoutes() {
	s.mux.HandleFunc("GET /_health", s.serveHealth)
	s.mux.HandleFunc("GET /_load", s.serveLoad)
	s.mux.HandleFunc("GET /_stats", s.serveStats)
	s.mux.HandleFunc("POST /_drain", s.serveDrain)
	s.mux.HandleFunc("POST /_slow", s.serveSlow)
}

// currentState returns the actual state, without lag or fixed value. The caller holds s.mu.
func (s *Server) currentState(now time.Time) State {
	switch {
	case s.draining:
		return StateDraining
	case now.Sub(s.started) < time.Duration(s.cfg.ColdStart.Duration):
		return StateStarting
	default:
		return StateServing
	}
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	s.mu.Lock()
	state := s.health.read(now, s.currentState(now))
	s.mu.Unlock()
	if s.cfg.Health.Fixed != "" {
		state = State(s.cfg.Health.Fixed)
	}
	status := http.StatusOK
	if state != StateServing {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, map[string]State{"state": state})
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	current := loadReport{Running: s.counters.running, Waiting: s.counters.waiting, Slots: s.cfg.Slots}
	report := s.load.read(time.Now(), current)
	s.mu.Unlock()
	if s.cfg.Load.Fixed != nil {
		report.Running = *s.cfg.Load.Fixed
	}
	writeJSON(w, http.StatusOK, report)
}

func (s *Server) serveStats(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.stats(r.URL.Query().Get("key")))
}

// stats returns a copy of the counters with the runs of one key, or of all keys when key is empty.
func (s *Server) stats(key string) statsReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := statsReport{
		Name: s.cfg.Name, Service: s.cfg.Service, State: s.currentState(time.Now()),
		Running: s.counters.running, Waiting: s.counters.waiting,
		counters: s.counters, Runs: make(map[string]int),
	}
	for k, n := range s.counters.runs {
		if key == "" || k == key {
			report.Runs[k] = n
		}
	}
	return report
}

func (s *Server) serveDrain(w http.ResponseWriter, _ *http.Request) {
	s.Drain()
	writeJSON(w, http.StatusOK, map[string]State{"state": StateDraining})
}

func (s *Server) serveSlow(w http.ResponseWriter, r *http.Request) {
	factor, err := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
	if err != nil || !(factor >= 0 && factor <= 1000) {
		writeError(w, http.StatusBadRequest, errorBody{
			Code: "factor", Message: "factor must be a number from 0 to 1000",
		})
		return
	}
	s.SetSlowdown(factor)
	writeJSON(w, http.StatusOK, map[string]float64{"factor": factor})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has disconnected
}
