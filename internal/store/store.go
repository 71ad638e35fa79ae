// Package store defines the key-value store that keeps what must outlast a daemon. Package platform has the client
// for it.
package store

import (
	"context"
	"errors"
	"time"
)

// LeaseID identifies a lease; zero stands for none.
type LeaseID int64

// KV is a key with its value.
type KV struct {
	Key   string
	Value []byte
	// Revision is the store's revision at which the key was last modified.
	Revision int64
	// CreateRevision is the revision at which the key was created.
	CreateRevision int64
	Lease          LeaseID
	// Deleted is set in watches only; Revision is then that of the deletion.
	Deleted bool
}

// Errors of a Store. They tell whether a write took effect.
var (
	// ErrNotFound reports that the key doesn't exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict reports that the key has another revision than expected. The write did not take effect.
	ErrConflict = errors.New("key was modified by another writer")
	// ErrUnavailable reports that the call did not take effect, for example because no endpoint could be reached.
	ErrUnavailable = errors.New("platform unavailable, the call did not take effect")
	// ErrUnknown reports that the write may or may not have taken effect, or may still do so.
	ErrUnknown = errors.New("outcome unknown, the write may have taken effect")
	// ErrLeaseLost reports that the lease has expired. A write under it did not take effect.
	ErrLeaseLost = errors.New("lease expired")
	// ErrCompacted reports that the revisions asked for are no longer kept.
	ErrCompacted = errors.New("revision is no longer kept")
)

// Store is the platform's key-value service. Implementations are safe for concurrent use. Errors match one of the
// errors above with errors.Is.
type Store interface {
	// Get returns a key, or ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (KV, error)
	// List returns all keys with a prefix and the store's revision at that time.
	List(ctx context.Context, prefix string) ([]KV, int64, error)
	// ListStale is List for content that may be seconds old. It costs the service a tenth.
	ListStale(ctx context.Context, prefix string) ([]KV, error)
	// CompareAndSwap writes a key if its revision is rev, where 0 stands for a key that doesn't exist, and returns
	// the new revision. Errors are ErrConflict, ErrLeaseLost, ErrUnavailable and ErrUnknown.
	CompareAndSwap(ctx context.Context, key string, rev int64, value []byte, lease LeaseID) (int64, error)
	// Delete removes a key if it exists.
	Delete(ctx context.Context, key string) error
	// Grant creates a lease. A lease whose answer is lost expires unused.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrLeaseLost.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Watch calls f with the changes of all keys with a prefix, from fromRev on, or from now on if it is 0. It
	// returns the error of f, the context's, ErrCompacted, or ErrUnavailable when the stream ends.
	Watch(ctx context.Context, prefix string, fromRev int64, f func([]KV) error) error
}
