// Package outcome holds the token table by which one incarnation of a daemon runs a non-idempotent request at most
// once and answers later questions about it.
//
// A token moves through these states:
//
//	issued -> running -> finished
//	   |         |
//	   +---------+----> refused
//
// Only Begin moves a token to running, and only from issued. A token that the table doesn't hold is never run. So each
// token runs at most once, however often it is sent, and a token of an earlier incarnation never runs.
//
// The table is bounded by the number of tokens and by the size of the kept answers. A full table issues no tokens; it
// forgets no token that is live. A token is live until it expires, while it runs, and for Config.Retention after it
// finished. A token that expired unspent, or was refused, is kept for Config.Retention after its expiry while there is
// room, and is forgotten earlier when a new token needs its place. To forget it is safe, because it can't run.
package outcome
