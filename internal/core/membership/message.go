package membership

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Kind is the type of a message.
type Kind uint8

const (
	// KindHeartbeat goes to the successors on the ring every second.
	KindHeartbeat Kind = iota + 1
	// KindGossip carries records that changed.
	KindGossip
	// KindRecordRequest asks the receiver for its own record.
	KindRecordRequest
	// KindDigest carries the hash of the sender's table.
	KindDigest
	// KindBucketHashes answers a digest that differs, with one hash for each bucket.
	KindBucketHashes
	// KindBucketRecords carries all records of the buckets in Mask. With Reply set, the receiver returns what it has newer.
	KindBucketRecords
	// KindSummary carries all records of one zone, as its relay collected them.
	KindSummary
)

// Message is a message between two nodes.
type Message struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	// From and To are peer addresses. A summary read from the platform has no To.
	From, To string
	// Zone is the sender's zone. In a summary it is the zone described.
	Zone string
	// Incarnation, Seq and State are the sender's own.
	Incarnation call.Incarnation
	Seq         uint64
	State       State
	Records     []Record
	// Hashes holds the table's hash in a digest, and the hash of each bucket in KindBucketHashes.
	Hashes []uint64
	// BucketMask has bit i set if bucket i is meant.
	BucketMask uint64
	WantReply  bool
	// UnixMillis is the time of a summary in milliseconds since 1970, by the relay's clock.
	UnixMillis int64
}

// Size limits of an encoded message, in bytes.
const (
	// MaxEncodedBytes is below the limit of a control message with room for its envelope.
	MaxEncodedBytes = 1<<20 - 1<<10
	// MaxDecompressedBytes bounds the memory that a compressed message can take.
	MaxDecompressedBytes = 4 << 20
	// MaxRecords bounds the records of one message. The largest, the summary of a zone, has 573 members and its
	// records that are down.
	MaxRecords = 8192
	// minCompressBytes is the size from which DEFLATE saves more than it costs; below it a message fits a packet.
	minCompressBytes = 512
)

// The first byte of an encoded message.
const (
	encodingPlain   = 0
	encodingDeflate = 1
)

// Errors of Encode and Decode.
var (
	ErrTooLarge  = errors.New("membership message is too large")
	ErrMalformed = errors.New("malformed membership message")
)

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: MaxRecords,
		MaxNestedLevels:  4,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	return w
}}

// Encode returns the message as bytes, compressed if it is long. It returns ErrTooLarge above MaxEncodedBytes.
func Encode(m Message) ([]byte, error) {
	if len(m.Records) > MaxRecords {
		return nil, ErrTooLarge
	}
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode membership message: %w", err)
	}
	if len(body) > MaxDecompressedBytes {
		return nil, ErrTooLarge
	}
	out := append([]byte{encodingPlain}, body...)
	if len(body) > minCompressBytes {
		out, err = compress(body)
		if err != nil {
			return nil, err
		}
	}
	if len(out) > MaxEncodedBytes {
		return nil, ErrTooLarge
	}
	return out, nil
}

func compress(body []byte) ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte(encodingDeflate)
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&b)
	if _, err := w.Write(body); err != nil {
		return nil, fmt.Errorf("compress membership message: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress membership message: %w", err)
	}
	return b.Bytes(), nil
}

// Decode reads an encoded message and checks the limits of every field. The error is ErrTooLarge or wraps ErrMalformed.
func Decode(data []byte) (Message, error) {
	if len(data) > MaxEncodedBytes {
		return Message{}, ErrTooLarge
	}
	if len(data) == 0 {
		return Message{}, ErrMalformed
	}
	body := data[1:]
	switch data[0] {
	case encodingPlain:
	case encodingDeflate:
		var err error
		if body, err = decompress(body); err != nil {
			return Message{}, err
		}
	default:
		return Message{}, fmt.Errorf("%w: encoding %d", ErrMalformed, data[0])
	}
	var m Message
	if err := decMode.Unmarshal(body, &m); err != nil {
		return Message{}, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return m, m.validate()
}

func decompress(body []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(body))
	out, err := io.ReadAll(io.LimitReader(r, MaxDecompressedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if len(out) > MaxDecompressedBytes {
		return nil, ErrTooLarge
	}
	return out, nil
}

// validate validates the fields that Step relies on.
func (m Message) validate() error {
	switch {
	case m.Kind < KindHeartbeat || m.Kind > KindSummary:
		return fmt.Errorf("%w: kind %d", ErrMalformed, m.Kind)
	case len(m.From) > maxAddressBytes || len(m.To) > maxAddressBytes || len(m.Zone) > maxNameBytes:
		return fmt.Errorf("%w: long address or zone", ErrMalformed)
	case m.State > StateDown || m.Seq > maxSeq:
		return fmt.Errorf("%w: sender's record", ErrMalformed)
	case len(m.Hashes) > numBuckets:
		return fmt.Errorf("%w: %d hashes", ErrMalformed, len(m.Hashes))
	}
	for _, r := range m.Records {
		if !r.valid() {
			return fmt.Errorf("%w: record of %q", ErrMalformed, r.Address)
		}
	}
	return nil
}
