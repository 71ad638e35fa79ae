package call

import "fmt"

// Outcome is the result of a request that is reported to its caller.
type Outcome uint8

const (
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means that the request ran and its whole answer was received.
	OutcomeAnswered
	// OutcomeNotRun means that the request certainly did not run.
	OutcomeNotRun
)

// String returns the name used in the Guavapoint-Outcome header.
func (o Outcome) String() string {
	switch o {
	case OutcomeUnknown:
		return "unknown"
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not-run"
	default:
		return fmt.Sprintf("outcome(%d)", uint8(o))
	}
}

// Reason says why a request was not answered. The values are stable: they appear in headers, logs and metrics.
type Reason string

// Reasons that accompany OutcomeNotRun.
const (
	ReasonNone           Reason = ""                 // no reason, as for OutcomeAnswered
	ReasonOverload       Reason = "overload"         // refused by admission control, or below the cutoff rank
	ReasonLeaving        Reason = "leaving"          // the upstream is draining
	ReasonDeadline       Reason = "deadline"         // too little time was left to start, or the deadline passed
	ReasonNoUpstream     Reason = "no-upstream"      // no upstream of the service is known or reachable
	ReasonUnreachable    Reason = "unreachable"      // no connection to the upstream could be opened
	ReasonWrongUpstream  Reason = "wrong-upstream"   // the call was meant for another service or incarnation
	ReasonTokenRequired  Reason = "token-required"   // a non-idempotent request came without a token
	ReasonTokenExpired   Reason = "token-expired"    // the token expired before a request was run with it
	ReasonTokenRefused   Reason = "token-refused"    // the token was marked refused earlier and can't be used any more
	ReasonTokenMismatch  Reason = "token-mismatch"   // the token was already used for a different request
	ReasonTableFull      Reason = "token-table-full" // the upstream's token table has no room for another token
	ReasonQuarantined    Reason = "quarantined"      // the request's fingerprint is confirmed to crash backend servers
	ReasonLinkBudget     Reason = "link-budget"      // only another region can serve, and the link's byte budget is spent
	ReasonDepth          Reason = "depth"            // the call chain is deeper than MaxDepth
	ReasonCanceled       Reason = "canceled"         // the caller canceled, or sent only a part
	ReasonParentGone     Reason = "parent-gone"      // the request that a child call belongs to is no longer running
	ReasonThrottled      Reason = "throttled"        // most requests of the route fail deep in the call graph; not started
	ReasonRateLimit      Reason = "rate-limit"       // the rate that the backend server states is used up
	ReasonMemory         Reason = "memory"           // the requests in flight at a daemon hold too many bytes
	ReasonBackendRefused Reason = "backend-refused"  // no connection to the backend server, or it refused the request
)

// Reasons that accompany OutcomeUnknown.
const (
	ReasonConnectionLost  Reason = "connection-lost"  // the connection broke after the request was sent
	ReasonTimeout         Reason = "timeout"          // no answer within the deadline
	ReasonIncarnationGone Reason = "incarnation-gone" // the upstream that the token binds to has restarted
	ReasonAnswerNotKept   Reason = "answer-not-kept"  // the request ran, but its answer was too large to keep
	ReasonStillRunning    Reason = "still-running"    // the request is running and has no answer yet
	ReasonBackendCrashed  Reason = "backend-crashed"  // the backend server died while it ran the request
	ReasonTruncated       Reason = "answer-truncated" // the answer ended before it was complete
	ReasonAnswerMismatch  Reason = "answer-mismatch"  // the answer belongs to another request, is unsigned or is encoded
)
