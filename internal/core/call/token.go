package call

import (
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"time"
)

// Incarnation identifies one start of one daemon: a restarted daemon has another. It is random and never reused.
type Incarnation uint64

// NonceSize is the size of a token's nonce in bytes. 128 random bits make a guess or a collision infeasible.
const NonceSize = 16

// Token binds a non-idempotent request to one incarnation of one upstream before the request is dispatched.
type Token struct {
	// Service is the name of the service that the request is for.
	Service string
	// Upstream is the peer address of the daemon that issued the token.
	Upstream string
	// Incarnation identifies the start of that daemon that issued the token.
	Incarnation Incarnation
	// Nonce identifies the token within the incarnation.
	Nonce [NonceSize]byte
	// Expiry is checked only by the incarnation that issued the token, against its own clock.
	Expiry time.Time
}

// MaxTokenLength is the maximum length of an encoded token that ParseToken accepts, in bytes.
const MaxTokenLength = 512

// ErrMalformedToken reports that a string is not an encoded token.
var ErrMalformedToken = errors.New("malformed token")

const (
	tokenVersion  = 1
	tokenFixedLen = 1 + 8 + 8 + NonceSize + 2 // bytes: version, incarnation, expiry, nonce, two string lengths
)

// String returns the token as it appears in the Guavapoint-Token header.
func (t Token) String() string {
	b := make([]byte, 0, tokenFixedLen+len(t.Service)+len(t.Upstream))
	b = append(b, tokenVersion)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Incarnation))
	b = binary.BigEndian.AppendUint64(b, uint64(t.Expiry.UnixMilli()))
	b = append(b, t.Nonce[:]...)
	b = append(b, byte(len(t.Service)))
	b = append(b, t.Service...)
	b = append(b, byte(len(t.Upstream)))
	b = append(b, t.Upstream...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// ParseToken decodes a token. It returns ErrMalformedToken for any input that String doesn't produce.
func ParseToken(s string) (Token, error) {
	if len(s) > MaxTokenLength {
		return Token{}, ErrMalformedToken
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(s)
	if err != nil || len(b) < tokenFixedLen || b[0] != tokenVersion {
		return Token{}, ErrMalformedToken
	}
	var t Token
	t.Incarnation = Incarnation(binary.BigEndian.Uint64(b[1:]))
	t.Expiry = time.UnixMilli(int64(binary.BigEndian.Uint64(b[9:]))).UTC()
	copy(t.Nonce[:], b[17:])
	rest := b[17+NonceSize:]
	var ok bool
	if t.Service, rest, ok = cutString(rest); !ok {
		return Token{}, ErrMalformedToken
	}
	if t.Upstream, rest, ok = cutString(rest); !ok || len(rest) != 0 {
		return Token{}, ErrMalformedToken
	}
	return t, nil
}

// cutString reads a string that is preceded by its length in one byte, and returns the bytes after it. ok is false if b
// is too short.
func cutString(b []byte) (s string, rest []byte, ok bool) {
	if len(b) == 0 || len(b)-1 < int(b[0]) {
		return "", nil, false
	}
	n := int(b[0])
	return string(b[1 : 1+n]), b[1+n:], true
}

// Equal reports whether both tokens agree in all fields but Expiry. It compares the nonces in constant time.
func (t Token) Equal(o Token) bool {
	return t.Service == o.Service && t.Upstream == o.Upstream && t.Incarnation == o.Incarnation &&
		subtle.ConstantTimeCompare(t.Nonce[:], o.Nonce[:]) == 1
}
