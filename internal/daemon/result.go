package daemon

import (
	"io"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/wire"
)

// notRunError reports a request that is proved not to have run.
type notRunError struct {
	reason  call.Reason
	message string
}

// Error implements error.
func (e *notRunError) Error() string {
	return "not run (" + string(e.reason) + "): " + e.message
}

// result is the outcome of a call as the caller is told. Header and body are set where the outcome is answered;
// whoever receives the result closes the body.
type result struct {
	outcome    call.Outcome
	reason     call.Reason
	service    string
	upstream   string
	status     int
	header     []wire.Header
	length     int64         // of the body, or -1
	bodyPrefix []byte        // the first bytes of the body
	body       io.ReadCloser // what follows start
	// overloaded tells that a deeper service has caused the failure by its overload.
	overloaded bool
	// finished is called after the body was read to its end, or given up.
	onClose func(complete bool)
}

func notRun(reason call.Reason) *result {
	return &result{outcome: call.OutcomeNotRun, reason: reason}
}

func unknown(reason call.Reason) *result {
	return &result{outcome: call.OutcomeUnknown, reason: reason}
}

// close ends an answered result.
func (r *result) close(complete bool) {
	if r.body != nil {
		r.body.Close()
	}
	if r.onClose != nil {
		r.onClose(complete)
		r.onClose = nil
	}
}

// worse combines the outcomes of two attempts of one request. The request is proved not to have run only if
// neither attempt ran. An answer is kept unless the later attempt brings one.
func combineResults(earlier, later *result) *result {
	switch {
	case earlier == nil:
		return later
	case earlier.outcome == call.OutcomeAnswered && later.outcome == call.OutcomeAnswered:
		earlier.close(false)
		return later
	case earlier.outcome == call.OutcomeAnswered:
		return earlier
	case earlier.outcome == call.OutcomeUnknown && later.outcome == call.OutcomeNotRun:
		return earlier
	default:
		return later
	}
}
