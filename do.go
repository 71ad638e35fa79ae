package guavapoint

import (
	"context"
	"errors"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/retry"
)

// doCall is one Do: all attempts of one request.
type doCall struct {
	client     *Client
	request    *Request
	id         string
	deadline   time.Time // zero if there is none
	entryIndex int       // index of the entry for the next attempt
	token      string
	// mayHaveRun says that an attempt was sent whose outcome isn't known. With a token it is about this token.
	mayHaveRun bool
	budget     *retry.Budget
	resends    int
}

// nextStep is what follows an attempt that brought no response.
type nextStep int

const (
	returnError   nextStep = iota // report the failure
	resend                        // try again, within the bound
	sendWithToken                 // try again at once; the attempt didn't count
)

func (c *Client) newDoCall(r *Request) (*doCall, error) {
	if err := r.validate(); err != nil {
		return nil, err
	}
	d := &doCall{
		client:     c,
		request:    r,
		id:         r.ID,
		entryIndex: int(c.preferred.Load()) % len(c.entries),
		token:      r.Token,
		mayHaveRun: r.Token != "", // the token comes from an earlier request with an unknown outcome
		budget:     retry.NewBudget(c.retries),
	}
	if d.id == "" {
		d.id = newRequestID()
	}
	return d, nil
}

// handleFailedAttempt decides what follows an attempt without a response, and what is known about the request now.
func (d *doCall) handleFailedAttempt(a *attemptResult) nextStep {
	switch {
	case a.err != nil:
		d.mayHaveRun = d.mayHaveRun || a.sent
		return resend
	case a.outcome == call.OutcomeUnknown && a.reason == ReasonIncarnationGone && !d.mayHaveRun:
		return d.discardToken()
	case a.outcome == call.OutcomeUnknown:
		d.mayHaveRun = true
		return d.afterUnknown(a.reason)
	case a.token != "" && d.token == "":
		return d.useToken(a.token)
	default:
		return d.afterNotRun(a.reason)
	}
}

// useToken uses the token of a 428. The daemon runs nothing that needs a token and has none, so that earlier attempts
// without one didn't run either.
func (d *doCall) useToken(token string) nextStep {
	d.token = token
	d.mayHaveRun = false
	return sendWithToken
}

// discardToken gives up a token whose upstream was replaced before the token was first sent. The entry daemon reports
// this reason only if it has not handed the request over, and no other attempt has carried the token.
func (d *doCall) discardToken() nextStep {
	d.token = ""
	return resend
}

// afterUnknown asks again where a later answer can be better. With a token the question is safe; without one the
// request is idempotent, as a daemon has dispatched it.
func (d *doCall) afterUnknown(reason Reason) nextStep {
	switch reason {
	case ReasonIncarnationGone, ReasonAnswerNotKept, ReasonBackendCrashed:
		return returnError
	case ReasonTimeout:
		if d.token == "" {
			return returnError // the time is over, and running it again would take as long
		}
	}
	return resend
}

// afterNotRun handles a proof that this attempt didn't run. It covers earlier attempts only if the token's issuer gave
// it: an entry daemon that refuses a resend knows nothing about the first attempt.
func (d *doCall) afterNotRun(reason Reason) nextStep {
	fromIssuer := d.token != "" && (reason == ReasonTokenRefused || reason == ReasonTokenExpired)
	if d.mayHaveRun && !fromIssuer {
		return d.afterRefusedResend(reason)
	}
	d.mayHaveRun = false
	d.token = "" // a token that was refused can't be spent; another attempt takes a new one
	if fromIssuer && d.request.Token != "" {
		return returnError // the caller asked for an outcome, and this is it
	}
	if fromIssuer || retryableElsewhere(reason) {
		return resend
	}
	return returnError
}

// afterRefusedResend asks again with the token; without one only where another entry daemon can do better, since
// repeating a refused request adds to the overload.
func (d *doCall) afterRefusedResend(reason Reason) nextStep {
	if reason == ReasonTokenMismatch {
		return returnError
	}
	if d.token != "" || retryableElsewhere(reason) {
		return resend
	}
	return returnError
}

// retryableElsewhere reports whether another entry daemon may serve what this one didn't. An overloaded upstream is not
// such a case: the entry daemon has tried the others within its own bound.
func retryableElsewhere(reason Reason) bool {
	switch reason {
	case ReasonLeaving, ReasonNoUpstream, ReasonUnreachable, ReasonWrongUpstream, ReasonBackendRefused, ReasonTokenRequired:
		return true
	default:
		return false
	}
}

// prepareResend takes one unit of the bound, waits and turns to the next entry daemon. It reports false if the bound is
// used up or the time is over.
func (d *doCall) prepareResend(ctx context.Context) bool {
	if ctx.Err() != nil || !d.budget.Spend() {
		return false
	}
	d.resends++
	timer := time.NewTimer(d.client.backoff(d.resends))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	d.entryIndex = (d.entryIndex + 1) % len(d.client.entries)
	d.client.preferred.Store(uint32(d.entryIndex))
	return true
}

// finalError returns the error for a request whose last attempt was a.
func (d *doCall) finalError(ctx context.Context, a *attemptResult) error {
	err := errors.Join(a.err, ctx.Err())
	if d.mayHaveRun {
		reason := a.reason
		if a.err != nil {
			reason = transportErrorReason(ctx, ReasonTimeout, ReasonConnectionLost)
		}
		return &UnknownError{Reason: reason, RequestID: d.id, Token: d.token, Resends: d.resends, Err: err}
	}
	reason := a.reason
	if a.err != nil {
		reason = transportErrorReason(ctx, ReasonDeadline, ReasonNoEntry)
	}
	return &NotRunError{
		Reason: reason, Code: a.code, Message: a.message, RequestID: d.id, Resends: d.resends, Err: err,
	}
}

// transportErrorReason names the cause of an exchange that failed: the end of the time, the caller, or else the network.
func transportErrorReason(ctx context.Context, timeout, network Reason) Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return timeout
	case ctx.Err() != nil:
		return ReasonCanceled
	default:
		return network
	}
}
