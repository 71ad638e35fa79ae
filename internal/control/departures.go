package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavapoint.example/guavapoint/internal/core/announce"
	"guavapoint.example/guavapoint/internal/store"
)

// departureTTL is how long the store keeps a departure. A backend server that has left ends long before that, and so does
// the need to know of it.
const departureTTL = 10 * time.Minute

// DepartureLog keeps the departures of the backend server beside a daemon in the store, where a later daemon at the same
// address finds them. It is safe for concurrent use.
type DepartureLog struct {
	store   store.Store
	address string // peer address of the daemon
}

// NewDepartureLog returns the log of the daemon with a peer address.
func NewDepartureLog(s store.Store, address string) *DepartureLog {
	return &DepartureLog{store: s, address: address}
}

// departureValue is the stored form of a departure. Its fields are those of announce.Departure.
type departureValue struct {
	ID              string `json:"id"`
	StartUnixMilli  int64  `json:"start_unix_ms"`
	NoticeUnixMilli int64  `json:"notice_unix_ms"`
}

// Era returns the era of the store. After a restore from an older copy, what was saved before may be gone.
func (l *DepartureLog) Era() uint64 { return l.store.Era() }

// Save writes a departure to the store. Saving it again has no effect. Errors are those of store.Store.
func (l *DepartureLog) Save(ctx context.Context, d announce.Departure) error {
	data, err := json.Marshal(departureValue(d))
	if err != nil {
		return fmt.Errorf("encode the departure of %s: %w", d.ID, err)
	}
	lease, err := l.store.Grant(ctx, departureTTL)
	if err != nil {
		return fmt.Errorf("grant a lease for the departure of %s: %w", d.ID, err)
	}
	// IDs have any length and characters, keys don't.
	key := l.prefix() + strconv.FormatUint(xxhash.Sum64(data), 16)
	_, err = l.store.CompareAndSwap(ctx, key, 0, data, lease)
	if errors.Is(err, store.ErrConflict) {
		return nil // it was saved before
	}
	if err != nil {
		return fmt.Errorf("save the departure of %s: %w", d.ID, err)
	}
	return nil
}

// Load returns the departures in the store. It leaves out values that can't be decoded, and returns their number.
func (l *DepartureLog) Load(ctx context.Context) (found []announce.Departure, malformed int, err error) {
	kvs, _, err := l.store.List(ctx, l.prefix())
	if err != nil {
		return nil, 0, fmt.Errorf("list departures under %s: %w", l.prefix(), err)
	}
	for _, kv := range kvs {
		var v departureValue
		if json.Unmarshal(kv.Value, &v) != nil {
			malformed++
			continue
		}
		found = append(found, announce.Departure(v))
	}
	return found, malformed, nil
}

func (l *DepartureLog) prefix() string {
	return departuresPrefix + l.address + "/"
}
