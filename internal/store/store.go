// Package store defines the interface of the key-value store that keeps the data which must outlive a daemon. Package
// platform has the client that implements it.
package store

import (
	"context"
	"errors"
	"time"
)

// LeaseID identifies a lease. Zero means no lease.
type LeaseID int64

// KV is a key with its value.
type KV struct {
	Key   string
	Value []byte
	// Revision is the store's revision at which the key was last modified.
	Revision int64
	// CreateRevision is the revision at which the key was created.
	CreateRevision int64
	// Lease is the lease that the key is attached to, zero if none.
	Lease LeaseID
	// Deleted marks the deletion of the key; Revision is that of the deletion. It is set only in what Watch delivers.
	Deleted bool
}

// Errors of a Store. They distinguish a write that did not take effect from one that may have.
var (
	// ErrNotFound reports that the key doesn't exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict reports that the key's revision is not the expected one. The write did not take effect.
	ErrConflict = errors.New("key was modified by another writer")
	// ErrUnavailable reports that the call did not take effect, for example because no endpoint could be reached.
	ErrUnavailable = errors.New("platform unavailable, the call did not take effect")
	// ErrUnknown reports that the write may or may not have taken effect, or may still take effect later.
	ErrUnknown = errors.New("outcome unknown, the write may have taken effect")
	// ErrLeaseLost reports that the lease has expired. A write attached to it did not take effect.
	ErrLeaseLost = errors.New("lease expired")
	// ErrCompacted reports that the store no longer keeps the requested revisions.
	ErrCompacted = errors.New("revision is no longer kept")
)

// Store is the platform's key-value service. Implementations are safe for concurrent use. Errors match one of the
// errors above with errors.Is.
type Store interface {
	// Get returns a key, or ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (KV, error)
	// List returns all keys with a prefix and the store's revision at that time.
	List(ctx context.Context, prefix string) ([]KV, int64, error)
	// ListStale is List without the revision, and its result may be seconds old. It costs the service a tenth.
	ListStale(ctx context.Context, prefix string) ([]KV, error)
	// CompareAndSwap writes a key if its revision is rev, and returns the new revision. A rev of 0 means that the key
	// must not exist. A lease other than zero is attached to the key. Errors are ErrConflict, ErrLeaseLost,
	// ErrUnavailable and ErrUnknown.
	CompareAndSwap(ctx context.Context, key string, rev int64, value []byte, lease LeaseID) (int64, error)
	// Delete removes a key if it exists.
	Delete(ctx context.Context, key string) error
	// Grant creates a lease that expires after ttl unless it is renewed. If the response is lost, the lease expires
	// unused.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrLeaseLost.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Watch calls f with the changes of all keys with a prefix, starting at revision fromRev, or from now on
	// if fromRev is 0. It returns the error of f, the context's error, ErrCompacted, or ErrUnavailable when the stream
	// ends.
	Watch(ctx context.Context, prefix string, fromRev int64, f func([]KV) error) error
	// Era returns how often the store was restored from an older copy, as far as its responses have shown; 0 before the
	// first response that says so. What was written in an earlier era may be gone, and its revisions and leases may be
	// given out again.
	Era() uint64
}
