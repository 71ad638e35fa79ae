package call

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
)

// MaxDepth is the maximum length of a chain of calls, in hops. The deepest call graphs of the users have 24 hops.
const MaxDepth = 24

// MaxRootIDLength is the maximum length of a root request's ID, in bytes.
const MaxRootIDLength = 64

// Context identifies a running request. The daemon sends it to the backend server with the request, as an opaque
// header. The backend server copies it to its child calls, so that its daemon can assign them to the running request.
type Context struct {
	// HopID identifies the running request within the daemon that created the context.
	HopID uint64
	// Incarnation identifies the daemon, and its start, that created the context. Any other incarnation rejects the
	// context.
	Incarnation Incarnation
}

// ErrMalformedContext reports that a string is not an encoded context.
var ErrMalformedContext = errors.New("malformed context")

const contextLength = 16 // bytes: HopID and Incarnation

// String returns the context as it appears in the Guavapoint-Context header.
func (c Context) String() string {
	b := make([]byte, 0, contextLength)
	b = binary.BigEndian.AppendUint64(b, c.HopID)
	b = binary.BigEndian.AppendUint64(b, uint64(c.Incarnation))
	return base64.RawURLEncoding.EncodeToString(b)
}

// ParseContext decodes a context. It returns ErrMalformedContext for any input that String doesn't produce.
func ParseContext(s string) (Context, error) {
	b, err := base64.RawURLEncoding.Strict().DecodeString(s)
	if err != nil || len(b) != contextLength {
		return Context{}, ErrMalformedContext
	}
	return Context{
		HopID:       binary.BigEndian.Uint64(b),
		Incarnation: Incarnation(binary.BigEndian.Uint64(b[8:])),
	}, nil
}

// ValidRootID reports whether s is allowed as the ID of a root request: 1 to MaxRootIDLength characters, each an ASCII
// letter or digit, '.', '_' or '-'.
func ValidRootID(s string) bool {
	if len(s) == 0 || len(s) > MaxRootIDLength {
		return false
	}
	for i := 0; i < len(s); i++ {
		if !isRootIDByte(s[i]) {
			return false
		}
	}
	return true
}

func isRootIDByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	default:
		return b == '.' || b == '_' || b == '-'
	}
}
