package daemon

import (
	"context"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/routing"
	"guavapoint.example/guavapoint/internal/wire"
)

// maxTokenAttempts is the maximum number of upstreams that are asked for a token. A token request runs nothing on a
// backend server, so asking another upstream doesn't count as a retry of the request.
const maxTokenAttempts = 3

// requestToken obtains a token for a non-idempotent request from an upstream. The caller receives it with the status
// 428 and uses it in its second call, which runs the request.
func (d *dispatcher) requestToken(ctx context.Context, req *request) *result {
	op := d.services.operation(req.service, req.op.Name)
	var last *result
	var tried []string
	for range maxTokenAttempts {
		target, err := op.pick(d.now(), routing.PickInfo{Rank: req.rank, Exclude: tried})
		if err != nil {
			return d.pickFailed(req, last, err)
		}
		tried = append(tried, target.Address)
		grant := d.requestTokenFrom(ctx, req, op, target)
		if grant.Token != "" {
			return &result{outcome: call.OutcomeNotRun, reason: call.ReasonTokenRequired, upstream: target.Address,
				header: []wire.Header{{Name: headerToken, Values: []string{grant.Token}}}}
		}
		last = notRun(grant.Reason)
		if ctx.Err() != nil {
			break
		}
	}
	return last
}

// requestTokenFrom asks the daemon of one upstream for a token. A grant without a token contains the reason.
func (d *dispatcher) requestTokenFrom(ctx context.Context, req *request, op *outboundOperation,
	target routing.Picked) *wire.TokenGrant {
	started := d.now()
	defer func() { target.Charge.End(d.now()) }()
	grant := &wire.TokenGrant{Reason: call.ReasonUnreachable}
	reply, err := d.peers.Request(ctx, target.Address, &wire.Control{
		From:         d.self,
		TokenRequest: &wire.TokenRequest{Service: req.service, Rank: req.rank},
	})
	if err == nil && reply.TokenGrant != nil {
		grant = reply.TokenGrant
		d.observeVersion(target.Address, reply.Config)
	}
	req.recordCutoff(grant.Cutoff)
	r := routing.DoneInfo{Latency: d.now().Sub(started), Outcome: call.OutcomeNotRun, Reason: grant.Reason,
		Cutoff: grant.Cutoff}
	if grant.Token != "" {
		// A granted token says nothing about the latency or the cutoff of the call that follows.
		r.Reason = call.ReasonTokenRequired
	}
	op.done(d.now(), target.Address, r)
	return grant
}

// callWithToken sends a request only to the incarnation that its token names. Sending it again is safe, because the
// incarnation runs a request at most once per token. The outcome is unknown until the incarnation reports another one,
// since the caller may have sent the same token earlier through another entry.
//
// The reason incarnation-gone also means that this entry has not delivered the request to the incarnation. A caller
// that sends a token for the first time can therefore conclude from it that the request did not run.
func (d *dispatcher) callWithToken(ctx context.Context, req *request, fields []wire.Header, body *requestBody) *result {
	if !d.services.isKnownUpstream(req.service, req.token.Upstream) {
		return unknown(call.ReasonIncarnationGone)
	}
	op := d.services.operation(req.service, req.op.Name)
	op.retries.recordFirst(d.now(), req.origin.retriedShare)
	target := routing.Picked{Candidate: routing.Candidate{Address: req.token.Upstream, Incarnation: req.token.Incarnation}}
	if !d.mayStart(req, op, 1) {
		return unknown(call.ReasonLeaving)
	}
	mayHaveReached := false
	for n := 1; ; n++ {
		a := d.send(ctx, req, target, fields, body, func(routing.DoneInfo) {})
		if a.outcome == call.OutcomeAnswered || !answerMissing(a) {
			return replaceIncarnationGone(a.result, mayHaveReached)
		}
		mayHaveReached = mayHaveReached || a.sent
		if !d.allowRetry(ctx, req, op, body, n) || !d.mayStart(req, op, n+1) {
			return replaceIncarnationGone(d.resolve(ctx, req, a), mayHaveReached)
		}
	}
}

// replaceIncarnationGone replaces the reason incarnation-gone by connection-lost if an attempt may have reached the
// incarnation, because a caller concludes from incarnation-gone that the request did not run.
func replaceIncarnationGone(res *result, mayHaveReached bool) *result {
	if mayHaveReached && res.reason == call.ReasonIncarnationGone {
		return unknown(call.ReasonConnectionLost)
	}
	return res
}

// answerMissing reports whether an attempt ended without an answer or refusal from the upstream, so that the upstream
// has to be asked for the outcome.
func answerMissing(a attempt) bool {
	return !a.sent || a.reason == call.ReasonConnectionLost || a.reason == call.ReasonTruncated ||
		a.reason == call.ReasonTimeout
}

// resolve asks the daemon of the token's incarnation for the outcome. If it can't be reached, the outcome is unknown.
func (d *dispatcher) resolve(ctx context.Context, req *request, a attempt) *result {
	reply, err := d.peers.Request(ctx, req.token.Upstream, &wire.Control{
		From:           d.self,
		ResolveRequest: &wire.ResolveRequest{Token: req.tokenRaw, Minted: req.minted},
	})
	if err != nil || reply.ResolveAnswer == nil {
		return unknown(unknownReason(a))
	}
	r := reply.ResolveAnswer
	d.backends.record(req.token.Upstream, r.Outcome, r.Backend)
	return &result{outcome: r.Outcome, reason: r.Reason, upstream: req.token.Upstream, status: r.Status, header: r.Header,
		length: int64(len(r.Body)), bodyPrefix: r.Body, body: noBody}
}

// unknownReason returns the reason for an unknown outcome after an attempt: the reason of the attempt if its own
// outcome is unknown, otherwise connection-lost.
func unknownReason(a attempt) call.Reason {
	if a.outcome == call.OutcomeUnknown {
		return a.reason
	}
	return call.ReasonConnectionLost
}
