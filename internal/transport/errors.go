package transport

import (
	"errors"
	"fmt"
)

// ErrClosed reports the use of a transport after Close.
var ErrClosed = errors.New("transport is closed")

// ErrTooManyConnections reports that Config.MaxConnections are open and all of them are in use.
var ErrTooManyConnections = errors.New("too many connections in use")

// ErrRefused reports a message that the peer's transport refused before its handler saw it.
var ErrRefused = errors.New("peer refused the message")

// NotSentError reports with certainty that the peer's handler has not received and will not receive the message: the
// message could not be encoded, no connection could be opened, or the peer's transport refused the message.
type NotSentError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("message to %s was not delivered: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// LostError reports a message that may have reached the peer and whose answer did not arrive. Where the caller's
// context ended, Err is its error.
type LostError struct {
	Address string
	// Silent is set if the connection was closed because nothing arrived on it within Config.KeepAliveTimeout. The
	// outcome can be queried over a new connection.
	Silent bool
	Err    error
}

// Error implements error.
func (e *LostError) Error() string {
	if e.Silent {
		return fmt.Sprintf("connection to %s is silent: %v", e.Address, e.Err)
	}
	return fmt.Sprintf("no answer from %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// BodyError reports that the reader that the caller passed as a body failed. The connection was closed, so that the
// peer doesn't treat the body as complete.
type BodyError struct{ Err error }

// Error implements error.
func (e *BodyError) Error() string { return fmt.Sprintf("read body to send: %v", e.Err) }

// Unwrap returns the error of the reader.
func (e *BodyError) Unwrap() error { return e.Err }

// RefusalError is the peer's Refusal of a control request. A Handler returns one to choose its code.
type RefusalError struct {
	Code    string
	Message string
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("peer refused the request: %s: %s", e.Code, e.Message)
}
