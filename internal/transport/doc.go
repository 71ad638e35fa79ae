// Package transport carries calls and control messages between daemons over TCP, with mutual TLS where the settings name
// certificates.
//
// A connection carries one exchange at a time and is kept for the next one. The caller gives an exchange up by closing
// its connection. While the answer is still to come, the answering side sends signs of life, so that a connection that
// went silent is told from a backend server that takes long, see Config.KeepAliveTimeout.
//
// All exported methods are safe for concurrent use.
package transport
