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
	"guavapoint.example/guavapoint/internal/core/quarantine"
	"guavapoint.example/guavapoint/internal/core/retry"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/telemetry"
	"guavapoint.example/guavapoint/internal/transport"
	"guavapoint.example/guavapoint/internal/wire"
)

// upstream serves the calls that other daemons send to this one. It is safe for concurrent use.
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
	report      *reporter
	now         func() time.Time
}

// upstreamCall is one call on its way through the upstream's daemon.
type upstreamCall struct {
	header      *wire.CallHeader
	body        *requestBody
	fingerprint quarantine.Fingerprint
	deadline    time.Time
	retryBudget *retry.Budget
	span        *telemetry.Span
	hop         atomic.Pointer[hop] // nil until the call was admitted; a transfer can outlive the goroutine that answers
	// backendCtx is the context of the backend server's work. It ends with the deadline and the caller for an idempotent request;
	// a non-idempotent request is not cancelled once it has been dispatched.
	backendCtx context.Context
}

// serveCall takes one call and answers it.
func (u *upstream) serveCall(s *transport.CallStream) {
	started := u.now()
	h := s.Header()
	deadline := started.Add(h.Timeout)
	ctx, cancel := context.WithDeadline(s.Context(), deadline)
	defer cancel()
	span := u.report.telemetry.StartSpan("upstream", h.TraceParent, u.service, h.Rank.Class())
	c := &upstreamCall{header: h, deadline: deadline, retryBudget: retry.NewBudget(h.Retries), backendCtx: ctx, span: span}
	res := u.serve(ctx, c, s.Body())
	span.End(res.outcome, res.reason)
	u.logNotAnswered(c, res)
	u.answer(s, c, res)
}

// logNotAnswered writes the line of a call that brought no answer, with what decided that.
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
		u.report.log.Log(events.CallRefused, c.header.RootID, c.header.From, string(res.reason), class, load.Limit, load.InFlight,
			load.Waiting, uint32(u.admission.cutoff()), known.ID, known.State.String(), version.Revision)
	case call.OutcomeUnknown:
		u.report.log.Log(events.CallFailed, c.header.RootID, c.header.From, string(res.reason), class, known.ID,
			c.deadline.Sub(u.now()).String())
	}
}

// serve decides on a call and runs it.
func (u *upstream) serve(ctx context.Context, c *upstreamCall, body io.Reader) *result {
	if res := u.refuseMisdirected(c.header); res != nil {
		return res
	}
	var err error
	if c.body, err = newRequestBody(body, c.header.BodyLength); err != nil {
		return bodyReadFailed(c.header)
	}
	c.fingerprint = quarantine.NewFingerprint(c.header.Service, c.header.Method, c.header.Path, c.body.prefix)
	if c.header.Token != "" {
		return u.serveWithToken(ctx, c)
	}
	if !u.acceptsWork() || !u.drain.startRequest() {
		return notRun(call.ReasonLeaving)
	}
	res := u.admitAndRun(ctx, c)
	// The drain lasts until the answer has been read by the caller's daemon.
	return onFinish(res, u.drain.endRequest)
}

// acceptsWork reports whether the backend server takes new work.
func (u *upstream) acceptsWork() bool {
	return u.instance == nil || u.instance.current().State == announce.Ready
}

// bodyReadFailed is the result of a call whose body broke off. It did not run, but an earlier one with the same token may have.
func bodyReadFailed(h *wire.CallHeader) *result {
	if h.Token != "" {
		return unknown(call.ReasonCanceled)
	}
	return notRun(call.ReasonCanceled)
}

// onFinish calls f when the result has been passed on.
func onFinish(res *result, f func()) *result {
	earlier := res.onClose
	res.onClose = func(whole bool) {
		if earlier != nil {
			earlier(whole)
		}
		f()
	}
	return res
}

// refuseMisdirected refuses a call that is meant for another service or incarnation, for example when an address was
// taken over by another VM.
func (u *upstream) refuseMisdirected(h *wire.CallHeader) *result {
	if h.Service == u.service && (h.Incarnation == 0 || h.Incarnation == u.incarnation) {
		return nil
	}
	if h.Token != "" {
		return unknown(call.ReasonIncarnationGone)
	}
	return notRun(call.ReasonWrongUpstream)
}

// admitAndRun waits for a slot and runs the call on the backend server.
func (u *upstream) admitAndRun(ctx context.Context, c *upstreamCall) *result {
	if u.quarantine.isQuarantined(c.fingerprint) {
		return notRun(call.ReasonQuarantined)
	}
	id, reason := u.admission.acquire(ctx, c.header.Rank, c.deadline)
	if reason != call.ReasonNone {
		return notRun(reason)
	}
	if !u.acceptsWork() {
		u.admission.abandon(id)
		return notRun(call.ReasonLeaving)
	}
	finishRun, reason := u.quarantine.acquire(ctx, c.fingerprint)
	if reason != call.ReasonNone {
		u.admission.abandon(id)
		return notRun(reason)
	}
	h := &hop{rootID: c.header.RootID, rank: c.header.Rank, depth: c.header.Depth, deadline: c.deadline,
		retryBudget: c.retryBudget, ctx: c.backendCtx}
	c.hop.Store(h)
	hopContext := u.hops.add(h)
	started := u.now()
	res, overloaded := u.backend.run(c, hopContext.String(), c.span.TraceParent())
	u.failures.record(ctx, res)
	res.overloaded = failedAtBackend(res) && u.refusals.recent()
	return onFinish(res, func() {
		now := u.now()
		selfTime := now.Sub(started) - h.childWaitTime(now)
		u.hops.remove(h)
		u.admission.release(id, admission.Sample{SelfTime: selfTime, Overloaded: overloaded && !h.hasFailedChild()})
		finishRun(res.outcome == call.OutcomeAnswered)
	})
}

// answer sends the result to the caller's daemon.
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
	}
	unspent := func() int { return takeAllRetries(c.retryBudget) }
	if res.outcome != call.OutcomeAnswered {
		res.close(true)
		_ = s.Answer(h, nil, unspent) // the caller's daemon may be gone
		return
	}
	body := &errorRecorder{r: io.MultiReader(bytes.NewReader(res.bodyPrefix), res.body)}
	err := s.Answer(h, body, unspent)
	res.close(err == nil)
	if body.err != nil {
		u.report.logTruncated(u.service, u.self, res.length)
	}
}

// cutoff returns the rank below which calls like this one have no chance at present: that of this upstream, or that of a
// deeper service that the call has met. So the entry refuses what would be refused deep in the chain.
func (u *upstream) cutoff(c *upstreamCall) call.Rank {
	own := u.admission.cutoff()
	h := c.hop.Load()
	if h == nil {
		return own
	}
	return max(own, h.childCutoff())
}

// errorRecorder remembers a failure of the reader below it.
type errorRecorder struct {
	r   io.Reader
	err error
}

// Read implements io.Reader.
func (w *errorRecorder) Read(p []byte) (int, error) {
	n, err := w.r.Read(p)
	if err != nil && err != io.EOF {
		w.err = err
	}
	return n, err
}
