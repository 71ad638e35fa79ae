package wire

import "fmt"

// SizeError reports a message or frame above its limit. The payload has not been read.
type SizeError struct {
	Kind Kind
	Size int // bytes announced by the sender, or encoded
	Max  int // bytes allowed
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s of %d bytes exceeds the limit of %d bytes", e.Kind, e.Size, e.Max)
}

// KindError reports a message of a kind that is not allowed at this point of a stream.
type KindError struct {
	Got  Kind
	Want string
}

// Error implements error.
func (e *KindError) Error() string {
	return fmt.Sprintf("got %s, want %s", e.Got, e.Want)
}

// CodecError reports a message that can't be encoded, or a payload that is not valid CBOR for its kind.
type CodecError struct {
	Kind Kind
	Err  error
}

// Error implements error.
func (e *CodecError) Error() string {
	return fmt.Sprintf("encode or decode %s: %v", e.Kind, e.Err)
}

// Unwrap returns the error of the CBOR library.
func (e *CodecError) Unwrap() error { return e.Err }

// FieldError reports a field with a value that no message may have.
type FieldError struct {
	Kind    Kind
	Field   string
	Value   any
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("invalid %s: field %s is %v, allowed is %s", e.Kind, e.Field, e.Value, e.Allowed)
}

// LengthError reports a body whose number of bytes differs from the one in its trailer.
type LengthError struct {
	Got  int64
	Want int64
}

// Error implements error.
func (e *LengthError) Error() string {
	return fmt.Sprintf("body has %d bytes, its trailer announces %d", e.Got, e.Want)
}
