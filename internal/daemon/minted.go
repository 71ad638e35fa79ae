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
	// mintedTTL bounds the time in which a minted token can be spent. It covers the longest wait of a caller and clocks
	// that are some seconds apart.
	mintedTTL = 20 * time.Second
	// mintedRetention is how long the outcome under a minted token is kept. Only its entry asks, within resolveTimeout of
	// the loss, so the time of the network's delays would do.
	mintedRetention = 20 * time.Second
	// mintedMaxBytes bounds the answers that are kept, in bytes.
	mintedMaxBytes = 16 << 20
	// resolveTimeout bounds the question for an outcome. It covers a new connection between regions.
	resolveTimeout = 500 * time.Millisecond
	// settleInterval spaces the questions for a request that still runs. Requests take a few hundred milliseconds.
	resolveInterval = 100 * time.Millisecond
)

// outcomeConfig returns the bounds of the token table. With an ingress nearly all tokens are minted.
func outcomeConfig(s *settings.Settings) outcome.Config {
	if s.Ingress == nil {
		return outcome.Config{}
	}
	return outcome.Config{Retention: mintedRetention, MaxBytes: mintedMaxBytes}
}

// mint binds a request to an upstream before it is sent there, in the place of a caller that holds no token.
func mint(now time.Time, req *request, target routing.Candidate) {
	tok := call.Token{
		Service:     req.service,
		Upstream:    target.Address,
		Incarnation: target.Incarnation,
		Expiry:      now.Add(mintedTTL),
	}
	_, _ = rand.Read(tok.Nonce[:]) // never fails, see crypto/rand
	req.token, req.tokenRaw, req.minted = &tok, tok.String(), true
}

// callOnce dispatches a non-idempotent request of a caller that holds no token. It goes to another upstream only after
// the one before has proved that it did not run.
func (d *dispatcher) callNonIdempotent(ctx context.Context, req *request, fields []wire.Header, body *requestBody) *result {
	op := d.services.operation(req.service, req.op.Name)
	op.recordFirst(d.now())
	var last *result
	var tried []string
	for n := 1; ; n++ {
		target, err := op.pick(d.now(), d.pickInfo(req, body, tried))
		if err != nil {
			return pickErrorResult(req, last, err)
		}
		tried = append(tried, target.Address)
		mint(d.now(), req, target)
		a := d.send(ctx, req, target, fields, body, func(r routing.DoneInfo) {
			op.done(d.now(), target.Address, r)
		})
		if a.sent && answerMissing(a) && a.reason != call.ReasonTimeout {
			a = d.resolveUntilDeadline(ctx, req, a)
		}
		last = a.result
		if a.outcome != call.OutcomeNotRun || !a.retryable || !d.allowNextAttempt(ctx, req, op, body, a, n) {
			return last
		}
		d.logNextAttempt(req, target, a)
	}
}

// settle asks what became of a request whose answer is missing. A request that had not started never will. One that still
// runs is asked for again until its caller's deadline, since its answer can be delivered.
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

// ask asks once.
func (d *dispatcher) resolveOnce(req *request, a attempt) *result {
	ctx, cancel := context.WithDeadline(context.Background(), d.now().Add(resolveTimeout))
	defer cancel()
	return d.resolve(ctx, req, a)
}

// pause waits, and reports false when the context ends first.
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
