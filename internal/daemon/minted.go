package daemon

import (
	"context"
	"crypto/rand"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/outcome"
	"guavapoint.example/guavapoint/internal/core/routing"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/settings"
	"guavapoint.example/guavapoint/internal/wire"
)

const (
	// mintedTTL is the time for which a minted token can be used. It covers the longest timeout of a caller and a clock
	// skew of a few seconds.
	mintedTTL = 20 * time.Second
	// mintedRetention is the time for which the outcome of a minted token is kept. Only the entry that minted it asks
	// for the outcome, within resolveTimeout after the answer was lost, so a time that covers the network delays would
	// be enough.
	mintedRetention = 20 * time.Second
	// mintedMaxBytes is the limit on the total size of the kept answers, in bytes.
	mintedMaxBytes = 16 << 20
	// resolveTimeout is the timeout of one resolve request, which asks for the outcome of a token. It covers opening a
	// connection between regions.
	resolveTimeout = 500 * time.Millisecond
	// resolveInterval is the time between two resolve requests for a request that is still running. Requests take a few
	// hundred milliseconds.
	resolveInterval = 100 * time.Millisecond
)

// outcomeConfig returns the limits of the token table. With an ingress nearly all tokens are minted, so the limits for
// these apply to the whole table; without one the defaults apply.
func outcomeConfig(s *settings.Settings) outcome.Config {
	if s.Ingress == nil {
		return outcome.Config{}
	}
	return outcome.Config{Retention: mintedRetention, MaxBytes: mintedMaxBytes}
}

// mint makes a token on behalf of a caller that holds none. It binds the request to the upstream it is about to be sent
// to, and replaces the token of an earlier attempt.
func mint(now time.Time, req *request, target routing.Picked) {
	tok := call.Token{
		Service:     req.service,
		Upstream:    target.Address,
		Incarnation: target.Incarnation,
		Expiry:      now.Add(mintedTTL),
	}
	_, _ = rand.Read(tok.Nonce[:]) // never fails, see crypto/rand
	req.token, req.tokenRaw, req.minted = &tok, tok.String(), true
}

// callNonIdempotent sends a non-idempotent request of a caller that holds no token. It sends it to another upstream
// only after it is certain that the request did not run on the previous one.
func (d *dispatcher) callNonIdempotent(ctx context.Context, req *request, fields []wire.Header,
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
		if err != nil {
			return d.pickFailed(req, last, err)
		}
		tried = appendNew(tried, target.Address)
		mint(d.now(), req, target)
		a := d.send(ctx, req, target, fields, body, func(r routing.DoneInfo) {
			op.done(d.now(), target.Address, r)
		})
		if a.sent && answerMissing(a) && a.reason != call.ReasonTimeout {
			a = d.resolveUntilDeadline(ctx, req, a)
			target.Charge.Received(d.now(), len(a.bodyPrefix))
		}
		last = a.result
		if a.outcome != call.OutcomeNotRun || !a.retryable || !d.allowNextAttempt(ctx, req, op, body, a, n) {
			return last
		}
		d.logNextAttempt(req, target, a)
	}
}

// resolveUntilDeadline asks the upstream for the outcome of a request whose answer was lost. If the request had not
// started there, asking makes its token unusable, so that it never runs. While the request is still running,
// resolveUntilDeadline asks again until the caller's deadline, since the answer can still be delivered.
func (d *dispatcher) resolveUntilDeadline(ctx context.Context, req *request, a attempt) attempt {
	for {
		res := d.resolveOnce(req, a)
		d.report.log.Log(events.OutcomeAsked, req.rootID, req.service, req.token.Upstream, string(a.reason),
			res.outcome.String(), req.deadline.Sub(d.now()).String())
		switch {
		case res.outcome == call.OutcomeNotRun:
			return attempt{result: notRun(call.ReasonTokenRefused), sent: true, retryable: true}
		case res.reason != call.ReasonStillRunning || !sleep(ctx, resolveInterval):
			return attempt{result: res, sent: true}
		}
	}
}

// resolveOnce sends one resolve request, with resolveTimeout as its timeout. It does so even if the caller's deadline
// has passed or the caller has disconnected.
func (d *dispatcher) resolveOnce(req *request, a attempt) *result {
	ctx, cancel := context.WithDeadline(context.Background(), d.now().Add(resolveTimeout))
	defer cancel()
	return d.resolve(ctx, req, a)
}

// sleep waits for a duration. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
