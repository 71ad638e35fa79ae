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
)

// entry takes calls over HTTP. It is safe for concurrent use.
type entry struct {
	config   *config.Holder
	hops     *hopTable
	dispatch *dispatcher
	drain    *drainState
	refusals *refusalTracker
	report   *reporter
	now      func() time.Time
}

// router returns the handler of the call listener.
func (e *entry) router() http.Handler {
	// Paths are passed on as they came: the backend server may tell "//" from "/".
	r := mux.NewRouter().UseEncodedPath().SkipClean(true)
	r.PathPrefix(callPrefix).Handler(e)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, &requestError{http.StatusNotFound, "unknown-path", "calls go to /call/{service}/{path}"})
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
	// A draining daemon takes no new root requests. Child calls go on, since the requests that they belong to could not
	// finish otherwise; these requests already hold the drain.
	if req.parent == nil {
		if !e.drain.enter() {
			e.writeResult(w, e.refuseLocally(r, call.ReasonLeaving))
			return
		}
		defer e.drain.leave()
	}
	e.serve(w, r, req, started)
}

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

// run obtains a token, or dispatches the call.
func (e *entry) dispatchCall(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) *result {
	if req.requiresToken() && req.token == nil {
		return e.dispatch.requestToken(ctx, req)
	}
	body, err := readBody(w, r, req.deadline)
	if err != nil {
		return e.refuseLocally(r, call.ReasonCanceled)
	}
	fields := forwardedHeaders(r.Header)
	if req.requiresToken() {
		return e.dispatch.callWithToken(ctx, req, fields, body)
	}
	return e.dispatch.callIdempotent(ctx, req, fields, body)
}

func (e *entry) versionText() string {
	v, _ := e.config.Current()
	return strconv.FormatUint(v.Epoch, 10) + "." + strconv.FormatUint(v.Revision, 10)
}

// refuseLocally returns the result of a call that this entry doesn't send. With a token the outcome is unknown: the
// caller may have sent the request earlier, through this entry or another one, and only the token's upstream can
// prove that it did not run.
func (e *entry) refuseLocally(r *http.Request, reason call.Reason) *result {
	return &result{outcome: localOutcome(r), reason: reason}
}

func localOutcome(r *http.Request) call.Outcome {
	if r.Header.Get(headerToken) != "" {
		return call.OutcomeUnknown
	}
	return call.OutcomeNotRun
}

// reject answers a request that was not accepted.
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

func setOutcome(w http.ResponseWriter, o call.Outcome, reason call.Reason) {
	w.Header().Set(headerOutcome, o.String())
	if reason != call.ReasonNone {
		w.Header().Set(headerReason, string(reason))
	}
}

func writeError(w http.ResponseWriter, e *requestError) {
	writeProblem(w, e.status, e.code, e.message)
}

// problem is the JSON body of all answers that guavapoint itself gives.
type problem struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeProblem(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{code, message}) // the caller may be gone
}

// writeResult tells the caller the outcome.
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

// statusOf returns the HTTP status for a result without an answer.
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

func problemMessage(res *result) string {
	if res.outcome == call.OutcomeNotRun {
		return "the request did not run"
	}
	return "the request may have run"
}

// writeAnswer copies an answer to the caller. When the answer breaks off, it aborts the caller's connection, so that a
// truncated answer never looks whole.
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
