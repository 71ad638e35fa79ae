// Package outcome implements the token table of one incarnation of a daemon. The table ensures that a non-idempotent
// request runs at most once, and stores its outcome for callers that resend the request or ask for the outcome.
//
// A token moves through these states:
//
//	issued -> running -> finished
//	   |         |
//	   +---------+----> refused
//
// An issued token that is not used in time becomes expired. Only Begin moves a token to running, and only from issued.
// A token that the table doesn't hold is never run. So each token runs at most once, however often it is sent, and a
// token of an earlier incarnation never runs.
//
// The table is bounded by the number of tokens and by the size of the kept answers. When it is full of live tokens, it
// issues no more tokens; it never removes a live token. A token is live until it expires, while it runs, and for
// Config.Retention after it finished. A token that expired before use, or was refused, is kept for Config.Retention
// after its expiry (after its refusal, if that is later). It is removed earlier if the table is full and a new token
// needs its place. This is safe, because a token that is not in the table can't run.
package outcome
