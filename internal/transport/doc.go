// Package transport carries calls and control messages between daemons over QUIC with mutual TLS.
//
// Each call has one stream. The caller ends its direction of the stream only after it has received the whole answer;
// by this the answering side knows that nothing of the answer is in flight any more when it closes the connection.
//
// A Transport keeps few connections to each peer, opens them on demand and drops them after an idle time. It detects
// connections that went silent, see Config.SilentAfter. All exported methods are safe for concurrent use.
package transport
