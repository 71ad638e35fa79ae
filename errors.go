package guavapoint

import (
	"fmt"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Reason is the cause for which a request got no answer. Daemons can report more reasons than the constants here.
type Reason = call.Reason

// Reasons that callers commonly handle differently.
const (
	// Reasons of a *NotRunError.
	ReasonOverload       = call.ReasonOverload
	ReasonRateLimit      = call.ReasonRateLimit
	ReasonLeaving        = call.ReasonLeaving
	ReasonDeadline       = call.ReasonDeadline
	ReasonNoUpstream     = call.ReasonNoUpstream
	ReasonUnreachable    = call.ReasonUnreachable
	ReasonWrongUpstream  = call.ReasonWrongUpstream
	ReasonTokenRequired  = call.ReasonTokenRequired
	ReasonTokenExpired   = call.ReasonTokenExpired
	ReasonTokenRefused   = call.ReasonTokenRefused
	ReasonTokenMismatch  = call.ReasonTokenMismatch
	ReasonQuarantined    = call.ReasonQuarantined
	ReasonBackendRefused = call.ReasonBackendRefused
	ReasonCanceled       = call.ReasonCanceled // also of an *UnknownError: the caller's context was canceled
	// ReasonNoEntry is set by the library, not by a daemon: no entry daemon accepted a connection.
	ReasonNoEntry Reason = "no-entry"

	// Reasons of an *UnknownError.
	ReasonConnectionLost  = call.ReasonConnectionLost
	ReasonTimeout         = call.ReasonTimeout
	ReasonIncarnationGone = call.ReasonIncarnationGone
	ReasonAnswerNotKept   = call.ReasonAnswerNotKept
	ReasonStillRunning    = call.ReasonStillRunning
	ReasonBackendCrashed  = call.ReasonBackendCrashed
)

// RequestError reports that a request is invalid. Nothing was sent.
type RequestError struct {
	// Field is the name of the invalid field of Request, and Problem is what is wrong with it.
	Field, Problem string
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("guavapoint: invalid request: %s %s", e.Field, e.Problem)
}

// NotRunError reports that the request did not run and will not. The caller can send it again, with the same ID. If
// Request.Token was empty, the error covers only the attempts of this call of Do, not those of an earlier one.
type NotRunError struct {
	Reason Reason
	// Code and Message are those of the daemon's error body. They are empty if there was none.
	Code, Message string
	RequestID     string // the ID under which the request was sent
	Resends       int    // number of resends
	// Err joins the error of the last attempt, if it got no complete response from a daemon, and that of the context.
	Err error
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("guavapoint: request %s did not run: %s%s", e.RequestID, e.Reason, errorDetail(e.Message, e.Err))
}

// Unwrap returns Err.
func (e *NotRunError) Unwrap() error {
	return e.Err
}

// UnknownError reports that the request may have run, may be running, or may still run.
//
// If Token is set, the caller can ask for the outcome: it calls Do with the same request, with RequestID as its ID and
// with Token. Do then returns the response of the request's only run, or runs the request if it has not run, or returns
// an error with what is known. If Token is empty, the request is idempotent or did not run, and the caller can send it
// again as it is.
type UnknownError struct {
	Reason    Reason
	RequestID string // the ID under which the request was sent
	Token     string // the token of the request, or "" if it has none
	Resends   int    // number of resends
	// Err joins the error of the last attempt, if it got no complete response from a daemon, and that of the context.
	Err error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("guavapoint: outcome of request %s is unknown: %s%s", e.RequestID, e.Reason, errorDetail("", e.Err))
}

// Unwrap returns Err.
func (e *UnknownError) Unwrap() error {
	return e.Err
}

// errorDetail returns err, or else the daemon's message, in parentheses; "" if there is neither.
func errorDetail(message string, err error) string {
	if err != nil {
		return " (" + err.Error() + ")"
	}
	if message != "" {
		return " (" + message + ")"
	}
	return ""
}
