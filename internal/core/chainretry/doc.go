// Package chainretry decides which calls of request chains are retried while a service deep in the call graph refuses a
// share of all calls, whatever its load.
//
// A chain of n calls completes only if every call does: where each call is refused with probability p, a chain without
// retries completes with probability (1-p)^n. Retries repair that, but they are bounded for the whole deployment: in a
// window, the retries to a service stay below a ratio of its requests. With a ratio of a fifth and p above a sixth, the
// bound doesn't suffice for all chains. A retry is then worth most where it completes a whole request:
//
//   - for the most important class first, see Priority.Class;
//   - within a class for the chain that has already completed the most calls, because it needs the fewest further
//     retries. Priority.Progress is the number of those calls.
//
// A Limiter holds one daemon's part of the deployment's bound for one service. Daemons don't communicate about it: each
// applies the ratio to the requests that it sends itself. A Limiter measures how many retries each priority asks for,
// keeps that many free of what it allows for lower ones, and spreads what it has over the next seconds, because nobody
// knows how long the refusals will last.
package chainretry
