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

// Headers that control or identify a request.
const (
	// HeaderKey identifies a request in the counters.
	HeaderKey = "X-Request-Key"
	// HeaderCrash crashes the process when it is present.
	HeaderCrash = "X-Standin-Crash"
	// HeaderTruncate breaks the answer off midway when it is present.
	HeaderTruncate = "X-Standin-Truncate"
)

// MaxBody bounds the body of a request that is not an upload, in bytes.
const MaxBody = 1 << 20

// Options are the parts of a Server that are not configuration. All are optional.
type Options struct {
	// Crash ends the process. Without it, a crash request is answered 500.
	Crash func()
	// RunLog receives one line "METHOD key" for each run before the run begins, so that runs are known even when the
	// process is killed. Writes are serialised.
	RunLog io.Writer
	// Client makes the child calls.
	Client *http.Client
	// Rand is the source of the jitter.
	Rand *rand.Rand
}

// Server is a stand-in backend server.
type Server struct {
	cfg     Config
	options Options
	mux     *http.ServeMux
	calls   caller
	slots   chan struct{}
	started time.Time

	mu       sync.Mutex
	rng      *rand.Rand
	draining bool
	slowdown float64
	counters counters
	health   lagging[State]
	load     lagging[loadReport]
}

// New returns a Server, or an error that lists all problems of the configuration. The cold start begins now.
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
		cfg:      cfg,
		options:  o,
		mux:      http.NewServeMux(),
		calls:    caller{client: o.Client, daemon: cfg.Daemon},
		slots:    make(chan struct{}, cfg.Slots),
		started:  time.Now(),
		rng:      o.Rand,
		slowdown: 1,
		counters: newCounters(),
		health:   lagging[State]{lag: time.Duration(cfg.Health.Lag)},
		load:     lagging[loadReport]{lag: time.Duration(cfg.Load.Lag)},
	}
	s.controlRoutes()
	return s, s.routes()
}

// routes registers the operations. ServeMux panics on patterns that are malformed or conflict.
func (s *Server) routes() (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("routes: %v", p)
		}
	}()
	if len(s.cfg.Routes) == 0 {
		s.mux.Handle("/", s.handler(Route{}))
	}
	for _, r := range s.cfg.Routes {
		s.mux.Handle(r.Method+" "+r.Path, s.handler(r))
	}
	if s.cfg.CrashPath != "" && len(s.cfg.Routes) > 0 {
		s.mux.Handle(s.cfg.CrashPath, s.handler(Route{}))
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Drain refuses new requests from now on. Requests that run or wait for a slot are completed.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Slow multiplies the service time by factor from now on.
func (s *Server) Slow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

func (s *Server) handler(route Route) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := s.acquire(r.Context()); err != nil {
			s.refuse(w, err)
			return
		}
		defer s.release()
		s.run(w, r, route)
	})
}

var (
	errDraining = errors.New("draining")
	errFull     = errors.New("overloaded")
)

// acquire takes a slot, waiting for it when the configuration allows.
func (s *Server) acquire(ctx context.Context) error {
	if err := s.enter(); err != nil {
		return err
	}
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		s.update(func(c *counters) { c.waiting--; c.Canceled++ })
		return ctx.Err()
	}
	s.update(func(c *counters) { c.waiting--; c.run() })
	return nil
}

// enter counts the request as waiting unless it is refused. At most Slots+Waiting requests run or wait.
func (s *Server) enter() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		s.counters.Refused++
		return errDraining
	}
	if s.counters.waiting+s.counters.running >= s.cfg.Slots+s.cfg.Waiting {
		s.counters.Refused++
		return errFull
	}
	s.counters.waiting++
	return nil
}

func (s *Server) release() {
	s.update(func(c *counters) { c.running-- })
	<-s.slots
}

func (s *Server) update(f func(*counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counters)
}

func (s *Server) refuse(w http.ResponseWriter, err error) {
	if errors.Is(err, errDraining) {
		w.Header().Set("Connection", "close")
	}
	writeError(w, http.StatusServiceUnavailable, failure{Code: err.Error(), Message: "the request was not started"})
}

// answer is the body of a successful response.
type answer struct {
	Name     string            `json:"name"`
	Service  string            `json:"service"`
	Path     string            `json:"path"`
	Key      string            `json:"key,omitempty"`
	SHA256   string            `json:"sha256,omitempty"`
	Bytes    int64             `json:"bytes,omitempty"`
	Children []json.RawMessage `json:"children,omitempty"`
	Padding  string            `json:"padding,omitempty"`
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, route Route) {
	key := r.Header.Get(HeaderKey)
	s.recordRun(r.Method, key)
	if s.crashes(r) {
		s.crash(w)
		return
	}
	a := answer{Name: s.cfg.Name, Service: s.cfg.Service, Path: r.URL.Path, Key: key}
	body, err := s.readBody(r, route, &a)
	if err != nil {
		writeError(w, http.StatusBadRequest, failure{Code: "body", Message: err.Error()})
		return
	}
	if err := sleep(r.Context(), s.serviceTime(route)); err != nil {
		s.update(func(c *counters) { c.Canceled++ })
		return
	}
	for i, child := range route.Calls {
		result := s.calls.do(r, child, childKey(key, i), body)
		if result.failure != nil {
			s.update(func(c *counters) { c.ChildFailed++ })
			writeError(w, result.status, *result.failure)
			return
		}
		a.Children = append(a.Children, result.body)
	}
	a.Padding = strings.Repeat("x", route.AnswerBytes)
	s.update(func(c *counters) { c.Finished++ })
	writeAnswer(w, a, r.Header.Get(HeaderTruncate) != "")
}

// childKey differs for each call of a route, so that two calls to one service are not mistaken for a repetition.
func childKey(key string, i int) string {
	if key == "" {
		return ""
	}
	return key + "/" + strconv.Itoa(i)
}

func (s *Server) recordRun(method, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Started++
	s.counters.count(key)
	if s.options.RunLog != nil && key != "" {
		if _, err := io.WriteString(s.options.RunLog, method+" "+key+"\n"); err != nil {
			s.counters.RunLogErrors++
		}
	}
}

func (s *Server) crashes(r *http.Request) bool {
	if r.Header.Get(HeaderCrash) != "" {
		return true
	}
	return s.cfg.CrashPath != "" && strings.HasPrefix(r.URL.Path, s.cfg.CrashPath)
}

func (s *Server) crash(w http.ResponseWriter) {
	if s.options.Crash != nil {
		s.options.Crash()
	}
	writeError(w, http.StatusInternalServerError, failure{Code: "crash", Message: "the request crashes the process"})
}

// readBody returns the body, or its hash in a for an upload.
func (s *Server) readBody(r *http.Request, route Route, a *answer) ([]byte, error) {
	if route.Upload {
		hash := sha256.New()
		n, err := io.Copy(hash, r.Body)
		a.SHA256 = hex.EncodeToString(hash.Sum(nil))
		a.Bytes = n
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBody+1))
	if err == nil && len(body) > MaxBody {
		err = fmt.Errorf("the body is larger than %d bytes", MaxBody)
	}
	return body, err
}

// serviceTime applies jitter, the slowdown and the cold start.
func (s *Server) serviceTime(route Route) time.Duration {
	base := s.cfg.ServiceTime
	if route.ServiceTime != nil {
		base = *route.ServiceTime
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := s.slowdown * (1 + s.cfg.Jitter*(2*s.rng.Float64()-1))
	return time.Duration(float64(base) * factor * s.coldFactor(time.Since(s.started)))
}

func (s *Server) coldFactor(age time.Duration) float64 {
	cold := s.cfg.ColdStart
	left := 1 - float64(age)/float64(cold.Duration)
	if cold.Duration == 0 || left <= 0 {
		return 1
	}
	return 1 + (cold.Factor-1)*left
}

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

func writeAnswer(w http.ResponseWriter, a answer, truncate bool) {
	data, err := json.Marshal(a)
	if err != nil {
		writeError(w, http.StatusInternalServerError, failure{Code: "encode", Message: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if !truncate {
		_, _ = w.Write(data) // the caller notices a short answer by its length
		return
	}
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler) // closes the connection
}
