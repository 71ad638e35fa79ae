// Package call defines the vocabulary that all parts of guavapoint share: importance classes and ranks, outcomes
// and their reasons, tokens that bind a non-idempotent request to one upstream, and the context that a request
// carries from hop to hop.
//
// The package decides nothing. All types are values and safe to copy.
package call
