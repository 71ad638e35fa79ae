// Package retry limits how often one request is retried across its whole call chain.
//
// The root request starts with a fixed number of retries. Every hop holds its part in a Budget, grants most of it to
// each child call and gets the unused part back with the answer. Retries that were granted to a call whose answer
// is lost are not recovered. Per service, a RatioLimiter also keeps retries below a ratio of the recent first attempts.
package retry

import "sync"

// DefaultBudget is the number of retries that a root request starts with, as in the design's preset "ordinary".
const DefaultBudget = 3

// Budget is the part of a root request's retries that one hop holds. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	remaining int // retries
	granted   int // retries granted to child calls and not returned
}

// NewBudget returns a Budget of n retries. A negative n counts as zero.
func NewBudget(n int) *Budget {
	return &Budget{remaining: max(n, 0)}
}

// Grant takes the part for a child call out of the budget and returns its number of retries: all but one if two or more
// remain, otherwise all.
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

// Return puts the unused part of a grant back. It never puts back more than was granted and not yet returned, so that
// a faulty peer can't create retries. A negative number counts as zero.
func (b *Budget) Return(unused int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := min(max(unused, 0), b.granted)
	b.granted -= part
	b.remaining += part
}

// Spend takes one retry for this hop and reports whether one remained.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining == 0 {
		return false
	}
	b.remaining--
	return true
}

// Remaining returns the number of retries in the budget.
func (b *Budget) Remaining() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining
}
