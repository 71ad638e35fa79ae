package backend

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request headers of the stand-in.
const (
	// HeaderRequestKey identifies a request in the run counters and the run log.
	HeaderRequestKey = "X-Request-Key"
	// HeaderCrash makes the request crash the process if its value is not empty.
	HeaderCrash = "X-Standin-Crash"
	// HeaderTruncate makes the server close the connection after half of the response body if its
	// value is not empty.
	HeaderTruncate = "X-Standin-Truncate"
)

// MaxBodySize is the largest body of a request that is not an upload, in bytes.
const MaxBodySize = 1 << 20

// Options are the dependencies of a Server. All are optional.
type Options struct {
	// Crash ends the process. Without it, a request that asks for a crash is answered with status 500.
	Crash func()
	// RunLog receives one line "METHOD key" for each run of a request with a key. The line is written before the run
	// begins, so that the run is recorded even if the process is killed. Writes are serialized.
	RunLog io.Writer
	// Client makes the child calls. The default client has no timeout of its own.
	Client *http.Client
	// Rand is the source of the jitter. By default it has a fixed seed.
	Rand *rand.Rand
}

// Server is a stand-in backend server. It is an http.Handler and safe for concurrent use.
type Server struct {
	cfg        Config
	options    Options
	mux        *http.ServeMux
	childCalls childClient
	slots      chan struct{} // semaphore with one element per taken slot
	started    time.Time

	mu       sync.Mutex // guards the fields below
	rng      *rand.Rand
	draining bool
	slowdown float64 // factor of the service time
	counters counters
	health   delayedValue[State]
	load     delayedValue[loadReport]
}

// New returns a Server whose cold start begins now. If the configuration is invalid, the error lists all its problems;
// route patterns that are malformed or conflict are reported only when there are no others.
func New(cfg Config, o Options) (*Server, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	if o.Client == nil {
		o.Client = newClient()
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(1, 2))
	}
	s := &Server{
		cfg:        cfg,
		options:    o,
		mux:        http.NewServeMux(),
		childCalls: childClient{client: o.Client, daemon: cfg.Daemon},
		slots:      make(chan struct{}, cfg.Slots),
		started:    time.Now(),
		rng:        o.Rand,
		slowdown:   1,
		counters:   newCounters(),
		health:     delayedValue[State]{lag: time.Duration(cfg.Health.Lag)},
		load:       delayedValue[loadReport]{lag: time.Duration(cfg.Load.Lag)},
	}
	s.registerControlRoutes()
	return s, s.registerRoutes()
}

// registerRoutes registers the operations. It turns the panics of ServeMux on malformed or conflicting patterns into
// errors.
func (s *Server) registerRoutes() (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("register the routes: %v", p)
		}
	}()
	if len(s.cfg.Routes) == 0 {
		s.mux.Handle("/", s.handler(Route{}))
	}
	for _, r := range s.cfg.Routes {
		s.mux.Handle(r.Method+" "+r.Path, s.handler(r))
	}
	if s.cfg.CrashPath != "" && len(s.cfg.Routes) > 0 { // without routes, "/" already covers the crash path
		s.mux.Handle(s.cfg.CrashPath, s.handler(Route{}))
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Drain makes the server refuse new requests from now on. Requests that run or wait for a slot are completed.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// SetSlowdown multiplies the service time by factor from now on, in place of an earlier factor.
func (s *Server) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// handler returns the handler of a route. It refuses a request that gets no slot.
func (s *Server) handler(route Route) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := s.acquireSlot(r.Context()); err != nil {
			s.refuse(w, err)
			return
		}
		defer s.releaseSlot()
		s.handleRequest(w, r, route)
	})
}

// Reasons to refuse a request; their texts are the codes of the error response.
var (
	errDraining   = errors.New("draining")
	errOverloaded = errors.New("overloaded")
)

// acquireSlot takes a slot, waiting for it if the configuration allows. It returns errDraining, errOverloaded or, when
// the request was canceled while waiting, the error of ctx.
func (s *Server) acquireSlot(ctx context.Context) error {
	if err := s.enqueue(); err != nil {
		return err
	}
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		s.updateCounters(func(c *counters) { c.waiting--; c.Canceled++ })
		return ctx.Err()
	}
	s.updateCounters(func(c *counters) { c.waiting--; c.startRun() })
	return nil
}

// enqueue counts the request as waiting, or returns errDraining or errOverloaded. At most Slots+Waiting requests run or
// wait at once.
func (s *Server) enqueue() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		s.counters.Refused++
		return errDraining
	}
	if s.counters.waiting+s.counters.running >= s.cfg.Slots+s.cfg.Waiting {
		s.counters.Refused++
		return errOverloaded
	}
	s.counters.waiting++
	return nil
}

func (s *Server) releaseSlot() {
	// Update the counter first: in the other order, it could exceed the number of slots.
	s.updateCounters(func(c *counters) { c.running-- })
	<-s.slots
}

// updateCounters calls f with the counters while it holds s.mu.
func (s *Server) updateCounters(f func(*counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counters)
}

func (s *Server) refuse(w http.ResponseWriter, err error) {
	if errors.Is(err, errDraining) {
		w.Header().Set("Connection", "close")
	}
	writeError(w, http.StatusServiceUnavailable, errorBody{Code: err.Error(), Message: "the request was not started"})
}

// responseBody is the body of a successful response.
type responseBody struct {
	Name     string            `json:"name"`
	Service  string            `json:"service"`
	Path     string            `json:"path"`
	Key      string            `json:"key,omitempty"`
	SHA256   string            `json:"sha256,omitempty"`
	Bytes    int64             `json:"bytes,omitempty"`
	Children []json.RawMessage `json:"children,omitempty"`
	Padding  string            `json:"padding,omitempty"`
}

// handleRequest runs a request that holds a slot: it records the run, reads the body, waits for the service time, makes
// the child calls and writes the response. The first child call that fails ends the run with an error response.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request, route Route) {
	key := r.Header.Get(HeaderRequestKey)
	s.recordRun(r.Method, key)
	if s.isCrashRequest(r) {
		s.crash(w)
		return
	}
	resp := responseBody{Name: s.cfg.Name, Service: s.cfg.Service, Path: r.URL.Path, Key: key}
	body, err := s.readBody(r, route, &resp)
	if err != nil {
		writeError(w, http.StatusBadRequest, errorBody{Code: "body", Message: "read the request body: " + err.Error()})
		return
	}
	if err := sleep(r.Context(), s.serviceTime(route)); err != nil {
		s.updateCounters(func(c *counters) { c.Canceled++ })
		return
	}
	for i, child := range route.Calls {
		result := s.childCalls.call(r, child, childKey(key, i), body)
		if result.failure != nil {
			s.updateCounters(func(c *counters) { c.ChildFailed++ })
			writeError(w, result.status, *result.failure)
			return
		}
		resp.Children = append(resp.Children, result.body)
	}
	resp.Padding = strings.Repeat("x", route.PaddingBytes)
	s.updateCounters(func(c *counters) { c.Finished++ })
	writeResponse(w, resp, r.Header.Get(HeaderTruncate) != "")
}

// childKey returns the request key of the i-th child call. Each call of a route has its own key, so that two calls to
// the same service are not counted as two runs of one request.
func childKey(key string, i int) string {
	if key == "" {
		return ""
	}
	return key + "/" + strconv.Itoa(i)
}

// recordRun counts the run and writes it to the run log.
func (s *Server) recordRun(method, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Started++
	s.counters.countRun(key)
	if s.options.RunLog != nil && key != "" {
		if _, err := io.WriteString(s.options.RunLog, method+" "+key+"\n"); err != nil {
			s.counters.RunLogErrors++
		}
	}
}

func (s *Server) isCrashRequest(r *http.Request) bool {
	if r.Header.Get(HeaderCrash) != "" {
		return true
	}
	return s.cfg.CrashPath != "" && strings.HasPrefix(r.URL.Path, s.cfg.CrashPath)
}

func (s *Server) crash(w http.ResponseWriter) {
	if s.options.Crash != nil {
		s.options.Crash()
	}
	writeError(w, http.StatusInternalServerError, errorBody{Code: "crash", Message: "the request crashes the process"})
}

// readBody returns the request body. For an upload it returns no body, but sets SHA256 and Bytes of resp. The error
// says that the body can't be read or is larger than MaxBodySize.
func (s *Server) readBody(r *http.Request, route Route, resp *responseBody) ([]byte, error) {
	if route.Upload {
		hash := sha256.New()
		n, err := io.Copy(hash, r.Body)
		resp.SHA256 = hex.EncodeToString(hash.Sum(nil))
		resp.Bytes = n
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBodySize+1))
	if err == nil && len(body) > MaxBodySize {
		err = fmt.Errorf("the body is larger than the limit of %d bytes", MaxBodySize)
	}
	return body, err
}

// serviceTime returns the service time of one request, with the jitter, the slowdown and the cold start applied.
func (s *Server) serviceTime(route Route) time.Duration {
	base := s.cfg.ServiceTime
	if route.ServiceTime != nil {
		base = *route.ServiceTime
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := s.slowdown * (1 + s.cfg.Jitter*(2*s.rng.Float64()-1))
	return time.Duration(float64(base) * factor * s.coldStartFactor(time.Since(s.started)))
}

// coldStartFactor returns the factor of the service time at the given age of the server, 1 after the cold start.
func (s *Server) coldStartFactor(age time.Duration) float64 {
	cold := s.cfg.ColdStart
	remaining := 1 - float64(age)/float64(cold.Duration)
	if cold.Duration == 0 || remaining <= 0 {
		return 1
	}
	return 1 + (cold.Factor-1)*remaining
}

// sleep waits for d, or returns the error of ctx when that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeResponse writes the response, or only half of it before it closes the connection if truncate is set.
func writeResponse(w http.ResponseWriter, resp responseBody, truncate bool) {
	data, err := json.Marshal(resp)
	if err != nil {
		writeError(w, http.StatusInternalServerError, errorBody{Code: "encode", Message: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if !truncate {
		_, _ = w.Write(data) // on a write error, the caller sees fewer bytes than Content-Length
		return
	}
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler) // closes the connection
}
