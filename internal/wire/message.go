package wire

import (
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Size limits of one message, in bytes.
const (
	// MaxHeaderSize bounds a CallHeader and an AnswerHeader. HTTP servers commonly allow this much for all headers
	// together.
	MaxHeaderSize = 64 << 10
	// MaxControlSize bounds a control message. The largest is a configuration document. The store limits that to 1 MiB,
	// and one that can't be compressed grows a little.
	MaxControlSize = 1<<20 + 64<<10
	// MaxFrameSize bounds one body frame.
	MaxFrameSize = 64 << 10
)

// ConfigVersion orders configurations: first by epoch, then by the store's revision.
type ConfigVersion struct {
	Epoch    uint64 `cbor:"1,keyasint,omitempty"`
	Revision uint64 `cbor:"2,keyasint,omitempty"`
}

// Header is one HTTP header field with its values.
type Header struct {
	Name   string   `cbor:"1,keyasint"`
	Values []string `cbor:"2,keyasint"`
}

// CallHeader opens a call. The request body follows in frames.
type CallHeader struct {
	RootID string    `cbor:"1,keyasint"`
	Rank   call.Rank `cbor:"2,keyasint"`
	// Depth is the number of hops before this one; the entry sends 0.
	Depth int `cbor:"3,keyasint,omitempty"`
	// Timeout is the time left until the deadline when the header was sent. It is a duration because an absolute
	// time would be wrong under clock skew between the two VMs.
	Timeout time.Duration `cbor:"4,keyasint"`
	// Retries is the part of the root request's retry budget that is granted to this call.
	Retries int `cbor:"5,keyasint,omitempty"`

	// Service and Incarnation identify the upstream that the call is sent to. Incarnation is zero when the caller
	// doesn't know it; a call with a token always sets it.
	Service     string           `cbor:"6,keyasint"`
	Incarnation call.Incarnation `cbor:"7,keyasint,omitempty"`
	// Token is the encoded token of a non-idempotent request, empty for an idempotent one.
	Token string `cbor:"8,keyasint,omitempty"`

	Method string   `cbor:"9,keyasint"`
	Path   string   `cbor:"10,keyasint"` // with the query, beginning with '/'
	Header []Header `cbor:"11,keyasint,omitempty"`
	// BodyLength is the declared length of the body in bytes, or -1 when it is unknown.
	BodyLength int64 `cbor:"12,keyasint"`

	TraceParent string        `cbor:"13,keyasint,omitempty"`
	Config      ConfigVersion `cbor:"14,keyasint"`
	// From is the peer address of the caller's daemon. The source port of the connection is a different one.
	From string `cbor:"15,keyasint,omitempty"`
	// Minted is set when the caller's daemon created the token itself, for a caller that has none. The upstream's
	// daemon treats it as a token that it issued.
	Minted bool `cbor:"16,keyasint,omitempty"`
	// Retried is set when the call is a retry, or belongs to a request that is one. The calls that its run makes count
	// as retries too.
	Retried bool `cbor:"17,keyasint,omitempty"`
	// Backend is what the caller's daemon has learned about the backend server from its responses, nil for nothing.
	Backend *BackendReport `cbor:"18,keyasint,omitempty"`
}

// BackendReport is what a backend server has stated about itself in its responses. The daemon beside it sends it to the
// daemons that it answers, and these send it back with their calls, because the daemon beside the backend server forgets it
// at a restart.
type BackendReport struct {
	// Instance and StartUnixMilli identify the start of the backend server. StartUnixMilli is 0 if it isn't known.
	Instance       string `cbor:"1,keyasint"`
	StartUnixMilli int64  `cbor:"2,keyasint,omitempty"`
	// Limited is set if the backend server limits the rate of its requests to RateLimit per second.
	Limited   bool    `cbor:"3,keyasint,omitempty"`
	RateLimit float64 `cbor:"4,keyasint,omitempty"`
	// Leaving is set if the backend server leaves.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// NoticeUnixMilli is Departure.NoticeUnixMilli, if Leaving is set.
	NoticeUnixMilli int64 `cbor:"6,keyasint,omitempty"`
}

// Departure states that a start of a backend server leaves. The fields are those of announce.Departure.
type Departure struct {
	Instance        string `cbor:"1,keyasint"`
	StartUnixMilli  int64  `cbor:"2,keyasint,omitempty"`
	NoticeUnixMilli int64  `cbor:"3,keyasint,omitempty"`
}

// Departures carries departures of the backend server beside a daemon. That daemon tells them to others when it learns
// them, and one of these answers a DepartureQuery with them.
type Departures struct {
	List []Departure `cbor:"1,keyasint,omitempty"`
	// Uptime is for how long the sender has run. It can't know what was told before.
	Uptime time.Duration `cbor:"2,keyasint,omitempty"`
	// Quarantine holds, in the answer to a DepartureQuery, the encoded quarantine records that an earlier daemon at the
	// address of the asking one has sent to be kept.
	Quarantine []byte `cbor:"3,keyasint,omitempty"`
}

// DepartureQuery asks for the departures and the quarantine records that an earlier daemon at the sender's address has sent
// to be kept.
type DepartureQuery struct{}

// AnswerHeader opens the answer to a call. Where Outcome is call.OutcomeAnswered, the body follows in frames and
// then a Trailer; otherwise the header is the whole answer.
type AnswerHeader struct {
	Outcome call.Outcome `cbor:"1,keyasint"`
	Reason  call.Reason  `cbor:"2,keyasint,omitempty"`
	Status  int          `cbor:"3,keyasint,omitempty"` // HTTP status of the backend server
	Header  []Header     `cbor:"4,keyasint,omitempty"`
	// BodyLength is the declared length of the body in bytes, or -1 when it is unknown.
	BodyLength int64 `cbor:"5,keyasint"`
	// Cutoff is the upstream's current cutoff rank; calls of a lower rank are being refused.
	Cutoff call.Rank `cbor:"6,keyasint,omitempty"`
	// UnusedRetries is the part of CallHeader.Retries that the call didn't use. An answer with a body returns it in the
	// Trailer instead.
	UnusedRetries int           `cbor:"7,keyasint,omitempty"`
	Config        ConfigVersion `cbor:"8,keyasint"`
	// Load is the number of the upstream's running and waiting requests, in percent of its limit.
	Load int `cbor:"9,keyasint,omitempty"`
	// FailureRate is the percentage of the upstream's recent requests that failed.
	FailureRate int `cbor:"10,keyasint,omitempty"`
	// Overloaded is set when the request failed because a call that it depends on was refused because of overload.
	Overloaded bool `cbor:"11,keyasint,omitempty"`
	// Backend is what the backend server has stated about itself, nil for nothing.
	Backend *BackendReport `cbor:"12,keyasint,omitempty"`
}

// Trailer ends the body of an answer. A body that ends without a Trailer is truncated.
type Trailer struct {
	// UnusedRetries is the part of CallHeader.Retries that the call didn't use.
	UnusedRetries int `cbor:"1,keyasint,omitempty"`
	// Length is the number of body bytes sent.
	Length int64 `cbor:"2,keyasint"`
}

// Control is a message that belongs to no call. Exactly one of its pointers is set.
type Control struct {
	// From is the sender's peer address.
	From   string        `cbor:"1,keyasint"`
	Config ConfigVersion `cbor:"2,keyasint"`

	Ping           *Ping           `cbor:"3,keyasint,omitempty"`
	TokenRequest   *TokenRequest   `cbor:"4,keyasint,omitempty"`
	TokenGrant     *TokenGrant     `cbor:"5,keyasint,omitempty"`
	ResolveRequest *ResolveRequest `cbor:"6,keyasint,omitempty"`
	ResolveAnswer  *ResolveAnswer  `cbor:"7,keyasint,omitempty"`
	Membership     *Membership     `cbor:"8,keyasint,omitempty"`
	ConfigPull     *ConfigPull     `cbor:"9,keyasint,omitempty"`
	ConfigDocument *ConfigDocument `cbor:"10,keyasint,omitempty"`
	Quarantine     *Quarantine     `cbor:"11,keyasint,omitempty"`
	Refusal        *Refusal        `cbor:"12,keyasint,omitempty"`
	Departures     *Departures     `cbor:"13,keyasint,omitempty"`
	DepartureQuery *DepartureQuery `cbor:"14,keyasint,omitempty"`
}

// Ping asks whether the peer and the connection are alive. The reply is a Ping with the same number.
type Ping struct {
	Number uint64 `cbor:"1,keyasint"`
}

// TokenRequest asks an upstream's daemon for a token.
type TokenRequest struct {
	Service string    `cbor:"1,keyasint"`
	Rank    call.Rank `cbor:"2,keyasint"`
}

// TokenGrant answers a TokenRequest.
type TokenGrant struct {
	Token  string      `cbor:"1,keyasint,omitempty"`
	Reason call.Reason `cbor:"2,keyasint,omitempty"` // set where no token was issued
	Cutoff call.Rank   `cbor:"3,keyasint,omitempty"`
}

// ResolveRequest asks the issuer of a token for the outcome of its call. A token that was issued but not used is
// refused from then on, so that the outcome "not run" is certain.
type ResolveRequest struct {
	Token string `cbor:"1,keyasint"`
	// Minted is CallHeader.Minted of the call. A minted token that never arrived is refused from then on as well.
	Minted bool `cbor:"2,keyasint,omitempty"`
}

// ResolveAnswer answers a ResolveRequest with the outcome and, if the call was answered, the answer.
type ResolveAnswer struct {
	Outcome call.Outcome `cbor:"1,keyasint"`
	Reason  call.Reason  `cbor:"2,keyasint,omitempty"`
	Status  int          `cbor:"3,keyasint,omitempty"`
	Header  []Header     `cbor:"4,keyasint,omitempty"`
	Body    []byte       `cbor:"5,keyasint,omitempty"`
	// Backend is what the backend server has stated about itself, nil for nothing.
	Backend *BackendReport `cbor:"6,keyasint,omitempty"`
}

// Membership carries an encoded message of the membership state machine.
type Membership struct {
	Payload []byte `cbor:"1,keyasint"`
}

// ConfigPull asks for the peer's configuration document.
type ConfigPull struct {
	// Source is set if the sender accepts a ConfigDocument with Source.
	Source bool `cbor:"1,keyasint,omitempty"`
}

// ConfigDocument carries a configuration document, compressed with DEFLATE.
type ConfigDocument struct {
	Version    ConfigVersion `cbor:"1,keyasint"`
	Compressed []byte        `cbor:"2,keyasint"`
	// Source is set if the document is the store's value, in the encoding of the fleet's configuration source. Otherwise
	// it is in the project's own.
	Source bool `cbor:"3,keyasint,omitempty"`
}

// Quarantine carries encoded quarantine records.
type Quarantine struct {
	Payload []byte `cbor:"1,keyasint"`
	// Keep asks the receiver to keep the records for a later daemon at the sender's address, see Departures.Quarantine.
	// Otherwise it merges them with its own.
	Keep bool `cbor:"2,keyasint,omitempty"`
}

// Refusal answers a control message that the peer can't serve.
type Refusal struct {
	Code    string `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
}
