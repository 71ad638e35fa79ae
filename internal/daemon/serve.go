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
	gate        *gate
	announced   *announced // nil where the backend server doesn't announce itself
	tokens      *tokens
	suspects    *suspects
	hops        *hopTable
	backend     *backend
	failures    *failureMeter
	refusals    *refusalTracker
	report      *reporter
	now         func() time.Time
}

// serving is one call on its way through the upstream's daemon.
type serving struct {
	header   *wire.CallHeader
	body     *requestBody
	print    quarantine.Fingerprint
	deadline time.Time
	account  *retry.Budget
	span     *telemetry.Span
	hop      atomic.Pointer[hop] // nil until the call was admitted; a transfer can outlive the goroutine that answers
	// runCtx is the context of the backend server's work. It ends with the deadline and the caller for an idempotent request;
	// a non-idempotent request is not cancelled once it has been dispatched.
	runCtx context.Context
}

// serveCall takes one call and answers it.
func (u *upstream) serveCall(s *transport.CallStream) {
	started := u.now()
	h := s.Header()
	deadline := started.Add(h.Timeout)
	ctx, cancel := context.WithDeadline(s.Context(), deadline)
	defer cancel()
	span := u.report.telemetry.StartSpan("upstream", h.TraceParent, u.service, h.Rank.Class())
	v := &serving{header: h, deadline: deadline, account: retry.NewBudget(h.Retries), runCtx: ctx, span: span}
	res := u.serve(ctx, v, s.Body())
	span.End(res.outcome, res.reason)
	u.logEnd(v, res)
	u.answer(s, v, res)
}

// logEnd writes the line of a call that brought no answer, with what decided that.
func (u *upstream) logEnd(v *serving, res *result) {
	var known announce.Instance
	if u.announced != nil {
		known = u.announced.current()
	}
	class := v.header.Rank.Class().String()
	switch res.outcome {
	case call.OutcomeNotRun:
		load := u.gate.load()
		version, _ := u.config.Current()
		u.report.log.Log(events.CallRefused, v.header.RootID, v.header.From, string(res.reason), class, load.Limit, load.InFlight,
			load.Waiting, uint32(u.gate.cutoff()), known.ID, known.State.String(), version.Revision)
	case call.OutcomeUnknown:
		u.report.log.Log(events.CallFailed, v.header.RootID, v.header.From, string(res.reason), class, known.ID,
			v.deadline.Sub(u.now()).String())
	}
}

// serve decides on a call and runs it.
func (u *upstream) serve(ctx context.Context, v *serving, body io.Reader) *result {
	if res := u.misdirected(v.header); res != nil {
		return res
	}
	var err error
	if v.body, err = newRequestBody(body, v.header.BodyLength); err != nil {
		return bodyLost(v.header)
	}
	v.print = quarantine.NewFingerprint(v.header.Service, v.header.Method, v.header.Path, v.body.prefix)
	if v.header.Token != "" {
		return u.serveBound(ctx, v)
	}
	if !u.accepts() || !u.drain.enter() {
		return notRun(call.ReasonLeaving)
	}
	res := u.admitAndRun(ctx, v)
	// The drain lasts until the answer has been read by the caller's daemon.
	return withFinish(res, u.drain.leave)
}

// accepts reports whether the backend server takes new work.
func (u *upstream) accepts() bool {
	return u.announced == nil || u.announced.current().State == announce.Ready
}

// bodyLost is the result of a call whose body broke off. It did not run, but an earlier one with the same token may have.
func bodyLost(h *wire.CallHeader) *result {
	if h.Token != "" {
		return unknown(call.ReasonCanceled)
	}
	return notRun(call.ReasonCanceled)
}

// withFinish calls f when the result has been passed on.
func withFinish(res *result, f func()) *result {
	earlier := res.onClose
	res.onClose = func(whole bool) {
		if earlier != nil {
			earlier(whole)
		}
		f()
	}
	return res
}

// misdirected refuses a call that is meant for another service or incarnation, for example when an address was
// taken over by another VM.
func (u *upstream) misdirected(h *wire.CallHeader) *result {
	if h.Service == u.service && (h.Incarnation == 0 || h.Incarnation == u.incarnation) {
		return nil
	}
	if h.Token != "" {
		return unknown(call.ReasonIncarnationGone)
	}
	return notRun(call.ReasonWrongUpstream)
}

// admitAndRun waits for a slot and runs the call on the backend server.
func (u *upstream) admitAndRun(ctx context.Context, v *serving) *result {
	if u.suspects.refused(v.print) {
		return notRun(call.ReasonQuarantined)
	}
	ticket, reason := u.gate.acquire(ctx, v.header.Rank, v.deadline)
	if reason != call.ReasonNone {
		return notRun(reason)
	}
	if !u.accepts() {
		u.gate.abandon(ticket)
		return notRun(call.ReasonLeaving)
	}
	done, reason := u.suspects.enter(ctx, v.print)
	if reason != call.ReasonNone {
		u.gate.abandon(ticket)
		return notRun(reason)
	}
	h := &hop{rootID: v.header.RootID, rank: v.header.Rank, depth: v.header.Depth, deadline: v.deadline,
		retryBudget: v.account, ctx: v.runCtx}
	v.hop.Store(h)
	c := u.hops.add(h)
	started := u.now()
	res, overloaded := u.backend.run(v, c.String(), v.span.TraceParent())
	u.failures.record(ctx, res)
	res.overloaded = failedAtBackend(res) && u.refusals.recent()
	return withFinish(res, func() {
		now := u.now()
		own := now.Sub(started) - h.childWaitTime(now)
		u.hops.remove(h)
		u.gate.release(ticket, admission.Sample{SelfTime: own, Overloaded: overloaded && !h.hasFailedChild()})
		done(res.outcome == call.OutcomeAnswered)
	})
}

// answer sends the result to the caller's daemon.
func (u *upstream) answer(s *transport.CallStream, v *serving, res *result) {
	h := wire.AnswerHeader{
		Outcome:     res.outcome,
		Reason:      res.reason,
		Status:      res.status,
		Header:      res.header,
		BodyLength:  res.length,
		Cutoff:      u.cutoff(v),
		Config:      wireVersion(u.config),
		Load:        u.gate.loadPercent(),
		FailureRate: u.failures.percent(),
		Overloaded:  res.overloaded,
	}
	unspent := func() int { return takeAllRetries(v.account) }
	if res.outcome != call.OutcomeAnswered {
		res.close(true)
		_ = s.Answer(h, nil, unspent) // the caller's daemon may be gone
		return
	}
	body := &watchedReader{r: io.MultiReader(bytes.NewReader(res.bodyPrefix), res.body)}
	err := s.Answer(h, body, unspent)
	res.close(err == nil)
	if body.err != nil {
		u.report.logTruncated(u.service, u.self, res.length)
	}
}

// cutoff returns the rank below which calls like this one have no chance at present: that of this upstream, or that of a
// deeper service that the call has met. So the entry refuses what would be refused deep in the chain.
func (u *upstream) cutoff(v *serving) call.Rank {
	own := u.gate.cutoff()
	h := v.hop.Load()
	if h == nil {
		return own
	}
	return max(own, h.childCutoff())
}

// watchedReader remembers a failure of the reader below it.
type watchedReader struct {
	r   io.Reader
	err error
}

// Read implements io.Reader.
func (w *watchedReader) Read(p []byte) (int, error) {
	n, err := w.r.Read(p)
	if err != nil && err != io.EOF {
		w.err = err
	}
	return n, err
}
