package wire

import (
	"encoding/binary"
	"fmt"
	"io"
)

// Kind is the type byte that precedes each message and body frame.
type Kind byte

// Message types. The values are part of the protocol and are never reused.
const (
	KindCallHeader   Kind = 1
	KindAnswerHeader Kind = 2
	KindBody         Kind = 3 // a part of a body, as raw bytes
	KindEnd          Kind = 4 // the end of a request body, without payload
	KindTrailer      Kind = 5 // the end of an answer's body
	KindRequest      Kind = 6 // a Control message that needs a KindReply
	KindNotice       Kind = 7 // a Control message without a reply, acknowledged with a KindAck
	KindReply        Kind = 8 // the Control message that replies to a KindRequest

	// Messages without payload.
	KindKeepAlive       Kind = 9  // keep-alive: the answer is still to come
	KindAck             Kind = 10 // acknowledges a KindNotice
	KindConnectionClose Kind = 11 // the sender handles no more messages on this connection
)

var kindNames = map[Kind]string{
	KindCallHeader:      "call header",
	KindAnswerHeader:    "answer header",
	KindBody:            "body frame",
	KindEnd:             "end frame",
	KindTrailer:         "trailer",
	KindRequest:         "control request",
	KindNotice:          "control notice",
	KindReply:           "control reply",
	KindKeepAlive:       "sign of life",
	KindAck:             "receipt",
	KindConnectionClose: "goodbye",
}

// String returns the name of the kind as printed in errors.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return fmt.Sprintf("message of unknown kind %d", byte(k))
}

// maxTrailerSize bounds an encoded Trailer, in bytes. Its two integers take at most 21 bytes.
const maxTrailerSize = 64

// maxSize returns the size limit of a payload of this kind, in bytes.
func (k Kind) maxSize() int {
	switch k {
	case KindCallHeader, KindAnswerHeader:
		return MaxHeaderSize
	case KindBody:
		return MaxFrameSize
	case KindTrailer:
		return maxTrailerSize
	case KindRequest, KindNotice, KindReply:
		return MaxControlSize
	default:
		return 0
	}
}

// PrefixSize is the size in bytes of the type and the length before each payload.
const PrefixSize = 1 + 4

// putPrefix writes the prefix of a payload of n bytes to the start of b.
func putPrefix(b []byte, k Kind, n int) {
	b[0] = byte(k)
	binary.BigEndian.PutUint32(b[1:], uint32(n))
}

// readPrefix reads a prefix into the given buffer and checks the length against the limit of the kind. It returns
// io.EOF at the end of the stream, io.ErrUnexpectedEOF when the stream ends within a prefix, and *KindError or
// *SizeError for a prefix that is refused.
func readPrefix(r io.Reader, prefix *[PrefixSize]byte) (Kind, int, error) {
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return 0, 0, err
	}
	k := Kind(prefix[0])
	if _, ok := kindNames[k]; !ok {
		return k, 0, &KindError{Got: k, Want: "a known kind"}
	}
	n := binary.BigEndian.Uint32(prefix[1:])
	if uint64(n) > uint64(k.maxSize()) {
		return k, 0, &SizeError{Kind: k, Size: int(n), Max: k.maxSize()}
	}
	return k, int(n), nil
}
