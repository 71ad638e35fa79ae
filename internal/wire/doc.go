// Package wire defines the messages between daemons and their encMode.
//
// Messages are CBOR (RFC 8949), each preceded by one byte for its type and four bytes for its length, big endian.
// Every decoder bounds what it reads, so that a peer can't make a daemon allocate more than the limits below.
package wire
