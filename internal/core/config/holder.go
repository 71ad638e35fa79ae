package config

import (
	"errors"
	"fmt"
	"sync"
)

// Version identifies a configuration. Versions are ordered by epoch, then by the store's modification revision. The
// zero Version stands for no configuration.
type Version struct {
	Epoch, Revision uint64
}

// Less reports whether v comes before o.
func (v Version) Less(o Version) bool {
	if v.Epoch != o.Epoch {
		return v.Epoch < o.Epoch
	}
	return v.Revision < o.Revision
}

// IsZero reports whether v stands for no configuration.
func (v Version) IsZero() bool {
	return v == Version{}
}

// String returns the version as epoch.revision.
func (v Version) String() string {
	return fmt.Sprintf("%d.%d", v.Epoch, v.Revision)
}

// Errors of Holder.Offer.
var (
	// ErrStale reports a version lower than the one in effect, which is kept.
	ErrStale = errors.New("configuration version is below the one in effect")
	// ErrDifferentContent reports another document with the version in effect, recognized by its change ID. This happens
	// when the platform was restored and a revision was used twice within one epoch. The document in effect is kept.
	ErrDifferentContent = errors.New("configuration version in effect has another change id")
	// ErrEpochMismatch reports a document whose epoch differs from the epoch of its version.
	ErrEpochMismatch = errors.New("epoch of the document differs from the version")
	// ErrNoDocument reports a nil document.
	ErrNoDocument = errors.New("no configuration document")
)

// Holder holds the configuration in effect. Its version never decreases. It is safe for concurrent use.
type Holder struct {
	mu      sync.RWMutex // guards version and doc
	version Version
	doc     *Document
}

// NewHolder returns a Holder without a configuration.
func NewHolder() *Holder {
	return &Holder{}
}

// Offer puts a parsed document into effect if its version is higher than the one in effect, and then returns true. For
// the document in effect it returns false and no error. The errors are ErrStale, ErrDifferentContent, ErrEpochMismatch
// and ErrNoDocument; they leave the configuration in effect unchanged.
func (h *Holder) Offer(v Version, d *Document) (changed bool, err error) {
	if d == nil {
		return false, ErrNoDocument
	}
	if d.Epoch != v.Epoch {
		return false, ErrEpochMismatch
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case v.Less(h.version):
		return false, ErrStale
	case v == h.version && d.ChangeID != h.doc.ChangeID:
		return false, ErrDifferentContent
	case v == h.version:
		return false, nil
	}
	h.version, h.doc = v, d
	return true, nil
}

// Current returns the configuration in effect, or the zero Version and nil before the first document.
func (h *Holder) Current() (Version, *Document) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.version, h.doc
}
