package daemon

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/chainretry"
	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/core/drain"
	"guavapoint.example/guavapoint/internal/core/retry"
	"guavapoint.example/guavapoint/internal/core/routing"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/intake"
	"guavapoint.example/guavapoint/internal/transport"
	"guavapoint.example/guavapoint/internal/wire"
)

// maxAnswerPrefix is the number of bytes of an answer that are read before anything is written to the caller. If an
// answer ends early within them, the request can still be retried, or the failure reported with a status code.
const maxAnswerPrefix = 64 << 10

// peers sends calls and control messages to other daemons.
type peers interface {
	Call(ctx context.Context, address string, h *wire.CallHeader, body io.Reader) (*transport.Answer, error)
	Request(ctx context.Context, address string, m *wire.Control) (*wire.Control, error)
}

// dispatcher chooses upstreams, sends calls to them and retries failed calls within the retry budget of the request and
// the retry ratio of the operation. It is safe for concurrent use.
type dispatcher struct {
	self     string // peer address of this daemon
	peers    peers
	config   *config.Holder
	report   *reporter
	services *serviceTable
	drain    *drainState
	held     *intake.Intake
	// observeVersion is called with the address and the configuration version of each peer that answers.
	observeVersion func(address string, v wire.ConfigVersion)
	now            func() time.Time
	backends       backendReports

	mu  sync.Mutex // protects rng
	rng *rand.Rand
}

// attempt is the result of sending a request to an upstream once.
type attempt struct {
	*result
	sent      bool // the request may have reached the upstream
	retryable bool // another attempt may succeed
}

// callIdempotent sends an idempotent request to upstreams until one answers or no further attempt is allowed.
func (d *dispatcher) callIdempotent(ctx context.Context, req *request, fields []wire.Header,
	body *requestBody) *result {
	op := d.services.operation(req.service, req.op.Name)
	op.retries.recordFirst(d.now(), req.origin.retriedShare)
	var last *result
	var tried []string
	for n := 1; ; n++ {
		if !d.mayStart(req, op, n) {
			return combineResults(last, notRun(call.ReasonLeaving))
		}
		target, err := d.pickNext(op, req, body, last, tried)
		if errors.Is(err, routing.ErrNoUpstream) && mayRetrySameUpstream(last) {
			target, err = op.pick(d.now(), d.pickInfo(req, body, nil))
		}
		if err != nil {
			return d.pickFailed(req, last, err)
		}
		tried = appendNew(tried, target.Address)
		a := d.send(ctx, req, target, fields, body, func(r routing.DoneInfo) {
			op.done(d.now(), target.Address, r)
		})
		last = combineResults(last, a.result)
		if !a.retryable || !d.allowNextAttempt(ctx, req, op, body, a, n) {
			return last
		}
		d.logNextAttempt(req, target, a)
	}
}

// mayStart reports whether attempt number n can be expected to end before this daemon exits. It is asked when the body is
// there and before each retry, because a stop may have begun since the request arrived.
func (d *dispatcher) mayStart(req *request, op *outboundOperation, n int) bool {
	return d.drain.mayStart(d.now(), drain.Start{Deadline: req.deadline, Expected: op.latencyBound(),
		Continues: n > 1 || req.isCall()})
}

// logNextAttempt logs that another attempt follows, with the upstream and the result of the last one.
func (d *dispatcher) logNextAttempt(req *request, target routing.Picked, a attempt) {
	d.report.log.Log(events.RequestRepeated, req.rootID, req.service, req.rank.Class().String(), target.Address,
		a.outcome.String(), string(a.reason), a.status, req.attempts, req.deadline.Sub(d.now()).String())
}

// maxRefusals is the number of upstreams that can refuse a request before the refusal is reported to its caller. Each
// refusal costs a round trip, and if three upstreams are full the others rarely have free slots.
const maxRefusals = 3

// maxRateLimitRefusals replaces maxRefusals after a refusal because of a rate limit. Unlike a full upstream, an upstream
// whose backend server limits its rate says nothing about the room of the others.
const maxRateLimitRefusals = 5

// maxBackendRefusals is the number of attempts after which a request that backend servers refuse is given up. Where
// they refuse half of what they get, one request in 256 is refused so often.
const maxBackendRefusals = 8

// allowNextAttempt decides whether to send the request again after attempt number n. A routed request that an
// upstream's daemon refused has not reached its backend server, so sending it to another upstream doesn't count as a
// retry. One that a backend server refused has not run, so it uses no retry of the request, only one of the service. In
// all other cases it takes a retry and waits for the backoff, see allowRetry.
func (d *dispatcher) allowNextAttempt(ctx context.Context, req *request, op *outboundOperation, body *requestBody,
	a attempt, n int) bool {
	if req.routed && refusedByDaemon(a.result) {
		limit := maxRefusals
		if a.reason == call.ReasonRateLimit {
			limit = maxRateLimitRefusals
		}
		return ctx.Err() == nil && n < limit && body.replayable()
	}
	if req.routed && a.outcome == call.OutcomeNotRun && a.reason == call.ReasonBackendRefused {
		return d.allowRefusedAgain(ctx, req, op, body, n)
	}
	return d.allowRetry(ctx, req, op, body, n)
}

// pickNext chooses the upstream for the next attempt. It is one that wasn't tried before, unless backend servers refused
// the request and it is idempotent: once it has been sent to as many upstreams as it may, or no other is left, it is one
// of those. A non-idempotent request reaches a backend server at most once: its refusal, written once more, would pass
// for the response to a second sending.
func (d *dispatcher) pickNext(op *outboundOperation, req *request, body *requestBody, last *result,
	tried []string) (routing.Picked, error) {
	info := d.pickInfo(req, body, tried)
	info.AvoidRateLimited = last != nil && last.reason == call.ReasonRateLimit
	refused := req.routed && last != nil && last.reason == call.ReasonBackendRefused
	sendAgain := refused && req.op.Idempotent
	if !refused || len(tried) < req.maxUpstreams {
		target, err := op.pick(d.now(), info)
		if !sendAgain || !errors.Is(err, routing.ErrNoUpstream) {
			return target, err
		}
	}
	if !sendAgain {
		return routing.Picked{}, routing.ErrNoUpstream
	}
	info.Exclude, info.Among = nil, tried
	return op.pick(d.now(), info)
}

// appendNew appends an address to a list that doesn't have it.
func appendNew(list []string, address string) []string {
	if slices.Contains(list, address) {
		return list
	}
	return append(list, address)
}

// refusedByDaemon reports whether the request was refused before it reached an upstream's backend server.
func refusedByDaemon(res *result) bool {
	return res.outcome == call.OutcomeNotRun && res.reason != call.ReasonBackendRefused
}

// pickFailed logs why the picker found no further upstream, if that is an empty byte budget, and returns the result of
// the request, see pickErrorResult.
func (d *dispatcher) pickFailed(req *request, last *result, err error) *result {
	var empty *routing.LinkBudgetError
	if errors.As(err, &empty) {
		d.report.logLinkBudget(req.service, empty)
	}
	return pickErrorResult(req, last, err)
}

// pickErrorResult returns the result of a request for which the picker found no further upstream; last is the result of
// the attempts so far, or nil. If all upstreams have refused, it returns the last refusal rather than "no upstream",
// which would make operators look for daemons that don't run.
func pickErrorResult(req *request, last *result, err error) *result {
	if errors.Is(err, routing.ErrBelowCutoff) {
		req.recordCutoff(req.rank + 1) // the lowest cutoff that excludes this rank
	}
	if last != nil && errors.Is(err, routing.ErrNoUpstream) {
		return last
	}
	return combineResults(last, notRun(reasonForPickError(err)))
}

// mayRetrySameUpstream reports whether an upstream that was already tried may be tried again when no other is left. It
// may if the outcome is unknown: a lost connection says little about the upstream. It may not after a refusal.
func mayRetrySameUpstream(last *result) bool {
	return last != nil && last.outcome == call.OutcomeUnknown
}

// pickInfo describes the request to the picker, which skips the upstreams in tried.
func (d *dispatcher) pickInfo(req *request, body *requestBody, tried []string) routing.PickInfo {
	return routing.PickInfo{Rank: req.rank, Bytes: int64(len(body.prefix)), Upload: req.op.Upload,
		Idempotent: req.op.Idempotent, Exclude: tried}
}

// reasonForPickError returns the reason that is reported for an error of the picker.
func reasonForPickError(err error) call.Reason {
	switch {
	case errors.Is(err, routing.ErrBelowCutoff):
		return call.ReasonOverload
	case errors.Is(err, routing.ErrLinkBudget):
		return call.ReasonLinkBudget
	default:
		return call.ReasonNoUpstream
	}
}

// allowRetry takes a retry from the operation's retry ratio and from the request's budget, and waits for the backoff.
// It returns false if either has none left, if the body can't be sent again, or if the context ends.
func (d *dispatcher) allowRetry(ctx context.Context, req *request, op *outboundOperation, body *requestBody,
	n int) bool {
	if ctx.Err() != nil || !body.replayable() {
		return false
	}
	if req.retryBudget.Remaining() == 0 {
		return false
	}
	if !d.takeRetry(req, op) {
		return false
	}
	if !req.retryBudget.Spend() {
		return false
	}
	return d.waitBackoff(ctx, req, n)
}

// maxRefusedBackoff is the number of steps by which the backoff grows while backend servers refuse a request. A refusal
// takes no time at the backend server and the request may be one of many calls of a chain, so the backoff stays short.
const maxRefusedBackoff = 2

// allowRefusedAgain takes a retry from the service's limiter for a request that a backend server refused, and waits for
// a short backoff. The request has not run, so its own number of retries doesn't count.
func (d *dispatcher) allowRefusedAgain(ctx context.Context, req *request, op *outboundOperation, body *requestBody,
	n int) bool {
	limit := maxBackendRefusals
	if !req.op.Idempotent {
		limit = min(limit, req.maxUpstreams) // one sending to each, see pickNext
	}
	if ctx.Err() != nil || n >= limit || !body.replayable() || !d.takeRetry(req, op) {
		return false
	}
	return d.waitBackoff(ctx, req, min(n, maxRefusedBackoff))
}

// takeRetry takes a retry from the limiter of the service and reports whether it allowed one.
func (d *dispatcher) takeRetry(req *request, op *outboundOperation) bool {
	allowed := op.retries.allow(d.now(), chainretry.Priority{Class: req.rank.Class(), Progress: req.origin.progress})
	if !allowed {
		d.report.logRetriesExhausted(req.service)
		return false
	}
	req.retried = true
	d.report.countRetry(req.service)
	return true
}

// waitBackoff waits for the backoff and counts it as time that the request has waited.
func (d *dispatcher) waitBackoff(ctx context.Context, req *request, n int) bool {
	started := d.now()
	defer func() { req.waited += d.now().Sub(started) }()
	return d.backoff(ctx, n)
}

// backoff waits before the next attempt. It returns false if the context ends first.
func (d *dispatcher) backoff(ctx context.Context, n int) bool {
	d.mu.Lock()
	wait := retry.Backoff(n, d.rng)
	d.mu.Unlock()
	return sleep(ctx, wait)
}

// send sends a request to an upstream once and returns the result. It calls reportDone exactly once, for the picker. The
// charge of the target ends with the call, which for an answer is when the result is closed.
func (d *dispatcher) send(ctx context.Context, req *request, target routing.Picked, fields []wire.Header,
	body *requestBody, reportDone func(routing.DoneInfo)) attempt {
	reader, ok := body.reader()
	if !ok {
		target.Charge.End(d.now())
		reportDone(routing.DoneInfo{Outcome: call.OutcomeNotRun, Reason: call.ReasonCanceled})
		return attempt{result: notRun(call.ReasonCanceled)}
	}
	req.attempts++
	started := d.now()
	granted := 0
	if !req.routed { // the calls of a routed request are requests of their own and use none of its retries
		granted = req.retryBudget.Grant()
	}
	header := d.header(req, target, fields, body)
	header.Retries = granted
	answer, err := d.peers.Call(ctx, target.Address, header, chargeSent(reader, target.Charge, d.now))
	req.waited += d.now().Sub(started)
	if err != nil {
		target.Charge.End(d.now())
		a := attemptFromError(ctx, err)
		if !a.sent {
			req.retryBudget.Return(granted)
		}
		reportDone(routing.DoneInfo{Latency: d.now().Sub(started), Outcome: a.outcome, Reason: a.reason})
		return a
	}
	d.observeVersion(target.Address, answer.Header.Config)
	d.backends.record(target.Address, answer.Header.Outcome, answer.Header.Backend)
	req.recordCutoff(answer.Header.Cutoff)
	return d.attemptFromAnswer(ctx, req, target, d.now().Sub(started), answer, granted, reportDone)
}

// header builds the call header of one attempt.
func (d *dispatcher) header(req *request, target routing.Picked, fields []wire.Header,
	body *requestBody) *wire.CallHeader {
	return &wire.CallHeader{
		RootID:      req.rootID,
		Rank:        req.rank,
		Depth:       req.depth,
		Timeout:     req.deadline.Sub(d.now()),
		Service:     req.service,
		Incarnation: target.Incarnation,
		Token:       req.tokenRaw,
		Minted:      req.minted,
		Method:      req.op.Method,
		Path:        req.path,
		Header:      fields,
		BodyLength:  body.length,
		TraceParent: req.span.TraceParent(),
		Config:      wireVersion(d.config),
		From:        d.self,
		Retried:     req.retried || req.origin.retriedShare >= 0.5,
		Backend:     d.backends.get(target.Address),
	}
}

// attemptFromError returns the attempt for an error of the transport.
func attemptFromError(ctx context.Context, err error) attempt {
	var notSent *transport.NotSentError
	if errors.As(err, &notSent) {
		if ctx.Err() != nil {
			return attempt{result: notRun(contextEndReason(ctx))}
		}
		return attempt{result: notRun(call.ReasonUnreachable), retryable: true}
	}
	if ctx.Err() != nil {
		return attempt{result: unknown(call.ReasonTimeout), sent: true}
	}
	return attempt{result: unknown(call.ReasonConnectionLost), sent: true, retryable: true}
}

// contextEndReason returns the reason for a request whose context ended before it was sent.
func contextEndReason(ctx context.Context) call.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return call.ReasonDeadline
	}
	return call.ReasonCanceled
}

// attemptFromAnswer returns the attempt for an answer header, and reads the start of the body if there is one. granted
// is the number of retries sent along with the request; those that the upstream did not use return to the request's
// budget.
func (d *dispatcher) attemptFromAnswer(ctx context.Context, req *request, target routing.Picked, took time.Duration,
	answer *transport.Answer, granted int, reportDone func(routing.DoneInfo)) attempt {
	h := &answer.Header
	address := target.Address
	r := routing.DoneInfo{Latency: took, Outcome: h.Outcome, Reason: h.Reason, Cutoff: h.Cutoff,
		Load: float64(h.Load) / 100, FailureRate: float64(h.FailureRate) / 100,
		RateLimited: reportedRateLimit(h.Backend).Limited(), Failed: h.Status >= http.StatusInternalServerError}
	if h.Outcome != call.OutcomeAnswered {
		target.Charge.End(d.now())
		answer.Body.Close()
		req.retryBudget.Return(min(h.UnusedRetries, granted))
		reportDone(r)
		res := &result{outcome: h.Outcome, reason: h.Reason, upstream: address, header: h.Header, overloaded: h.Overloaded}
		return attempt{result: res, sent: true, retryable: retryableOutcome(h.Outcome, h.Reason)}
	}
	body := chargeReceived(answer.Body, target.Charge, d.now)
	held := d.held.Holding(ctx)
	prefix, err := readHeld(body, maxAnswerPrefix, held)
	if err != nil && err != io.EOF && err != errNoMemory { // without memory, the answer is passed on as it arrives
		held.Release()
		target.Charge.End(d.now())
		body.Close()
		r.Outcome, r.Reason = call.OutcomeUnknown, call.ReasonTruncated
		reportDone(r)
		return attempt{result: unknown(call.ReasonTruncated), sent: true, retryable: true}
	}
	reportDone(r)
	res := &result{outcome: h.Outcome, upstream: address, status: h.Status, header: h.Header, length: h.BodyLength,
		bodyPrefix: prefix, body: body, overloaded: h.Overloaded}
	res.onClose = func(complete bool) {
		held.Release()
		target.Charge.End(d.now())
		if complete {
			req.retryBudget.Return(min(answer.UnusedRetries(), granted))
		}
	}
	return attempt{result: res, sent: true, retryable: d.isOutlierFailure(req, address, h.Status)}
}

// isOutlierFailure reports whether the status is a server error from an upstream that fails more often than the others
// of its service. Another upstream then most likely succeeds. If all fail equally often, a retry would only add load.
func (d *dispatcher) isOutlierFailure(req *request, address string, status int) bool {
	return status >= http.StatusInternalServerError &&
		d.services.operation(req.service, req.op.Name).isOutlier(d.now(), address)
}

// retryableOutcome reports whether an idempotent request with this result may succeed on another upstream.
func retryableOutcome(o call.Outcome, r call.Reason) bool {
	switch r {
	case call.ReasonOverload, call.ReasonRateLimit, call.ReasonMemory, call.ReasonLeaving, call.ReasonWrongUpstream,
		call.ReasonBackendRefused, call.ReasonTokenRefused:
		return o == call.OutcomeNotRun
	case call.ReasonConnectionLost, call.ReasonBackendCrashed, call.ReasonTruncated, call.ReasonAnswerMismatch:
		return o == call.OutcomeUnknown
	default:
		return false
	}
}
