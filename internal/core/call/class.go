package call

import (
	"fmt"
	"hash/fnv"
)

// Class is the importance of a request. Higher values are more important.
type Class uint8

// The importance classes, from least to most important.
const (
	ClassLow Class = iota
	ClassNormal
	ClassHigh
	ClassCritical
)

// NumClasses is the number of importance classes.
const NumClasses = 4

var classNames = [NumClasses]string{"low", "normal", "high", "critical"}

// String returns the name used in settings and headers.
func (c Class) String() string {
	if int(c) >= len(classNames) {
		return fmt.Sprintf("class(%d)", uint8(c))
	}
	return classNames[c]
}

// ParseClass returns the class with the given name, or an *UnknownNameError.
func ParseClass(name string) (Class, error) {
	for i, n := range classNames {
		if n == name {
			return Class(i), nil
		}
	}
	return ClassLow, &UnknownNameError{Kind: "importance", Name: name, Allowed: classNames[:]}
}

// MarshalText implements encoding.TextMarshaler with the class name.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler; it accepts the class names only.
func (c *Class) UnmarshalText(text []byte) error {
	parsed, err := ParseClass(string(text))
	if err != nil {
		return err
	}
	*c = parsed
	return nil
}

// UnknownNameError reports a name outside a fixed set.
type UnknownNameError struct {
	Kind    string
	Name    string
	Allowed []string
}

// Error implements error.
func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("unknown %s %q, allowed are %q", e.Kind, e.Name, e.Allowed)
}

// Rank is the priority of a request when load is shed: requests of lower rank are shed first. The class is in the top
// 8 bits, a hash of the root request's ID in the 24 bits below. All hops of one root request use the same rank, so that
// all hops shed the same requests.
type Rank uint32

const rankHashBits = 24

// MaxRank is the highest rank: NewRank returns no rank above it.
const MaxRank = Rank(ClassCritical)<<rankHashBits | (1<<rankHashBits - 1)

// NewRank returns the rank of a root request of class c with the given ID.
func NewRank(c Class, rootID string) Rank {
	h := fnv.New64a()
	_, _ = h.Write([]byte(rootID)) // a hash's Write never fails
	return Rank(c)<<rankHashBits | Rank(mix64(h.Sum64())>>(64-rankHashBits))
}

const (
	progressBits = 2
	// MaxProgress is the highest progress that a rank tells apart.
	MaxProgress = 1<<progressBits - 1
)

// WithProgress returns the rank of a call of a request that has completed a number of calls before. Within a class, calls
// of requests that have completed more rank higher: if one of these is refused, more work is lost.
func (r Rank) WithProgress(completed int) Rank {
	const hash = 1<<rankHashBits - 1
	progress := Rank(min(max(completed, 0), MaxProgress)) << (rankHashBits - progressBits)
	return r&^hash | progress | r&hash>>progressBits
}

// mix64 is the finalizer of MurmurHash3. FNV alone leaves the top bits of short, similar IDs correlated.
func mix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// Class returns the importance class of the rank.
func (r Rank) Class() Class {
	return Class(r >> rankHashBits)
}

// LowestRank returns the lowest rank of a class; every rank of a lower class is below it.
func LowestRank(c Class) Rank {
	return Rank(c) << rankHashBits
}
