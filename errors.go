package guavapoint

import (
	"fmt"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Reason says why a request was not answered. Daemons can report reasons beyond the constants here.
type Reason = call.Reason

// Reasons that callers commonly tell apart.
const (
	// Of a *NotRunError.
	ReasonOverload       = call.ReasonOverload
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
	ReasonCanceled       = call.ReasonCanceled // of both errors: the caller's context was canceled
	// ReasonNoEntry is reported by the library itself: no entry daemon accepted a connection.
	ReasonNoEntry Reason = "no-entry"

	// Of an *UnknownError.
	ReasonConnectionLost  = call.ReasonConnectionLost
	ReasonTimeout         = call.ReasonTimeout
	ReasonIncarnationGone = call.ReasonIncarnationGone
	ReasonAnswerNotKept   = call.ReasonAnswerNotKept
	ReasonStillRunning    = call.ReasonStillRunning
	ReasonBackendCrashed  = call.ReasonBackendCrashed
)

// RequestError says that a request is invalid. Nothing was sent.
type RequestError struct {
	Field, Problem string
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("guavapoint: invalid request: %s %s", e.Field, e.Problem)
}

// NotRunError says that the request did not run and will not. It can be sent again, with the same ID. If the request
// had no Token, this is about the attempts of this Do and not of an earlier one.
type NotRunError struct {
	Reason Reason
	// Code and Message are from the daemon's error body.
	Code, Message string
	RequestID     string
	Resends       int
	// Err is the last attempt's error if no daemon answered.
	Err error
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("guavapoint: request %s did not run: %s%s", e.RequestID, e.Reason, errorDetail(e.Message, e.Err))
}

// Unwrap returns the last attempt's error.
func (e *NotRunError) Unwrap() error {
	return e.Err
}

// UnknownError says that the request may have run, may be running, or may still run.
//
// With a token, the caller can ask again: Do with the same request, its RequestID as ID and the Token returns the
// response of the one run, or runs the request if it has not run, or reports what is known. Without a token the
// request is idempotent or did not run, and can be sent again as it is.
type UnknownError struct {
	Reason    Reason
	RequestID string
	Token     string
	Resends   int
	// Err is the last attempt's error if no daemon answered, for example that of the context.
	Err error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("guavapoint: outcome of request %s is unknown: %s%s", e.RequestID, e.Reason, errorDetail("", e.Err))
}

// Unwrap returns the last attempt's error.
func (e *UnknownError) Unwrap() error {
	return e.Err
}

func errorDetail(message string, err error) string {
	if err != nil {
		return " (" + err.Error() + ")"
	}
	if message != "" {
		return " (" + message + ")"
	}
	return ""
}
