package daemon

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/core/retry"
	"guavapoint.example/guavapoint/internal/core/route"
	"guavapoint.example/guavapoint/internal/core/throttle"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/settings"
	"guavapoint.example/guavapoint/internal/wire"
	"guavapoint.example/guavapoint/platform"
)

// Times after which a caller may come back, by what was in the way.
const (
	// retryAfterOverload lets a few running requests end; half of it is random, so that the callers don't return together.
	retryAfterOverload = 600 * time.Millisecond
	// retryAfterThrottled is about the time in which a throttle opens again after the end of an overload.
	retryAfterThrottled = 1600 * time.Millisecond
	// retryAfterChange covers the time in which the daemons learn of an upstream that has left or joined.
	retryAfterMembershipChange = 300 * time.Millisecond
)

// ingressIdleTimeout closes connections of callers that have gone. It is above the idle timeouts after which callers
// close connections themselves.
const ingressIdleTimeout = 60 * time.Second

const (
	// deadlineMargin is added to the time that a caller says it waits. Callers give it in whole milliseconds, rounded down,
	// and timers fire early by what this process has worked in its turn; a request at which the upstream works must not be
	// given up before its caller's deadline.
	deadlineMargin = 20 * time.Millisecond
	// leastTime is the least time with which a request is sent on. The shortest work takes longer, so a request with less
	// would only be broken off.
	minForwardTime = 10 * time.Millisecond
)

// hostField carries the host of a request between daemons. net/http keeps it apart from the other fields.
const hostHeader = "Host"

// ingressListeners are the sockets of an ingress.
type ingressListeners struct {
	calls, ready, announce net.Listener
}

func openIngress(s *settings.Ingress) (l ingressListeners, err error) {
	if l.calls, err = net.Listen("tcp", s.Address); err != nil {
		return l, eris.Wrap(err, "ingress address")
	}
	if l.ready, err = net.Listen("tcp", s.ReadyAddress); err != nil {
		return l, eris.Wrap(err, "ready address")
	}
	if l.announce, err = net.Listen("tcp", s.AnnounceAddress); err != nil {
		return l, eris.Wrap(err, "announce address")
	}
	return l, nil
}

// ingress serves callers that name a host and a path. It finds the service by the configuration's routes and hands the
// request to the entry.
type ingress struct {
	*entry
	localService string // of this VM

	mu        sync.Mutex
	rng       *rand.Rand
	throttles map[string]*throttle.Throttle // by route
}

func newIngress(e *entry, service string, rng *rand.Rand) *ingress {
	return &ingress{entry: e, localService: service, rng: rng, throttles: make(map[string]*throttle.Throttle)}
}

func (i *ingress) random() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rng.Float64()
}

// ServeHTTP serves one request.
func (i *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.drain.hold()
	defer i.drain.release()
	started := i.now()
	_, doc := i.config.Current()
	if doc == nil {
		i.writeRefusal(w, call.ReasonNoUpstream)
		return
	}
	matched := doc.MatchRoute(r.Host, r.URL.EscapedPath())
	if matched == nil {
		writeProblem(w, http.StatusNotFound, "unknown-route", "no route has this host and path")
		return
	}
	i.serveRoute(w, r, matched, started)
}

func (i *ingress) serveRoute(w http.ResponseWriter, r *http.Request, matched *route.Route, started time.Time) {
	req := i.newRequest(r, matched, started)
	if req.deadline.Sub(started) < minForwardTime+deadlineMargin {
		i.writeRefusal(w, call.ReasonDeadline)
		i.logFailure(req, notRun(call.ReasonDeadline), 0)
		return
	}
	if !i.allow(req) {
		i.refusals.record()
		i.writeRefusal(w, call.ReasonThrottled)
		i.report.countRefusal(call.ReasonThrottled)
		i.logFailure(req, notRun(call.ReasonThrottled), 0)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	req.span = i.report.telemetry.StartSpan("entry", r.Header.Get(headerTrace), req.service, req.rank.Class())
	res := i.dispatchRoute(ctx, w, r, req)
	res.service = req.service
	req.span.End(res.outcome, res.reason)
	if overloadFailure(res) {
		i.refusals.record()
	}
	if r.Context().Err() == nil {
		i.recordEnd(req, overloadFailure(res))
	}
	i.writeRouteResult(w, res)
	took := i.now().Sub(started)
	i.report.recordCall(req, res, took, took-req.waited)
	i.logFailure(req, res, took)
}

// logEnd writes the line of a request that was not served.
func (i *ingress) logFailure(req *request, res *result, took time.Duration) {
	v, _ := i.config.Current()
	switch {
	case res.outcome == call.OutcomeNotRun:
		i.report.log.Log(events.RequestRefused, req.rootID, req.op.Name, req.service, req.rank.Class().String(), string(res.reason),
			i.admitFraction(req.op.Name), req.attempts, v.Revision, took.String())
	case !succeeded(res):
		i.report.log.Log(events.RequestFailed, req.rootID, req.op.Name, req.service, req.rank.Class().String(), res.upstream,
			res.outcome.String(), string(res.reason), res.status, req.attempts, v.Revision, took.String())
	}
}

// passing returns the fraction of a route's requests that its throttle lets through.
func (i *ingress) admitFraction(name string) float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.throttle(name).AdmitFraction()
}

// allow asks the route's throttle.
func (i *ingress) allow(req *request) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.throttle(req.op.Name).Allow(req.rank.Class(), req.callerTimeout, i.rng.Float64())
}

// ended tells the route's throttle how a request ended.
func (i *ingress) recordEnd(req *request, overloaded bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.throttle(req.op.Name).Done(i.now(), overloaded)
}

// throttle returns the throttle of a route. The configuration bounds the names. The caller holds the lock.
func (i *ingress) throttle(name string) *throttle.Throttle {
	t := i.throttles[name]
	if t == nil {
		t = throttle.New()
		i.throttles[name] = t
	}
	return t
}

// completed reports whether a request ended as a whole one. An error of the backend server means in most cases that one
// of the calls that it needed has failed.
func succeeded(res *result) bool {
	return res.outcome == call.OutcomeAnswered && res.status < http.StatusInternalServerError
}

// rankInterval is the time in which requests of one entry and class share a rank. A call of a backend server doesn't name
// the request that it belongs to; with a common rank the calls that one request makes shortly after each other are
// admitted or shed together.
const rankInterval = 500 * time.Millisecond

// rank returns the rank of a request.
func (i *ingress) rank(class call.Class, at time.Time) call.Rank {
	interval := at.UnixNano() / int64(rankInterval)
	return call.NewRank(class, i.dispatch.self+"/"+strconv.FormatInt(interval, 10))
}

// request describes a request by its route.
func (i *ingress) newRequest(r *http.Request, matched *route.Route, started time.Time) *request {
	timeout := matched.Timeout
	callerTimeout, ok := platform.Timeout(r.Header)
	if ok && (timeout == 0 || callerTimeout+deadlineMargin < timeout) {
		timeout = callerTimeout + deadlineMargin
	}
	if timeout == 0 {
		timeout = maxTimeout
	}
	id := platform.RequestID(r.Header)
	if !call.ValidRootID(id) {
		id = randomID()
	}
	return &request{
		service:       matched.Choose(i.random()),
		op:            config.Operation{Name: matched.Name, Method: r.Method, Idempotent: matched.Kind == route.Idempotent, Upload: matched.Kind == route.Upload},
		path:          r.URL.RequestURI(),
		rootID:        id,
		rank:          i.rank(matched.Class(), started),
		deadline:      started.Add(timeout),
		retryBudget:   retry.NewBudget(matched.MaxAttempts - 1),
		routed:        true,
		callerTimeout: callerTimeout,
	}
}

// dispatchRoute reads the body and sends the request to an upstream.
func (i *ingress) dispatchRoute(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) *result {
	body, err := readBody(w, r, req.deadline)
	if err != nil {
		return notRun(call.ReasonCanceled)
	}
	platform.SetCallerService(r.Header, i.localService)
	fields := append(forwardedHeaders(r.Header), wire.Header{Name: hostHeader, Values: []string{r.Host}})
	if req.op.Idempotent {
		return i.dispatch.callIdempotent(ctx, req, fields, body)
	}
	return i.dispatch.callNonIdempotent(ctx, req, fields, body)
}

// write answers the caller. A request that did not run is refused with the time after which to come back.
func (i *ingress) writeRouteResult(w http.ResponseWriter, res *result) {
	switch {
	case res.outcome == call.OutcomeAnswered:
		i.writeRouteAnswer(w, res)
	case res.outcome == call.OutcomeNotRun:
		i.writeRefusal(w, res.reason)
	case res.reason == call.ReasonTimeout:
		writeProblem(w, http.StatusGatewayTimeout, string(res.reason), problemMessage(res))
	default:
		writeProblem(w, http.StatusBadGateway, string(res.reason), problemMessage(res))
	}
}

func (i *ingress) writeRefusal(w http.ResponseWriter, reason call.Reason) {
	platform.SetRetryAfter(w.Header(), i.retryAfter(reason))
	writeProblem(w, http.StatusServiceUnavailable, string(reason), "the request did not run")
}

func (i *ingress) retryAfter(reason call.Reason) time.Duration {
	switch reason {
	case call.ReasonLeaving, call.ReasonNoUpstream, call.ReasonUnreachable, call.ReasonWrongUpstream:
		return retryAfterMembershipChange
	case call.ReasonThrottled:
		return retryAfterThrottled/2 + time.Duration(i.random()*float64(retryAfterThrottled)/2)
	default:
		return retryAfterOverload/2 + time.Duration(i.random()*float64(retryAfterOverload)/2)
	}
}

// writeUpstreamAnswer copies an answer as it came. An answer that breaks off aborts the caller's connection.
func (i *ingress) writeRouteAnswer(w http.ResponseWriter, res *result) {
	applyHeaders(w.Header(), res.header)
	if res.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(res.length, 10))
	}
	w.WriteHeader(res.status)
	_, err := io.Copy(w, io.MultiReader(bytes.NewReader(res.bodyPrefix), res.body))
	res.close(err == nil)
	if err != nil {
		i.report.logTruncated(res.service, res.upstream, res.length)
		panic(http.ErrAbortHandler)
	}
}

// readyHandler answers the readiness check: ready from the first configuration until the drain begins.
func (d *Daemon) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := d.readiness(); err != nil {
			writeProblem(w, http.StatusServiceUnavailable, "not-ready", err.Error())
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// Causes for which a daemon isn't ready.
var (
	errDraining     = errors.New("the daemon is stopping")
	errUnconfigured = errors.New("no configuration is known yet")
)

func (d *Daemon) readiness() error {
	if d.stopping.Load() || d.drain.draining() {
		return errDraining
	}
	if _, doc := d.config.Current(); doc == nil {
		return errUnconfigured
	}
	return nil
}
