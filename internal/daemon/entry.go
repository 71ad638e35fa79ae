package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/intake"
)

// entry accepts calls over HTTP from callers and from the backend server beside this daemon, and forwards them to
// upstreams. It is safe for concurrent use.
type entry struct {
	config   *config.Holder
	hops     *hopTable
	dispatch *dispatcher
	drain    *drainState
	refusals *refusalTracker
	held     *intake.Intake
	report   *reporter
	now      func() time.Time
}

// router returns the handler of the call listener.
func (e *entry) router() http.Handler {
	// Paths are forwarded unchanged: to the backend server, "//" and "/" may be different paths.
	r := mux.NewRouter().UseEncodedPath().SkipClean(true)
	r.PathPrefix(callPrefix).Handler(e)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, &requestError{http.StatusNotFound, "unknown-path", "the path of a call must be /call/{service}/{path}"})
	})
	return r
}

// ServeHTTP serves one call.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := e.now()
	w.Header().Set(headerVersion, e.versionText())
	req, err := e.parseRequest(started, r)
	if err != nil {
		e.reject(w, r, err)
		return
	}
	// A draining daemon accepts no new root requests. It still accepts child calls, because their parent requests could
	// not finish otherwise. They aren't counted for the drain: it already waits for their parents.
	if req.parent == nil {
		if !e.drain.startRequest() {
			e.writeResult(w, e.refuseLocally(r, call.ReasonLeaving))
			return
		}
		defer e.drain.endRequest()
	}
	e.serve(w, r, req, started)
}

// serve runs an accepted call and writes its result to the caller.
func (e *entry) serve(w http.ResponseWriter, r *http.Request, req *request, started time.Time) {
	ctx, cancel := requestContext(r, req)
	defer cancel()
	if req.parent != nil {
		req.parent.childStarted(started)
	}
	req.span = e.report.telemetry.StartSpan("entry", r.Header.Get(headerTrace), req.service, req.rank.Class())
	res := e.dispatchCall(ctx, w, r, req)
	res.service = req.service
	if req.parent != nil {
		defer func() { req.parent.childEnded(e.now(), res) }()
	}
	req.span.End(res.outcome, res.reason)
	e.writeResult(w, res)
	took := e.now().Sub(started)
	e.report.recordCall(req, res, took, took-req.waited)
}

// dispatchCall sends the call to an upstream. For a call that requires a token and has none, it obtains the token
// instead.
func (e *entry) dispatchCall(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) *result {
	if req.requiresToken() && req.token == nil {
		return e.dispatch.requestToken(ctx, req)
	}
	body, err := readBody(w, r, req.deadline, e.held.Holding(r.Context()))
	if err != nil {
		return e.refuseLocally(r, bodyErrorReason(err))
	}
	defer body.release()
	fields := forwardedHeaders(r.Header)
	if req.requiresToken() {
		return e.dispatch.callWithToken(ctx, req, fields, body)
	}
	return e.dispatch.callIdempotent(ctx, req, fields, body)
}

// bodyErrorReason returns the reason for refusing a request whose body could not be read: the caller sent only a part of it,
// or this daemon holds too much already.
func bodyErrorReason(err error) call.Reason {
	if errors.Is(err, errNoMemory) {
		return call.ReasonMemory
	}
	return call.ReasonCanceled
}

// versionText returns the version of the current configuration as "epoch.revision".
func (e *entry) versionText() string {
	v, _ := e.config.Current()
	return strconv.FormatUint(v.Epoch, 10) + "." + strconv.FormatUint(v.Revision, 10)
}

// refuseLocally returns the result of a call that this entry refuses without sending it to an upstream, see
// localOutcome.
func (e *entry) refuseLocally(r *http.Request, reason call.Reason) *result {
	return &result{outcome: localOutcome(r), reason: reason}
}

// localOutcome returns the outcome of a call that this entry refuses without sending it to an upstream. Without a token
// it is not-run. With a token it is unknown: the caller may have sent the request earlier, through this entry or
// another one, and only the token's upstream can confirm that it did not run.
func localOutcome(r *http.Request) call.Outcome {
	if r.Header.Get(headerToken) != "" {
		return call.OutcomeUnknown
	}
	return call.OutcomeNotRun
}

// reject writes the response to a request that parseRequest did not accept.
func (e *entry) reject(w http.ResponseWriter, r *http.Request, err error) {
	var refused *notRunError
	if errors.As(err, &refused) {
		e.report.countRefusal(refused.reason)
		if refused.reason == call.ReasonDepth {
			e.report.log.Log(events.DepthExceeded, nil, nil)
		}
		setOutcome(w, localOutcome(r), refused.reason)
		writeProblem(w, http.StatusServiceUnavailable, string(refused.reason), refused.message)
		return
	}
	var bad *requestError
	if !errors.As(err, &bad) {
		bad = &requestError{http.StatusInternalServerError, "internal", err.Error()}
	}
	e.report.logMalformed(r.RemoteAddr, bad)
	setOutcome(w, localOutcome(r), call.Reason(bad.code))
	writeError(w, bad)
}

// setOutcome sets the headers for outcome and reason.
func setOutcome(w http.ResponseWriter, o call.Outcome, reason call.Reason) {
	w.Header().Set(headerOutcome, o.String())
	if reason != call.ReasonNone {
		w.Header().Set(headerReason, string(reason))
	}
}

func writeError(w http.ResponseWriter, e *requestError) {
	writeProblem(w, e.status, e.code, e.message)
}

// problem is the JSON body of every response that guavapoint itself produces, rather than a backend server.
type problem struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeProblem(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{code, message}) // fails only if the caller has disconnected
}

// writeResult writes the result of a call to the caller: the backend server's answer, or a problem with outcome and
// reason.
func (e *entry) writeResult(w http.ResponseWriter, res *result) {
	if res.upstream != "" {
		w.Header().Set(headerUpstream, res.upstream)
	}
	if res.outcome == call.OutcomeAnswered {
		e.writeAnswer(w, res)
		return
	}
	for _, f := range res.header {
		w.Header()[f.Name] = f.Values
	}
	setOutcome(w, res.outcome, res.reason)
	writeProblem(w, httpStatus(res), string(res.reason), problemMessage(res))
}

// httpStatus returns the HTTP status for a result without an answer.
func httpStatus(res *result) int {
	switch {
	case res.reason == call.ReasonTokenRequired:
		return http.StatusPreconditionRequired
	case res.reason == call.ReasonTokenMismatch:
		return http.StatusConflict
	case res.outcome == call.OutcomeNotRun && res.reason != call.ReasonDeadline:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

// problemMessage returns the message for a result without an answer.
func problemMessage(res *result) string {
	if res.outcome == call.OutcomeNotRun {
		return "the request did not run"
	}
	return "the request may have run"
}

// writeAnswer copies an answer to the caller. If the answer ends early, writeAnswer aborts the caller's connection, so
// that the caller never takes a truncated answer for a complete one.
func (e *entry) writeAnswer(w http.ResponseWriter, res *result) {
	applyHeaders(w.Header(), res.header)
	if res.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(res.length, 10))
	}
	setOutcome(w, call.OutcomeAnswered, call.ReasonNone)
	w.WriteHeader(res.status)
	_, copyErr := io.Copy(w, io.MultiReader(bytes.NewReader(res.bodyPrefix), res.body))
	res.close(copyErr == nil)
	if copyErr != nil {
		e.report.logTruncated(res.service, res.upstream, res.length)
		panic(http.ErrAbortHandler)
	}
}
