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
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/core/lineage"
	"guavapoint.example/guavapoint/internal/core/retry"
	"guavapoint.example/guavapoint/internal/core/route"
	"guavapoint.example/guavapoint/internal/core/throttle"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/intake"
	"guavapoint.example/guavapoint/internal/settings"
	"guavapoint.example/guavapoint/internal/wire"
	"guavapoint.example/guavapoint/platform"
)

// Values of the Retry-After header, by the cause of the refusal.
const (
	// retryAfterOverload is long enough for a few running requests to end. Half of it is random, so that the callers
	// don't retry at the same time.
	retryAfterOverload = 600 * time.Millisecond
	// retryAfterThrottled is about the time that a throttle needs after an overload until it admits all requests again.
	// Half of it is random for the same reason.
	retryAfterThrottled = 1600 * time.Millisecond
	// retryAfterMembershipChange is long enough for the daemons to learn of an upstream that has left or joined.
	retryAfterMembershipChange = 300 * time.Millisecond
)

// ingressIdleTimeout is the time after which the ingress closes idle connections, such as those of callers that no
// longer exist. It is longer than the idle timeouts of the callers, so that a caller closes its connections first.
const ingressIdleTimeout = 60 * time.Second

const (
	// deadlineMargin is added to the timeout that a caller gives, because a request on which an upstream is working
	// must not be canceled before its caller's deadline. Callers give the timeout in whole milliseconds, rounded down,
	// and timers may fire early, by up to the time for which this process has worked in its current turn on the
	// processor.
	deadlineMargin = 20 * time.Millisecond
	// minForwardTime is the least remaining time with which a request is forwarded. Even the shortest request takes
	// longer than that, so one with less time left would run and then be aborted.
	minForwardTime = 10 * time.Millisecond
)

// hostHeader is the header field in which daemons forward the host of a request. net/http does not keep the host among
// the header fields.
const hostHeader = "Host"

// ingressListeners are the TCP listeners of an ingress.
type ingressListeners struct {
	calls, ready, announce net.Listener
}

// openIngress opens the listeners of an ingress. With an error it also returns those that it opened before.
func openIngress(s *settings.Ingress, clients, control *intake.Intake) (l ingressListeners, err error) {
	if l.calls, err = clients.Listen(s.Address); err != nil {
		return l, eris.Wrap(err, "open the ingress listener")
	}
	if l.ready, err = control.Listen(s.ReadyAddress); err != nil {
		return l, eris.Wrap(err, "open the ready listener")
	}
	if l.announce, err = control.Listen(s.AnnounceAddress); err != nil {
		return l, eris.Wrap(err, "open the announce listener")
	}
	return l, nil
}

// ingress accepts requests that carry the host and path of a route instead of the name of a service. It finds the
// service by the configuration's routes and dispatches the request through the entry. It is safe for concurrent use.
type ingress struct {
	*entry
	localService string // service of the backend server on this VM

	mu        sync.Mutex // protects rng and throttles
	rng       *rand.Rand
	throttles map[string]*throttle.Throttle // by route name
}

func newIngress(e *entry, service string, rng *rand.Rand) *ingress {
	return &ingress{entry: e, localService: service, rng: rng, throttles: make(map[string]*throttle.Throttle)}
}

// random returns a random number from 0 to below 1.
func (i *ingress) random() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rng.Float64()
}

// ServeHTTP serves one request.
func (i *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.drain.startCallerRequest() // requests at the ingress are served until the exit, also during the drain
	defer i.drain.endCallerRequest()
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

// serveRoute serves a request that matches a route, unless too little time is left or the route's throttle refuses it.
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
	defer func() { i.hops.endCall(i.now(), callSequence(r), succeeded(res)) }() // also if the answer is cut off
	i.writeRouteResult(w, res)
	took := i.now().Sub(started)
	i.report.recordCall(req, res, took, took-req.waited)
	i.logFailure(req, res, took)
}

// logFailure logs a request that was refused or that failed. For any other it logs nothing.
func (i *ingress) logFailure(req *request, res *result, took time.Duration) {
	v, _ := i.config.Current()
	switch {
	case res.outcome == call.OutcomeNotRun:
		i.report.log.Log(events.RequestRefused, req.rootID, req.op.Name, req.service, req.rank.Class().String(),
			string(res.reason), i.admitFraction(req.op.Name), req.attempts, v.Revision, took.String())
	case !succeeded(res):
		i.report.log.Log(events.RequestFailed, req.rootID, req.op.Name, req.service, req.rank.Class().String(), res.upstream,
			res.outcome.String(), string(res.reason), res.status, req.attempts, v.Revision, took.String())
	}
}

// admitFraction returns the fraction of a route's requests that its throttle admits.
func (i *ingress) admitFraction(name string) float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.throttle(name).AdmitFraction()
}

// allow reports whether the route's throttle admits a request. A call of the local backend server is always admitted: the
// work that its request has done so far would be lost.
func (i *ingress) allow(req *request) bool {
	if req.origin.isCall {
		return true
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.throttle(req.op.Name).Allow(req.rank.Class(), req.callerTimeout, i.rng.Float64())
}

// recordEnd records in the route's throttle that a request ended, and whether it failed because of overload.
func (i *ingress) recordEnd(req *request, overloaded bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.throttle(req.op.Name).Done(i.now(), overloaded)
}

// throttle returns the throttle of a route. The names come from the configuration, so the map stays small. The caller
// holds the lock.
func (i *ingress) throttle(name string) *throttle.Throttle {
	t := i.throttles[name]
	if t == nil {
		t = throttle.New()
		i.throttles[name] = t
	}
	return t
}

// succeeded reports whether a request was answered without a server error. A server error counts as a failure because
// it means in most cases that a child call of the request failed.
func succeeded(res *result) bool {
	return res.outcome == call.OutcomeAnswered && res.status < http.StatusInternalServerError
}

// rankInterval is the interval in which all requests of one entry and class have the same rank. A call by a backend
// server doesn't identify its parent request. With the same rank, the calls that one request makes shortly after each
// other are admitted or shed together.
const rankInterval = 500 * time.Millisecond

// rank returns the rank of a request of the class that starts at the given time.
func (i *ingress) rank(class call.Class, at time.Time) call.Rank {
	interval := at.UnixNano() / int64(rankInterval)
	return call.NewRank(class, i.dispatch.self+"/"+strconv.FormatInt(interval, 10))
}

// newRequest builds a request from the route it matches and from its headers.
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
	deadline := started.Add(timeout)
	origin := i.hops.beginCall(started, callSequence(r), lineage.Call{Route: matched.Name, Deadline: started.Add(callerTimeout)})
	return &request{
		service: matched.Choose(i.random()),
		op: config.Operation{Name: matched.Name, Method: r.Method, Idempotent: matched.Kind == route.Idempotent,
			Upload: matched.Kind == route.Upload},
		path:          requestTarget(r),
		rootID:        id,
		rank:          i.rank(matched.Class(), started).WithProgress(origin.progress),
		deadline:      deadline,
		origin:        origin,
		maxUpstreams:  matched.MaxAttempts,
		retryBudget:   retry.NewBudget(matched.MaxAttempts - 1),
		routed:        true,
		callerTimeout: callerTimeout,
	}
}

// requestTarget returns the path and query of a request as the caller sent them. net/url would encode characters that may
// not stand there, and a backend server would get another path.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI() // of a target in absolute form
}

// sequenceKey is the key of a connection's lineage.Sequence in the context of its requests.
type sequenceKey struct{}

// withCallSequence returns the context of a new connection, with a sequence of the calls that arrive on it.
func withCallSequence(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, sequenceKey{}, new(lineage.Sequence))
}

// callSequence returns the sequence of the connection on which a request arrived. A connection has one request at a
// time, so the sequence needs no lock.
func callSequence(r *http.Request) *lineage.Sequence {
	if s, ok := r.Context().Value(sequenceKey{}).(*lineage.Sequence); ok {
		return s
	}
	return new(lineage.Sequence)
}

// dispatchRoute reads the body and sends the request to an upstream, with the name of the local service as the caller.
func (i *ingress) dispatchRoute(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) *result {
	body, err := readBody(w, r, req.deadline, i.held.Holding(r.Context()))
	if err != nil {
		return notRun(bodyErrorReason(err))
	}
	defer body.release()
	platform.SetCallerService(r.Header, i.localService)
	fields := append(forwardedHeaders(r.Header), wire.Header{Name: hostHeader, Values: []string{r.Host}})
	if req.op.Idempotent {
		return i.dispatch.callIdempotent(ctx, req, fields, body)
	}
	return i.dispatch.callNonIdempotent(ctx, req, fields, body)
}

// writeRouteResult writes the result of a request to the caller. If the request did not run, the response has a
// Retry-After header.
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

// writeRefusal writes the response to a request that did not run.
func (i *ingress) writeRefusal(w http.ResponseWriter, reason call.Reason) {
	platform.SetRetryAfter(w.Header(), i.retryAfter(reason))
	writeProblem(w, http.StatusServiceUnavailable, string(reason), "the request did not run")
}

// retryAfter returns the time after which the caller of a refused request may retry.
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

// writeRouteAnswer copies an answer to the caller, without adding headers of guavapoint. If the answer ends early, it
// aborts the caller's connection, so that the caller never takes a truncated answer for a complete one.
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

// readyHandler returns the handler of the readiness check. It responds with 200 from the first configuration until the
// drain begins, and with 503 otherwise.
func (d *Daemon) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := d.readiness(); err != nil {
			writeProblem(w, http.StatusServiceUnavailable, "not-ready", err.Error())
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// Errors returned by readiness.
var (
	errDraining     = errors.New("the daemon is stopping")
	errUnconfigured = errors.New("the daemon has received no configuration yet")
)

// readiness returns nil if the daemon is ready, or why it isn't.
func (d *Daemon) readiness() error {
	if d.stopping.Load() || d.drain.draining() {
		return errDraining
	}
	if _, doc := d.config.Current(); doc == nil {
		return errUnconfigured
	}
	return nil
}
