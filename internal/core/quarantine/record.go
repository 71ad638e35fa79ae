package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"
)

// FingerprintBodySize is the maximum number of body bytes that a fingerprint covers. It equals the size of one body
// frame, so that a daemon has these bytes before it forwards any.
const FingerprintBodySize = 64 << 10

// Fingerprint identifies requests that a backend server is assumed to handle alike: those with the same service,
// method, path and first FingerprintBodySize bytes of the body. It is a SHA-256 hash of these.
type Fingerprint [32]byte

// NewFingerprint returns the fingerprint of a request. Only the first FingerprintBodySize bytes of body are used.
func NewFingerprint(service, method, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{service, method, path} {
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part)))) // a hash's Write never fails
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body[:min(len(body), FingerprintBodySize)])
	return Fingerprint(h.Sum(nil))
}

// String returns the first 8 bytes in hexadecimal, for logs and the operator's commands.
func (f Fingerprint) String() string {
	return fmt.Sprintf("%x", f[:8])
}

// Record holds what a daemon knows about one fingerprint. Records of the same fingerprint form a join-semilattice under
// Join: daemons that have received the same records agree, in whatever order and however often the records arrived.
//
// The times are wall-clock times of the daemon that recorded the crash. Clock skew between daemons shortens or extends
// a quarantine by the amount of the skew.
type Record struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Lifts counts how often an operator lifted the quarantine. A record with a higher count replaces one with a lower
	// count, except for KeepUntil.
	Lifts uint32 `cbor:"2,keyasint,omitempty"`
	// ConfirmedUntil is when the confirmation expires; zero if the fingerprint is not confirmed.
	ConfirmedUntil time.Time `cbor:"3,keyasint,omitzero"`
	// Round numbers the suspicions of the fingerprint. A crash after a clearance starts a new round.
	Round uint32 `cbor:"4,keyasint,omitempty"`
	// Cleared is set if a run completed in this round.
	Cleared bool `cbor:"5,keyasint,omitempty"`
	// SuspectUntil is when the suspicion of this round expires.
	SuspectUntil time.Time `cbor:"6,keyasint,omitzero"`
	// KeepUntil is when the record can be removed. A cleared or lifted record must be kept at least as long as every
	// record that it replaces, since such a record that arrives later would otherwise restore the suspicion.
	KeepUntil time.Time `cbor:"7,keyasint"`
}

// State is the state of a fingerprint at a given time.
type State uint8

// The states of a fingerprint.
const (
	Unsuspected State = iota
	Suspect
	Confirmed
)

// String returns the name used in logs.
func (s State) String() string {
	names := [...]string{"unsuspected", "suspect", "confirmed"}
	if int(s) >= len(names) {
		return fmt.Sprintf("state(%d)", uint8(s))
	}
	return names[s]
}

// StateAt returns the state of the record's fingerprint at a given time.
func (r Record) StateAt(now time.Time) State {
	switch {
	case now.Before(r.ConfirmedUntil):
		return Confirmed
	case !r.Cleared && now.Before(r.SuspectUntil):
		return Suspect
	default:
		return Unsuspected
	}
}

// Join returns the least upper bound of two records. Both must have the same fingerprint.
func Join(a, b Record) Record {
	keep := latest(a.KeepUntil, b.KeepUntil)
	joined := joinLifts(a, b)
	joined.KeepUntil = keep
	return joined
}

// joinLifts joins all fields but KeepUntil. If the lift counts differ, the record with the higher count wins.
func joinLifts(a, b Record) Record {
	if a.Lifts != b.Lifts {
		return selectRecord(a, b, a.Lifts > b.Lifts)
	}
	joined := joinRounds(a, b)
	joined.ConfirmedUntil = latest(a.ConfirmedUntil, b.ConfirmedUntil)
	return joined
}

// joinRounds joins the fields of the suspicion. If the rounds differ, the record of the later round wins.
func joinRounds(a, b Record) Record {
	if a.Round != b.Round {
		return selectRecord(a, b, a.Round > b.Round)
	}
	a.Cleared = a.Cleared || b.Cleared
	a.SuspectUntil = latest(a.SuspectUntil, b.SuspectUntil)
	return a
}

// selectRecord returns a if pickA is true, and b otherwise.
func selectRecord(a, b Record, pickA bool) Record {
	if pickA {
		return a
	}
	return b
}

// equal reports whether two records are the same. It compares times as instants, since a time that was received over
// the network has another time.Location.
func (r Record) equal(o Record) bool {
	return r.Fingerprint == o.Fingerprint && r.Lifts == o.Lifts && r.Round == o.Round && r.Cleared == o.Cleared &&
		r.ConfirmedUntil.Equal(o.ConfirmedUntil) && r.SuspectUntil.Equal(o.SuspectUntil) &&
		r.KeepUntil.Equal(o.KeepUntil)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
