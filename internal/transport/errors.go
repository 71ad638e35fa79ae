package transport

import (
	"context"
	"errors"
	"fmt"

	"github.com/quic-go/quic-go"
)

// ErrClosed reports the use of a transport after Close.
var ErrClosed = errors.New("transport is closed")

// ErrTooManyConnections reports that Config.MaxConnections are open and all of them are in use.
var ErrTooManyConnections = errors.New("too many connections in use")

// ErrTooManyStreams reports that all connections to the peer carry as many streams as they may.
var ErrTooManyStreams = errors.New("too many outstanding streams")

// ErrRefused reports a stream that the peer's transport refused before its handler saw it.
var ErrRefused = errors.New("peer refused the stream")

// NotSentError proves that the peer's handler has not seen and will not see the message: the message could not be
// encoded, no connection could be opened, or the peer's transport refused the stream or the connection.
type NotSentError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("nothing was sent to %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// LostError reports a message that may have reached the peer and whose answer did not arrive. Where the caller's
// context ended, Err is its error.
type LostError struct {
	Address string
	// Silent is set where the connection was given up because nothing arrived on it. The outcome can be queried over
	// a new connection.
	Silent bool
	Err    error
}

// Error implements error.
func (e *LostError) Error() string {
	if e.Silent {
		return fmt.Sprintf("connection to %s went silent: %v", e.Address, e.Err)
	}
	return fmt.Sprintf("no answer from %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// BodyError reports that the reader that the caller passed as a body failed. The stream was reset, so that the peer
// doesn't take the body for complete.
type BodyError struct{ Err error }

// Error implements error.
func (e *BodyError) Error() string { return fmt.Sprintf("read the body to send: %v", e.Err) }

// Unwrap returns the error of the reader.
func (e *BodyError) Unwrap() error { return e.Err }

// RefusalError is the peer's Refusal of a control request. A Handler returns one to choose its code.
type RefusalError struct {
	Code    string
	Message string
}

// Error implements error.
func (e *RefusalError) Error() string { return fmt.Sprintf("refused: %s: %s", e.Code, e.Message) }

// Codes of reset streams and closed connections. They are part of the protocol and never reused.
const (
	codeCanceled quic.StreamErrorCode = 1 // the caller canceled the call
	codeAborted  quic.StreamErrorCode = 2 // the handler gave up the call
	codeRefused  quic.StreamErrorCode = 3 // the message never reached the handler
	codeAnswered quic.StreamErrorCode = 4 // the caller has the whole answer and sends no more of its body
	codeBroken   quic.StreamErrorCode = 5 // a body ended early or a message was malformed

	codeClosed  quic.ApplicationErrorCode = 1 // the transport was closed
	codeIdle    quic.ApplicationErrorCode = 2 // unused for Config.IdleTimeout
	codeSilent  quic.ApplicationErrorCode = 3 // nothing arrived for Config.SilentAfter
	codeTooMany quic.ApplicationErrorCode = 4 // Config.MaxConnections are open
)

// Alerts by which a peer refuses a certificate, RFC 8446 section 6.
const (
	alertHandshakeFailure    = 40
	alertBadCertificate      = 42
	alertUnknownCA           = 48
	alertAccessDenied        = 49
	alertCertificateRequired = 116
	alertNoALPN              = 120
)

// refusedByPeer reports whether err proves that the peer handed nothing to its handler. A TLS 1.3 server checks the
// client's certificate after the client considers the handshake complete, so its refusal arrives only with the first
// stream; it decrypts no stream before.
func refusedByPeer(err error) bool {
	var stream *quic.StreamError
	if errors.As(err, &stream) {
		return stream.Remote && stream.ErrorCode == codeRefused
	}
	var app *quic.ApplicationError
	if errors.As(err, &app) {
		return app.Remote && app.ErrorCode == codeTooMany
	}
	var tr *quic.TransportError
	if !errors.As(err, &tr) || !tr.Remote || !tr.ErrorCode.IsCryptoError() {
		return false
	}
	switch alert := int(tr.ErrorCode) - 0x100; alert {
	case alertHandshakeFailure, alertAccessDenied, alertCertificateRequired, alertNoALPN:
		return true
	default:
		return alertBadCertificate <= alert && alert <= alertUnknownCA
	}
}

// failure converts an error of an exchange with a peer.
func failure(ctx context.Context, c *conn, err error) error {
	switch {
	case ctx.Err() != nil:
		return &LostError{Address: c.address, Err: ctx.Err()}
	case c.silent.Load():
		return &LostError{Address: c.address, Silent: true, Err: err}
	case refusedByPeer(err):
		return &NotSentError{Address: c.address, Err: fmt.Errorf("%w: %w", ErrRefused, err)}
	default:
		return &LostError{Address: c.address, Err: err}
	}
}
