package guavapoint

import (
	"context"
	"errors"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/retry"
)

// exchange is one Do: all attempts of one request.
type exchange struct {
	client   *Client
	request  *Request
	id       string
	deadline time.Time // zero if there is none
	entry    int       // index of the entry for the next attempt
	token    string
	// mayHaveRun says that an attempt was sent whose outcome isn't known. With a token it is about this token.
	mayHaveRun bool
	account    *retry.Budget
	resends    int
}

// step is what follows an attempt that brought no response.
type step int

const (
	stop   step = iota // report the failure
	resend             // try again, within the bound
	again              // try again at once; the attempt didn't count
)

func (c *Client) newExchange(r *Request) (*exchange, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	x := &exchange{
		client:     c,
		request:    r,
		id:         r.ID,
		entry:      int(c.preferred.Load()) % len(c.entries),
		token:      r.Token,
		mayHaveRun: r.Token != "", // the token comes from an earlier request with an unknown outcome
		account:    retry.NewBudget(c.retries),
	}
	if x.id == "" {
		x.id = newRequestID()
	}
	return x, nil
}

// judge decides what follows an attempt without a response, and what is known about the request now.
func (x *exchange) judge(a *attempt) step {
	switch {
	case a.err != nil:
		x.mayHaveRun = x.mayHaveRun || a.sent
		return resend
	case a.outcome == call.OutcomeUnknown && a.reason == ReasonIncarnationGone && !x.mayHaveRun:
		return x.replaceToken()
	case a.outcome == call.OutcomeUnknown:
		x.mayHaveRun = true
		return x.afterUnknown(a.reason)
	case a.token != "" && x.token == "":
		return x.takeToken(a.token)
	default:
		return x.afterNotRun(a.reason)
	}
}

// takeToken uses the token of a 428. The daemon runs nothing that needs a token and has none, so that earlier attempts
// without one didn't run either.
func (x *exchange) takeToken(token string) step {
	x.token = token
	x.mayHaveRun = false
	return again
}

// replaceToken gives up a token whose upstream was replaced before the token was first sent. The entry daemon reports
// this reason only if it has not handed the request over, and no other attempt has carried the token.
func (x *exchange) replaceToken() step {
	x.token = ""
	return resend
}

// afterUnknown asks again where a later answer can be better. With a token the question is safe; without one the
// request is idempotent, as a daemon has dispatched it.
func (x *exchange) afterUnknown(reason Reason) step {
	switch reason {
	case ReasonIncarnationGone, ReasonAnswerNotKept, ReasonBackendCrashed:
		return stop
	case ReasonTimeout:
		if x.token == "" {
			return stop // the time is over, and running it again would take as long
		}
	}
	return resend
}

// afterNotRun handles a proof that this attempt didn't run. It covers earlier attempts only if the token's issuer gave
// it: an entry daemon that refuses a resend knows nothing about the first attempt.
func (x *exchange) afterNotRun(reason Reason) step {
	fromIssuer := x.token != "" && (reason == ReasonTokenRefused || reason == ReasonTokenExpired)
	if x.mayHaveRun && !fromIssuer {
		return x.refusedWhileUnknown(reason)
	}
	x.mayHaveRun = false
	x.token = "" // a token that was refused can't be spent; another attempt takes a new one
	if fromIssuer && x.request.Token != "" {
		return stop // the caller asked for an outcome, and this is it
	}
	if fromIssuer || canServeElsewhere(reason) {
		return resend
	}
	return stop
}

// refusedWhileUnknown asks again with the token; without one only where another entry daemon can do better, since
// repeating a refused request adds to the overload.
func (x *exchange) refusedWhileUnknown(reason Reason) step {
	if reason == ReasonTokenMismatch {
		return stop
	}
	if x.token != "" || canServeElsewhere(reason) {
		return resend
	}
	return stop
}

// canServeElsewhere reports whether another entry daemon may serve what this one didn't. An overloaded upstream is not
// such a case: the entry daemon has tried the others within its own bound.
func canServeElsewhere(reason Reason) bool {
	switch reason {
	case ReasonLeaving, ReasonNoUpstream, ReasonUnreachable, ReasonWrongUpstream, ReasonBackendRefused, ReasonTokenRequired:
		return true
	default:
		return false
	}
}

// prepareResend takes one unit of the bound, waits and turns to the next entry daemon. It reports false if the bound is
// used up or the time is over.
func (x *exchange) prepareResend(ctx context.Context) bool {
	if ctx.Err() != nil || !x.account.Spend() {
		return false
	}
	x.resends++
	timer := time.NewTimer(x.client.backoff(x.resends))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	x.entry = (x.entry + 1) % len(x.client.entries)
	x.client.preferred.Store(uint32(x.entry))
	return true
}

// failure returns the error for a request whose last attempt was a.
func (x *exchange) failure(ctx context.Context, a *attempt) error {
	err := errors.Join(a.err, ctx.Err())
	if x.mayHaveRun {
		reason := a.reason
		if a.err != nil {
			reason = endReason(ctx, ReasonTimeout, ReasonConnectionLost)
		}
		return &UnknownError{Reason: reason, RequestID: x.id, Token: x.token, Resends: x.resends, Err: err}
	}
	reason := a.reason
	if a.err != nil {
		reason = endReason(ctx, ReasonDeadline, ReasonNoEntry)
	}
	return &NotRunError{
		Reason: reason, Code: a.code, Message: a.message, RequestID: x.id, Resends: x.resends, Err: err,
	}
}

// endReason names the cause of an exchange that failed: the end of the time, the caller, or else the network.
func endReason(ctx context.Context, timeout, network Reason) Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return timeout
	case ctx.Err() != nil:
		return ReasonCanceled
	default:
		return network
	}
}
