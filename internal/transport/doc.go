// Package transport carries calls and control messages between daemons over TCP, with mutual TLS where the settings
// name certificates.
//
// An exchange is a call with its answer, or a control message with its reply or acknowledgement. A connection carries
// one exchange at a time and is kept for the next one. The caller cancels an exchange by closing its connection. While
// the answer or reply is still to come, the answering side sends keep-alive messages, so that the caller can
// distinguish a silent connection, on which nothing arrives any more, from a backend server that takes long; see
// Config.KeepAliveTimeout. A side that handles no more messages on a connection sends a connection close message, like
// GOAWAY in HTTP/2.
//
// All exported methods are safe for concurrent use.
package transport
