// Package retry bounds how often one request is repeated across its whole call chain.
//
// The root request starts with a fixed number of retry units. Every hop holds its part in an Account, lends most of it
// to each child call and gets the unspent part back with the response. Units that were lent to a call whose response is
// lost stay lost. Per service, a Ratio also keeps retries below a share of the recent first attempts.
package retry

import "sync"

// DefaultBudget is the number of retries that a root request starts with, as in the preset "ordinary" of the design.
const DefaultBudget = 3

// Account is the part of a root request's retries that one hop holds, in units of one retry. It is safe for concurrent
// use.
type Account struct {
	mu   sync.Mutex
	left int
	lent int
}

// NewAccount returns an account with n units. A negative n counts as zero.
func NewAccount(n int) *Account {
	return &Account{left: max(n, 0)}
}

// Grant takes the part that is lent to a child call out of the account and returns it: all units but one when two or
// more are left, otherwise all.
func (a *Account) Grant() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	part := a.left
	if a.left >= 2 {
		part = a.left - 1
	}
	a.left -= part
	a.lent += part
	return part
}

// Return puts the unspent part of a grant back. It never puts back more than was lent, so that a faulty peer can't
// create units.
func (a *Account) Return(unspent int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	part := min(max(unspent, 0), a.lent)
	a.lent -= part
	a.left += part
}

// Spend takes one unit for a retry by this hop and reports whether there was one.
func (a *Account) Spend() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.left == 0 {
		return false
	}
	a.left--
	return true
}

// Left returns the number of units in the account.
func (a *Account) Left() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left
}
