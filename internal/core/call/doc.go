// Package call defines the types that all packages of guavapoint share: importance classes and ranks, outcomes
// and their reasons, tokens that bind a non-idempotent request to one upstream, and the context that a request
// carries from hop to hop.
//
// The package defines and encodes these values but makes no decisions. All types are safe to copy.
package call
