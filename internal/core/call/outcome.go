package call

import "fmt"

// Outcome is what a caller is told about its request.
type Outcome uint8

const (
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means that the whole answer was received.
	OutcomeAnswered
	// OutcomeNotRun means that the request is proved not to have run.
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
	ReasonNone           Reason = ""
	ReasonOverload       Reason = "overload"         // refused by admission, or below the cutoff rank
	ReasonLeaving        Reason = "leaving"          // the upstream is draining
	ReasonDeadline       Reason = "deadline"         // too little time left to start, or the deadline passed
	ReasonNoUpstream     Reason = "no-upstream"      // no upstream of the service is known or reachable
	ReasonUnreachable    Reason = "unreachable"      // no connection to the upstream could be opened
	ReasonWrongUpstream  Reason = "wrong-upstream"   // the call was meant for another service or incarnation
	ReasonTokenRequired  Reason = "token-required"   // a non-idempotent request came without a token
	ReasonTokenExpired   Reason = "token-expired"    // the token expired before it was spent
	ReasonTokenRefused   Reason = "token-refused"    // the token was refused earlier and can't be spent any more
	ReasonTokenMismatch  Reason = "token-mismatch"   // the token was spent for a different request
	ReasonTableFull      Reason = "token-table-full" // the upstream can't issue a token now
	ReasonQuarantined    Reason = "quarantined"      // the request is convicted of crashing backend servers
	ReasonLinkBudget     Reason = "link-budget"      // only a remote region can serve, and the byte budget is spent
	ReasonDepth          Reason = "depth"            // the call chain is deeper than MaxDepth
	ReasonCanceled       Reason = "canceled"         // the caller went away before the request was dispatched
	ReasonParentGone     Reason = "parent-gone"      // the request that a child call belongs to isn't running any more
	ReasonThrottled      Reason = "throttled"        // most requests of the route fail deep down, and this one was not started
	ReasonBackendRefused Reason = "backend-refused"  // the connection to the backend server could not be opened
)

// Reasons that accompany OutcomeUnknown.
const (
	ReasonConnectionLost  Reason = "connection-lost"  // the connection broke after the request was sent
	ReasonTimeout         Reason = "timeout"          // no answer within the deadline
	ReasonIncarnationGone Reason = "incarnation-gone" // the upstream that the token binds to has restarted
	ReasonAnswerNotKept   Reason = "answer-not-kept"  // the request ran, but its answer was too large to keep
	ReasonStillRunning    Reason = "still-running"    // the request is running and its answer isn't there yet
	ReasonBackendCrashed  Reason = "backend-crashed"  // the backend server died while it ran the request
	ReasonTruncated       Reason = "answer-truncated" // the answer broke off before its end
	ReasonAnswerMismatch  Reason = "answer-mismatch"  // the backend server's answer belongs to another request, or isn't genuine
)
