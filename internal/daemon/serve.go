package daemon

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"guavapoint.example/guavapoint/internal/core/admission"
	"guavapoint.example/guavapoint/internal/core/announce"
	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/core/drain"
	"guavapoint.example/guavapoint/internal/core/quarantine"
	"guavapoint.example/guavapoint/internal/core/retry"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/intake"
	"guavapoint.example/guavapoint/internal/telemetry"
	"guavapoint.example/guavapoint/internal/transport"
	"guavapoint.example/guavapoint/internal/wire"
)

// upstream is the upstream role of a daemon: it serves the calls that other daemons send to its backend server. It is
// safe for concurrent use.
type upstream struct {
	service     string
	self        string // peer address
	incarnation call.Incarnation
	config      *config.Holder
	drain       *drainState
	admission   *admissionQueue
	instance    *instanceTracker // nil where the backend server doesn't announce itself
	tokens      *tokenTable
	quarantine  *quarantineTable
	hops        *hopTable
	backend     *backend
	failures    *failureMeter
	refusals    *refusalTracker
	held        *intake.Intake
	report      *reporter
	now         func() time.Time
}

// upstreamCall is a call that the upstream's daemon is serving.
type upstreamCall struct {
	header      *wire.CallHeader
	body        *requestBody
	fingerprint quarantine.Fingerprint
	deadline    time.Time
	retryBudget *retry.Budget
	span        *telemetry.Span
	// hop is nil until the call is admitted. It is atomic, because a call with a token can be admitted by one goroutine
	// while another one already sends its answer, see runWithToken.
	hop atomic.Pointer[hop]
	// backendCtx is the context of the request to the backend server. For an idempotent request it ends at the deadline
	// or when the caller disconnects. A non-idempotent request is not canceled once it has been dispatched.
	backendCtx context.Context
}

// serveCall serves one call and sends the answer.
func (u *upstream) serveCall(s *transport.CallStream) {
	started := u.now()
	h := s.Header()
	deadline := started.Add(h.Timeout)
	ctx, cancel := context.WithDeadline(s.Context(), deadline)
	defer cancel()
	span := u.report.telemetry.StartSpan("upstream", h.TraceParent, u.service, h.Rank.Class())
	c := &upstreamCall{header: h, deadline: deadline, retryBudget: retry.NewBudget(h.Retries), backendCtx: ctx, span: span}
	defer func() { c.body.release() }()
	res := u.serve(ctx, c, s.Body())
	span.End(res.outcome, res.reason)
	u.logNotAnswered(c, res)
	u.answer(s, c, res)
}

// logNotAnswered logs a call that was refused or has an unknown outcome, with the state of this daemon that explains
// the reason.
func (u *upstream) logNotAnswered(c *upstreamCall, res *result) {
	var known announce.Instance
	if u.instance != nil {
		known = u.instance.current()
	}
	class := c.header.Rank.Class().String()
	switch res.outcome {
	case call.OutcomeNotRun:
		load := u.admission.load()
		version, _ := u.config.Current()
		u.report.log.Log(events.CallRefused, c.header.RootID, c.header.From, string(res.reason), class, load.Limit,
			load.InFlight, load.Waiting, uint32(u.admission.cutoff()), known.ID, known.State.String(), version.Revision)
	case call.OutcomeUnknown:
		u.report.log.Log(events.CallFailed, c.header.RootID, c.header.From, string(res.reason), class, known.ID,
			c.deadline.Sub(u.now()).String())
	}
}

// serve checks a call, admits it and runs it on the backend server. It returns the result, which the caller closes.
func (u *upstream) serve(ctx context.Context, c *upstreamCall, body io.Reader) *result {
	if res := u.refuseMisdirected(c.header); res != nil {
		return res
	}
	var err error
	if c.body, err = newRequestBody(body, c.header.BodyLength, u.held.Holding(ctx)); err != nil {
		return bodyReadFailed(c.header, err)
	}
	c.fingerprint = quarantine.NewFingerprint(c.header.Service, c.header.Method, c.header.Path, c.body.prefix)
	if c.header.Token != "" {
		return u.serveWithToken(ctx, c)
	}
	if !u.acceptsWork() || !u.drain.startRequest() {
		return notRun(call.ReasonLeaving)
	}
	res := u.admitAndRun(ctx, c)
	// The request counts as in flight until its answer has been sent, so that a drain doesn't cut the answer off.
	return addOnClose(res, u.drain.endRequest)
}

// acceptsWork reports whether the backend server takes new work.
func (u *upstream) acceptsWork() bool {
	return u.instance == nil || u.instance.current().State == announce.Ready
}

// mayStart reports whether a call that starts now can be expected to end before this daemon exits. A call that began to
// wait before the drain has started in so far.
func (u *upstream) mayStart(c *upstreamCall) bool {
	return u.drain.mayStart(u.now(), drain.Start{Deadline: c.deadline, Expected: 2 * u.admission.load().RunTime, Continues: true})
}

// bodyReadFailed returns the result of a call whose body ended early, or can't be held. The call did not run, so the outcome
// is not-run; but with a token of the caller it is unknown, because an earlier call with the same token may have run.
func bodyReadFailed(h *wire.CallHeader, err error) *result {
	if h.Token != "" && !h.Minted {
		return unknown(bodyErrorReason(err))
	}
	return notRun(bodyErrorReason(err))
}

// addOnClose makes res.close call f as well, after the onClose that is already set, and returns res. A result is closed
// once its body was read to the end or given up.
func addOnClose(res *result, f func()) *result {
	earlier := res.onClose
	res.onClose = func(complete bool) {
		if earlier != nil {
			earlier(complete)
		}
		f()
	}
	return res
}

// refuseMisdirected returns a refusal if the call is meant for another service or incarnation, for example after
// another VM has taken over an address. Otherwise it returns nil.
func (u *upstream) refuseMisdirected(h *wire.CallHeader) *result {
	if h.Service == u.service && (h.Incarnation == 0 || h.Incarnation == u.incarnation) {
		return nil
	}
	if h.Token != "" {
		return unknown(call.ReasonIncarnationGone)
	}
	return notRun(call.ReasonWrongUpstream)
}

// admitAndRun waits for admission and runs the call on the backend server. Admission has two stages: a slot, and for a
// quarantine suspect the time until it can run alone. The slot is released when the result is closed.
func (u *upstream) admitAndRun(ctx context.Context, c *upstreamCall) *result {
	if u.quarantine.isQuarantined(c.fingerprint) {
		return notRun(call.ReasonQuarantined)
	}
	id, reason := u.admission.acquire(ctx, c.header.Rank, c.deadline)
	if reason != call.ReasonNone {
		return notRun(reason)
	}
	finishRun, reason := u.quarantine.acquire(ctx, c.fingerprint)
	if reason != call.ReasonNone {
		u.admission.abandon(id)
		return notRun(reason)
	}
	if !u.acceptsWork() || !u.mayStart(c) { // the backend server or this daemon may have begun to leave while the call waited
		finishRun(false)
		u.admission.abandon(id)
		return notRun(call.ReasonLeaving)
	}
	h := &hop{rootID: c.header.RootID, rank: c.header.Rank, depth: c.header.Depth, deadline: c.deadline,
		retryBudget: c.retryBudget, ctx: c.backendCtx, retried: c.header.Retried,
		callDeadline: c.deadline.Add(-deadlineMargin)}
	c.hop.Store(h)
	started := u.now()
	hopContext := u.hops.add(h, started)
	res, overloaded := u.backend.run(c, hopContext.String(), c.span.TraceParent())
	u.hops.answered(h, u.now())
	u.failures.record(ctx, res)
	res.overloaded = failedAtBackend(res) && u.refusals.recent()
	return addOnClose(res, func() {
		now := u.now()
		selfTime := now.Sub(started) - h.childWaitTime(now)
		u.hops.remove(h, now)
		u.admission.release(id, admission.Sample{SelfTime: selfTime, Overloaded: overloaded && !h.hasFailedChild()})
		finishRun(res.outcome == call.OutcomeAnswered)
	})
}

// answer sends the result to the caller's daemon and closes it. The retries that the call has left over are returned at
// the end of the answer.
func (u *upstream) answer(s *transport.CallStream, c *upstreamCall, res *result) {
	h := wire.AnswerHeader{
		Outcome:     res.outcome,
		Reason:      res.reason,
		Status:      res.status,
		Header:      res.header,
		BodyLength:  res.length,
		Cutoff:      u.cutoff(c),
		Config:      wireVersion(u.config),
		Load:        u.admission.loadPercent(),
		FailureRate: u.failures.percent(),
		Overloaded:  res.overloaded,
		Backend:     u.backendReport(),
	}
	unusedRetries := func() int { return takeAllRetries(c.retryBudget) }
	if res.outcome != call.OutcomeAnswered {
		res.close(true)
		_ = s.Answer(h, nil, unusedRetries) // fails if the caller's daemon has disconnected
		return
	}
	body := &errorRecorder{r: io.MultiReader(bytes.NewReader(res.bodyPrefix), res.body)}
	err := s.Answer(h, body, unusedRetries)
	res.close(err == nil)
	if body.err != nil {
		u.report.logTruncated(u.service, u.self, res.length)
	}
}

// cutoff returns the rank below which calls like this one are refused at present: the higher of this upstream's cutoff
// and the highest cutoff of services further down the call graph that the call's child calls received. By it the entry
// refuses calls early that would be refused further down.
func (u *upstream) cutoff(c *upstreamCall) call.Rank {
	own := u.admission.cutoff()
	h := c.hop.Load()
	if h == nil {
		return own
	}
	return max(own, h.childCutoff())
}

// errorRecorder keeps the last error of the reader that it wraps, other than io.EOF.
type errorRecorder struct {
	r   io.Reader
	err error
}

// Read implements io.Reader.
func (e *errorRecorder) Read(p []byte) (int, error) {
	n, err := e.r.Read(p)
	if err != nil && err != io.EOF {
		e.err = err
	}
	return n, err
}
