// Package membership maintains the table of daemons: records with their merge order, heartbeats on a ring, suspicion
// and refutation, gossip and anti-entropy.
//
// Node is a state machine in the style of etcd raft: Step takes a message, Tick lets time pass, Ready returns the
// messages to send and the records that changed. It performs no I/O and isn't safe for concurrent use.
package membership

import (
	"cmp"
	"fmt"

	"guavapoint.example/guavapoint/internal/core/call"
)

// State is the state of a member. Higher values are worse.
type State uint8

// The states in the order of the merge: at equal Seq the worse one wins.
const (
	StateStarting State = iota
	StateServing
	StateLeaving
	StateSuspect
	StateDown
)

var stateNames = [...]string{"starting", "serving", "leaving", "suspect", "down"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", uint8(s))
	}
	return stateNames[s]
}

// Record describes one member. Only the member itself and its monitors write it: the member raises Seq with each
// write, monitors change State to suspect or down at the same Seq.
type Record struct {
	_ struct{} `cbor:",toarray"`
	// Address is the peer address (ip:port) and the key of the record.
	Address string
	// CallAddress is the address of the listener for callers.
	CallAddress string
	Service     string
	Zone        string
	Region      string
	// Incarnation is unique to one start of the daemon.
	Incarnation call.Incarnation
	// Seq orders the records of one address, across restarts and across services that reuse the address. A daemon
	// starts with its clock in milliseconds, which is above the records of earlier daemons at the address in all but
	// rare cases; in those it learns of the higher record and raises Seq above it.
	Seq   uint64
	State State
	// Slots is the number of requests that the backend server runs at once.
	Slots int
}

// Alive reports whether the member takes part in the ring.
func (r Record) Alive() bool {
	return r.State != StateDown
}

// Compare orders records of one address; the merge keeps the greatest. Seq comes first, then the worse state. The
// other fields only break ties between two daemons that used the same address and Seq, so that the order is total and
// merging commutative.
func Compare(a, b Record) int {
	return cmp.Or(
		cmp.Compare(a.Seq, b.Seq),
		cmp.Compare(a.State, b.State),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.Region, b.Region),
		cmp.Compare(a.CallAddress, b.CallAddress),
		cmp.Compare(a.Slots, b.Slots),
	)
}

// Merge returns the greater of two records of one address.
func Merge(a, b Record) Record {
	if Compare(a, b) < 0 {
		return b
	}
	return a
}

// Limits of a record's fields, in bytes; an address is an IPv6 address with a zone and port at most.
const (
	maxAddressBytes = 64
	maxNameBytes    = 64
	// maxSeq leaves room to raise a Seq heard from a peer.
	maxSeq = 1 << 62
	// maxSlots bounds Slots; the largest backend server of the current sizes has 100.
	maxSlots = 1 << 20
)

// valid reports whether a record from a peer is acceptable.
func (r Record) valid() bool {
	return r.Address != "" && len(r.Address) <= maxAddressBytes && len(r.CallAddress) <= maxAddressBytes &&
		len(r.Service) <= maxNameBytes && r.Zone != "" && len(r.Zone) <= maxNameBytes && len(r.Region) <= maxNameBytes &&
		r.Seq > 0 && r.Seq <= maxSeq && r.State <= StateDown && r.Slots >= 0 && r.Slots <= maxSlots
}
