// Package retry bounds how often one request is repeated across its whole call chain.
//
// The root request starts with a fixed number of retry units. Every hop holds its part in an Budget, lends most of it
// to each child call and gets the unspent part back with the response. Units that were lent to a call whose response is
// lost stay lost. Per service, a RatioLimiter also keeps retries below a share of the recent first attempts.
package retry

import "sync"

// DefaultBudget is the number of retries that a root request starts with, as in the preset "ordinary" of the design.
const DefaultBudget = 3

// Budget is the part of a root request's retries that one hop holds, in units of one retry. It is safe for concurrent
// use.
type Budget struct {
	mu        sync.Mutex
	remaining int
	granted   int
}

// NewBudget returns an account with n units. A negative n counts as zero.
func NewBudget(n int) *Budget {
	return &Budget{remaining: max(n, 0)}
}

// Grant takes the part that is lent to a child call out of the account and returns it: all units but one when two or
// more are left, otherwise all.
func (b *Budget) Grant() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := b.remaining
	if b.remaining >= 2 {
		part = b.remaining - 1
	}
	b.remaining -= part
	b.granted += part
	return part
}

// Return puts the unspent part of a grant back. It never puts back more than was lent, so that a faulty peer can't
// create units.
func (b *Budget) Return(unspent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := min(max(unspent, 0), b.granted)
	b.granted -= part
	b.remaining += part
}

// Spend takes one unit for a retry by this hop and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining == 0 {
		return false
	}
	b.remaining--
	return true
}

// Remaining returns the number of units in the account.
func (b *Budget) Remaining() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining
}
