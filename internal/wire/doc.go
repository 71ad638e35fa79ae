// Package wire defines the messages between daemons and their encoding.
//
// Messages are CBOR (RFC 8949), each preceded by a prefix: one byte for its type and four bytes, big endian, for its
// length. Every decoder bounds what it reads, so that a peer can't make a daemon allocate more than the limits of this
// package.
package wire
