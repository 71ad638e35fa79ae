package membership

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Kind is the type of a message.
type Kind uint8

const (
	// KindHeartbeat goes to the successors on the ring every Config.HeartbeatInterval, by default every second.
	KindHeartbeat Kind = iota + 1
	// KindGossip carries records that changed.
	KindGossip
	// KindRecordRequest asks the receiver for its own record, which it returns by KindGossip.
	KindRecordRequest
	// KindDigest carries the hash of the sender's table and starts an anti-entropy exchange if the receiver's
	// differs.
	KindDigest
	// KindBucketHashes answers a digest that differs, with the hash of each bucket of the sender's table.
	KindBucketHashes
	// KindBucketRecords carries records of the buckets in BucketMask. With WantReply set it holds all of them, and
	// the receiver returns those that the sender lacks or has in an older version. The reply holds only these.
	KindBucketRecords
	// KindSummary carries all records of one zone, as a relay of that zone collected them.
	KindSummary
)

// Message is a message between two nodes. It is encoded as an array, so the order of the fields is fixed.
type Message struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	// From and To are peer addresses. A summary read from the platform has no To.
	From, To string
	// Zone is the sender's zone. In a summary it is also the zone of the records.
	Zone string
	// Incarnation, Seq and State are those of the sender's own record.
	Incarnation call.Incarnation
	Seq         uint64
	State       State
	Records     []Record
	// Hashes holds the hash of the table in KindDigest, and the hash of each bucket in KindBucketHashes.
	Hashes []uint64
	// BucketMask has bit i set if the message covers bucket i.
	BucketMask uint64
	// WantReply asks the receiver of KindBucketRecords for its newer records of the same buckets.
	WantReply bool
	// UnixMillis is the time of a summary in milliseconds since 1970, by the relay's clock.
	UnixMillis int64
}

// Size limits of an encoded message, in bytes.
const (
	// MaxEncodedBytes leaves room for the envelope below the size limit of a control message.
	MaxEncodedBytes = 1<<20 - 1<<10
	// MaxDecompressedBytes bounds the memory that decoding a compressed message takes.
	MaxDecompressedBytes = 4 << 20
	// MaxRecords bounds the records of one message. The largest message is the summary of a zone with 573 members,
	// to which the records that are down are added.
	MaxRecords = 8192
	// minCompressBytes is the size above which DEFLATE saves more than it costs. A shorter message fits in one
	// packet.
	minCompressBytes = 512
)

// The first byte of an encoded message.
const (
	encodingPlain   = 0
	encodingDeflate = 1
)

// Errors that Encode and Decode wrap.
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

// flateWriters reuses compressors, which are expensive to allocate.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	return w
}}

// Encode returns the message as bytes, compressed above minCompressBytes. The error wraps ErrTooLarge if the message
// exceeds MaxRecords, MaxDecompressedBytes or, when encoded, MaxEncodedBytes.
func Encode(m Message) ([]byte, error) {
	if len(m.Records) > MaxRecords {
		return nil, fmt.Errorf("encode: %w: %d records, limit %d", ErrTooLarge, len(m.Records), MaxRecords)
	}
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode membership message: %w", err)
	}
	if len(body) > MaxDecompressedBytes {
		return nil, fmt.Errorf("encode: %w: %d bytes before compression, limit %d", ErrTooLarge, len(body), MaxDecompressedBytes)
	}
	out := append([]byte{encodingPlain}, body...)
	if len(body) > minCompressBytes {
		out, err = compress(body)
		if err != nil {
			return nil, err
		}
	}
	if len(out) > MaxEncodedBytes {
		return nil, fmt.Errorf("encode: %w: %d bytes, limit %d", ErrTooLarge, len(out), MaxEncodedBytes)
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

// Decode reads an encoded message and checks the limits of every field. Records that exceed them are left out; the others
// count. The error wraps ErrTooLarge or ErrMalformed.
func Decode(data []byte) (Message, error) {
	if len(data) > MaxEncodedBytes {
		return Message{}, fmt.Errorf("decode: %w: %d bytes, limit %d", ErrTooLarge, len(data), MaxEncodedBytes)
	}
	if len(data) == 0 {
		return Message{}, fmt.Errorf("%w: empty", ErrMalformed)
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
		return Message{}, fmt.Errorf("%w: unknown encoding %d", ErrMalformed, data[0])
	}
	var m Message
	if err := decMode.Unmarshal(body, &m); err != nil {
		return Message{}, fmt.Errorf("%w: decode CBOR: %v", ErrMalformed, err)
	}
	if err := m.validate(); err != nil {
		return Message{}, err
	}
	m.Records = slices.DeleteFunc(m.Records, func(r Record) bool { return !r.valid() })
	return m, nil
}

func decompress(body []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(body))
	out, err := io.ReadAll(io.LimitReader(r, MaxDecompressedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: decompress: %v", ErrMalformed, err)
	}
	if len(out) > MaxDecompressedBytes {
		return nil, fmt.Errorf("decompress: %w: limit %d bytes", ErrTooLarge, MaxDecompressedBytes)
	}
	return out, nil
}

// validate checks the ranges of the fields that Step relies on, other than the records. The error wraps ErrMalformed.
func (m Message) validate() error {
	switch {
	case m.Kind < KindHeartbeat || m.Kind > KindSummary:
		return fmt.Errorf("%w: unknown kind %d", ErrMalformed, m.Kind)
	case len(m.From) > maxAddressBytes || len(m.To) > maxAddressBytes || len(m.Zone) > maxNameBytes:
		return fmt.Errorf("%w: sender's address, receiver's address or zone is too long", ErrMalformed)
	case m.State > StateDown || m.Seq > maxSeq:
		return fmt.Errorf("%w: sender's state %d or sequence number %d is out of range", ErrMalformed, m.State, m.Seq)
	case len(m.Hashes) > numBuckets:
		return fmt.Errorf("%w: %d hashes, limit %d", ErrMalformed, len(m.Hashes), numBuckets)
	}
	return nil
}
