package wire

import (
	"bytes"
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Limits of the CBOR decoder. They bound the memory that a payload within its byte limit can take when decoded.
const (
	// maxNesting covers the deepest message, Control > ResolveAnswer > Header list > Header > values, with room to
	// spare.
	maxNesting = 8
	// maxArrayElements bounds each array. HTTP servers commonly allow about 100 header fields.
	maxArrayElements = 1024
	// maxMapPairs bounds each map. The largest message has 18 fields.
	maxMapPairs = 64
)

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

func newEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// newDecMode returns a decoder that refuses duplicate keys, tags, indefinite lengths and trailing bytes. Unknown fields
// are skipped, so that daemons of two versions understand each other during an upgrade. Strings need not be UTF-8: HTTP
// allows any byte from 0x80 in header values, and a call must not fail for one.
func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		UTF8:             cbor.UTF8DecodeInvalid,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// validator is a message that checks its own fields.
type validator interface {
	validate() error
}

// writeMessage appends a message with its prefix to b. On an error it leaves b as it was.
func writeMessage(b *bytes.Buffer, k Kind, v validator) error {
	if err := v.validate(); err != nil {
		return err
	}
	start := b.Len()
	var prefix [PrefixSize]byte
	b.Write(prefix[:])
	if err := encMode.MarshalToBuffer(v, b); err != nil {
		b.Truncate(start)
		return &CodecError{Kind: k, Err: err}
	}
	n := b.Len() - start - PrefixSize
	if n > k.maxSize() {
		b.Truncate(start)
		return &SizeError{Kind: k, Size: n, Max: k.maxSize()}
	}
	putPrefix(b.Bytes()[start:], k, n)
	return nil
}

// WriteCallHeader appends h to b. It returns *FieldError or *SizeError and leaves b as it was for a header that no
// daemon would accept.
func WriteCallHeader(b *bytes.Buffer, h *CallHeader) error { return writeMessage(b, KindCallHeader, h) }

// WriteAnswerHeader appends h to b, with the errors of WriteCallHeader.
func WriteAnswerHeader(b *bytes.Buffer, h *AnswerHeader) error {
	return writeMessage(b, KindAnswerHeader, h)
}

// WriteTrailer appends t to b, with the errors of WriteCallHeader.
func WriteTrailer(b *bytes.Buffer, t *Trailer) error { return writeMessage(b, KindTrailer, t) }

// WriteControl appends m to b as a message of kind KindRequest, KindNotice or KindReply, with the errors of
// WriteCallHeader.
func WriteControl(b *bytes.Buffer, k Kind, m *Control) error {
	if k != KindRequest && k != KindNotice && k != KindReply {
		return &KindError{Got: k, Want: "a control message"}
	}
	return writeMessage(b, k, m)
}

// Message is the first message of a stream: either Call is set, or Control and its kind.
type Message struct {
	Kind    Kind
	Call    *CallHeader
	Control *Control
}

// ReadFirst reads the first message of a stream: a call header, a control request or a control notice.
//
// All Read functions return io.EOF for a stream that ends before the message, io.ErrUnexpectedEOF for one that ends
// within it, and *KindError, *SizeError, *CodecError or *FieldError for a message that is refused. Those that read an
// answer skip keep-alive messages, and return ErrConnectionClose when a connection close message comes in its place.
// Other errors are those of r.
func ReadFirst(r io.Reader) (Message, error) {
	var prefix [PrefixSize]byte
	k, n, err := readPrefix(r, &prefix)
	if err != nil {
		return Message{}, err
	}
	m := Message{Kind: k}
	switch k {
	case KindCallHeader:
		m.Call = new(CallHeader)
		return m, readPayload(r, k, n, m.Call)
	case KindRequest, KindNotice:
		m.Control = new(Control)
		return m, readPayload(r, k, n, m.Control)
	default:
		return Message{}, &KindError{Got: k, Want: "a call header or a control message"}
	}
}

// ReadAnswerHeader reads the header of an answer.
func ReadAnswerHeader(r io.Reader) (*AnswerHeader, error) {
	h := new(AnswerHeader)
	if err := readMessage(r, KindAnswerHeader, h); err != nil {
		return nil, err
	}
	return h, nil
}

// ReadReply reads the reply to a control request.
func ReadReply(r io.Reader) (*Control, error) {
	m := new(Control)
	if err := readMessage(r, KindReply, m); err != nil {
		return nil, err
	}
	return m, nil
}

func readMessage(r io.Reader, want Kind, v validator) error {
	n, err := readExpectedPrefix(r, want)
	if err != nil {
		return err
	}
	return readPayload(r, want, n, v)
}

// ErrConnectionClose reports that the peer sent a connection close message in place of an answer. The peer has not
// handled the message that it was sent, and handles no more messages on the connection.
var ErrConnectionClose = errors.New("peer is closing the connection and did not handle the message")

// readExpectedPrefix reads the prefix of the answer to a message, after any number of keep-alive messages, and returns
// the length of its payload in bytes.
func readExpectedPrefix(r io.Reader, want Kind) (int, error) {
	var prefix [PrefixSize]byte
	for {
		k, n, err := readPrefix(r, &prefix)
		switch {
		case err != nil:
			return 0, err
		case k == want:
			return n, nil
		case k == KindConnectionClose:
			return 0, ErrConnectionClose
		case k != KindKeepAlive:
			return 0, &KindError{Got: k, Want: want.String()}
		}
	}
}

// AppendEmptyMessage appends a message without payload to dst. The kind is KindEnd, KindKeepAlive, KindAck or
// KindConnectionClose.
func AppendEmptyMessage(dst []byte, k Kind) []byte {
	return append(dst, byte(k), 0, 0, 0, 0)
}

// ReadAck reads the acknowledgement of a control notice.
func ReadAck(r io.Reader) error {
	_, err := readExpectedPrefix(r, KindAck)
	return err
}

// ReadKeepAlive reads one keep-alive message.
func ReadKeepAlive(r io.Reader) error {
	_, err := readExpectedPrefix(r, KindKeepAlive)
	return err
}

// readPayload decodes a payload of n bytes into v. The buffer grows with the bytes that arrive, so that an announced
// length alone allocates nothing.
func readPayload(r io.Reader, k Kind, n int, v validator) error {
	var b bytes.Buffer
	got, err := b.ReadFrom(io.LimitReader(r, int64(n)))
	if err != nil {
		return err
	}
	if got < int64(n) {
		return io.ErrUnexpectedEOF
	}
	if err := decMode.Unmarshal(b.Bytes(), v); err != nil {
		return &CodecError{Kind: k, Err: err}
	}
	return v.validate()
}
