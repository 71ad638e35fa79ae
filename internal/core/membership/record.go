// Package membership maintains the table of all daemons, with one record for each. The members of a zone form a ring,
// on which each member sends heartbeats to its successors. These monitor it: they suspect a member that stays silent
// and declare it down unless it refutes the suspicion. Changed records spread by gossip, and anti-entropy repairs
// what gossip missed. The terms are those of SWIM, whose incarnation number is Record.Seq here; an Incarnation is one
// start of a daemon.
//
// Node is a state machine in the style of etcd raft: Step takes a message, Tick advances the time, Ready returns the
// messages to send and the records that changed. It performs no I/O and isn't safe for concurrent use.
package membership

import (
	"cmp"
	"fmt"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// State is the state of a member.
type State uint8

// The states in the order of the merge: of two records with the same Seq, the one with the higher state wins.
const (
	StateStarting State = iota
	StateServing
	// StateLeaving is set by a member that is about to exit.
	StateLeaving
	// StateSuspect is set by monitors of a silent member. A suspect still receives calls.
	StateSuspect
	// StateDown is the state of a member that exited or didn't refute the suspicion in time.
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

// Record describes one member. The member itself raises Seq with each write. Other nodes, its monitors above all,
// only change State to suspect or down, at the same Seq.
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
	// starts with its clock in milliseconds since 1970, which almost always exceeds the Seq of earlier daemons at the
	// address. If it doesn't, the daemon receives the higher record and raises its Seq above it.
	Seq   uint64
	State State
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int
}

// Alive reports whether the member isn't down. Only members that are alive have a place on the ring.
func (r Record) Alive() bool {
	return r.State != StateDown
}

// Compare orders records of one address by Seq, then by State; the merge keeps the greatest. The other fields only
// break ties between two daemons that used the same address and Seq, so that the order is total and the merge
// commutative.
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

// Merge returns the greater of two records of one address, in the order of Compare.
func Merge(a, b Record) Record {
	if Compare(a, b) < 0 {
		return b
	}
	return a
}

// Limits of a record's fields. The longest address is an IPv6 address with a zone identifier and a port.
const (
	maxAddressBytes = 64
	maxNameBytes    = 64
	// maxSeq leaves room to raise Seq above that of a record from a peer.
	maxSeq = 1 << 62
	// maxSlots bounds Slots. The largest backend server in use has 100.
	maxSlots = 1 << 20
)

// maxClockError is the largest difference between the clocks of two VMs. They are set by seconds; a day is far beyond that.
const maxClockError = 24 * time.Hour

// plausible reports whether a record can have been written by now: Seq begins as a time. A member could not refute one
// from the future.
func (r Record) plausible(now time.Time) bool {
	return r.Seq <= uint64(max(now.Add(maxClockError).UnixMilli(), 0))
}

// valid reports whether a record from a peer has an address, a zone and a Seq and keeps the limits of each field.
func (r Record) valid() bool {
	return r.Address != "" && len(r.Address) <= maxAddressBytes && len(r.CallAddress) <= maxAddressBytes &&
		len(r.Service) <= maxNameBytes && r.Zone != "" && len(r.Zone) <= maxNameBytes && len(r.Region) <= maxNameBytes &&
		r.Seq > 0 && r.Seq <= maxSeq && r.State <= StateDown && r.Slots >= 0 && r.Slots <= maxSlots
}
