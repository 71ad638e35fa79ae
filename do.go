package guavapoint

import (
	"context"
	"errors"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/retry"
)

// doCall is the state of one call of Client.Do: all attempts of one request. It is not safe for concurrent use.
type doCall struct {
	client     *Client
	request    *Request
	id         string
	deadline   time.Time // deadline sent to the daemons; zero if there is none
	entryIndex int       // index in client.entries of the daemon for the next attempt
	token      string
	// mayHaveRun is true if an attempt was sent whose outcome isn't known. If token is set, it refers to attempts with
	// this token.
	mayHaveRun bool
	budget     *retry.Budget
	resends    int
}

// nextStep is what Do does after an attempt without a complete response.
type nextStep int

const (
	returnError   nextStep = iota // return an error to the caller
	resend                        // try again after a backoff if the budget allows it
	sendWithToken                 // send the new token at once; doesn't count as a resend
)

// newDoCall validates the request and returns the state of a call of Do before its first attempt.
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

// handleFailedAttempt returns the next step after an attempt without a complete response, and updates mayHaveRun and
// token.
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

// useToken stores the token of a response with status 428 for the next attempt. A request that needs a token never runs
// without one, so that no earlier attempt has run.
func (d *doCall) useToken(token string) nextStep {
	d.token = token
	d.mayHaveRun = false
	return sendWithToken
}

// discardToken removes a token whose upstream was replaced before the token was first sent, so that the next attempt
// gets a new one. The request can't have run with this token: the entry daemon reports ReasonIncarnationGone only if it
// has not forwarded the request, and no other attempt has sent the token.
func (d *doCall) discardToken() nextStep {
	d.token = ""
	return resend
}

// afterUnknown returns the next step after a daemon reported an unknown outcome: a resend if a later report can be more
// definite. A resend is safe. With a token the request runs at most once; without one it is idempotent, because a
// daemon has dispatched it, and a non-idempotent request is not dispatched without a token.
func (d *doCall) afterUnknown(reason Reason) nextStep {
	switch reason {
	case ReasonIncarnationGone, ReasonAnswerNotKept, ReasonBackendCrashed:
		return returnError
	case ReasonTimeout:
		if d.token == "" {
			return returnError // the timeout has passed, and another run would take as long
		}
	}
	return resend
}

// afterNotRun returns the next step after a daemon reported that this attempt did not run. The report covers earlier
// attempts only if it is from the upstream that issued the token: an entry daemon that refuses a resend knows nothing
// about the first attempt.
func (d *doCall) afterNotRun(reason Reason) nextStep {
	fromIssuer := d.token != "" && (reason == ReasonTokenRefused || reason == ReasonTokenExpired)
	if d.mayHaveRun && !fromIssuer {
		return d.afterRefusedResend(reason)
	}
	d.mayHaveRun = false
	d.token = "" // a refused token can't be used; another attempt gets a new one
	if fromIssuer && d.request.Token != "" {
		return returnError // the caller asked for the outcome of its token: not run
	}
	if fromIssuer || retryableElsewhere(reason) {
		return resend
	}
	return returnError
}

// afterRefusedResend returns the next step after an attempt did not run while an earlier one may have run. With a token
// it asks for the outcome again, unless the token was used for a different request. Without one it resends only if
// another entry daemon may serve the request, since repeating a refused request adds to the overload.
func (d *doCall) afterRefusedResend(reason Reason) nextStep {
	if reason == ReasonTokenMismatch {
		return returnError
	}
	if d.token != "" || retryableElsewhere(reason) {
		return resend
	}
	return returnError
}

// retryableElsewhere reports whether another entry daemon may serve a request that this one refused for the given
// reason. ReasonOverload is not such a reason: the entry daemon has already tried the other upstreams within its retry
// budget.
func retryableElsewhere(reason Reason) bool {
	switch reason {
	case ReasonLeaving, ReasonNoUpstream, ReasonUnreachable, ReasonWrongUpstream, ReasonBackendRefused, ReasonTokenRequired:
		return true
	default:
		return false
	}
}

// prepareResend takes one resend from the budget, waits for the backoff and selects the next entry daemon, which the
// client's following requests also use first. It returns false if the budget is used up or ctx has ended.
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

// finalError returns the error of Do for a request whose last attempt was a: an *UnknownError if the request may have
// run, otherwise a *NotRunError.
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

// transportErrorReason returns the reason for an attempt that failed with an error: timeout if the deadline of ctx has
// passed, ReasonCanceled if the caller canceled it, otherwise network.
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
