package daemon

import (
	"io"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/wire"
)

// notRunError reports a request that certainly did not run.
type notRunError struct {
	reason  call.Reason
	message string
}

// Error implements error.
func (e *notRunError) Error() string {
	return "not run (" + string(e.reason) + "): " + e.message
}

// result is the outcome of a call as it is reported to the caller, with the answer if there is one. Status, header and
// body are set if the outcome is answered; the receiver of the result then calls close.
type result struct {
	outcome    call.Outcome
	reason     call.Reason
	service    string
	upstream   string
	status     int
	header     []wire.Header
	length     int64         // of the whole body in bytes; -1 if unknown
	bodyPrefix []byte        // the first bytes of the body, already read
	body       io.ReadCloser // the rest of the body, after bodyPrefix
	// overloaded reports that the request failed because of the overload of a service further down the call graph.
	overloaded bool
	// onClose is called once, by close. complete is false if the body was not read to its end.
	onClose func(complete bool)
}

// notRun returns the result of a request that did not run.
func notRun(reason call.Reason) *result {
	return &result{outcome: call.OutcomeNotRun, reason: reason}
}

// unknown returns the result of a request that may have run.
func unknown(reason call.Reason) *result {
	return &result{outcome: call.OutcomeUnknown, reason: reason}
}

// close closes the body and calls onClose. complete says whether the body was read to its end.
func (r *result) close(complete bool) {
	if r.body != nil {
		r.body.Close()
	}
	if r.onClose != nil {
		r.onClose(complete)
		r.onClose = nil
	}
}

// combineResults returns the result of a request after two attempts; earlier may be nil. The request certainly did not
// run only if neither attempt ran. An answer is replaced only by a later answer, and is closed then.
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
