package cli

import "guavapoint.example/guavapoint/internal/core/call"

// Whether the request that a code describes may have run.
const (
	ranNo = "no"
	// ranNoUnlessEarlier is for refusals by a daemon that can't know the outcome of an earlier call with the same
	// token.
	ranNoUnlessEarlier = "no; if the outcome is unknown, an earlier call with the same token may have run"
	ranYes             = "yes"
	ranMaybe           = "maybe"
	// ranNotApplicable is for log events that don't concern a single request.
	ranNotApplicable = "not about a single request"
)

// codeText explains a reason code or a log event.
type codeText struct {
	meaning string
	ran     string // whether the request may have run; empty for events, see ranByEvent
	action  string // what the operator or the caller should do
}

// reasonTexts explains every reason code of package call. A test compares its keys with the constants.
var reasonTexts = map[call.Reason]codeText{
	call.ReasonOverload: {
		"The request was shed: there was no capacity for requests of its rank, or the active preset refuses its class.",
		ranNoUnlessEarlier, "Check the demand, and the limit, waiting and cutoff of the upstreams with guavapoint state. If the overload lasts, switch to preset peak. " +
			"The caller can resend after a wait; with the same Guavapoint-Request-Id, the request keeps its rank.",
	},
	call.ReasonRateLimit: {
		"The backend server states in its responses how many requests a second it takes, and that rate was used up.",
		ranNo, "See event 5011 and guavapoint_rate_limit, and find out why the backend server is short of capacity. " +
			"The caller can resend after a wait; with the same Guavapoint-Request-Id, the request keeps its rank.",
	},
	call.ReasonMemory: {
		"What clients make a daemon hold (connections, requests and answers in flight) takes as many bytes as its memory allows.",
		ranNoUnlessEarlier, "Look for a backend server or a caller that sends much or slowly. Raise memory_mb only if the VM has the memory. The caller can resend after a wait.",
	},
	call.ReasonLeaving: {
		"The daemon is shutting down gracefully and accepts no new work.",
		ranNoUnlessEarlier, "Nothing; other upstreams are tried within the retry bound. A caller that uses this daemon as its entry resends through another one.",
	},
	call.ReasonDeadline: {
		"Too little of the caller's time was left to start the request.",
		ranNo, "Compare the caller's Guavapoint-Timeout with the service's latency (guavapoint_call_duration_seconds), and check for queues (guavapoint_waiting).",
	},
	call.ReasonNoUpstream: {
		"This daemon knows no usable upstream of the service, or has no configuration yet.",
		ranNoUnlessEarlier, "Check with guavapoint members that daemons of the service are serving, and with guavapoint state that the configuration version isn't 0.0 (event 4005).",
	},
	call.ReasonUnreachable: {
		"No connection to the upstream's daemon could be opened. After one failure, the upstream is not chosen for a time.",
		ranNo, "Nothing for a single upstream; others are tried within the retry bound. If it happens repeatedly, check that VM and the network to it (event 6001).",
	},
	call.ReasonWrongUpstream: {
		"The call reached a daemon of another service, or another incarnation (start) of the daemon than the one it was sent to.",
		ranNo, "Nothing; this is normal for some seconds after a VM was replaced at the same address. If it lasts, compare guavapoint members on several daemons.",
	},
	call.ReasonTokenRequired: {
		"A non-idempotent request came without a token; the response carries a new one.",
		ranNo, "Nothing. The caller sends the request again with the Guavapoint-Token of the response; the client library does so automatically.",
	},
	call.ReasonTokenExpired: {
		"The token expired, 2 minutes after it was issued, before a request was run with it.",
		ranNo, "Nothing. The caller requests a new token. If it happens repeatedly, the caller waits too long between its two calls.",
	},
	call.ReasonTokenRefused: {
		"The token was marked refused earlier: its request was refused, or its outcome was queried before the token was used.",
		ranNo, "Nothing. The caller requests a new token.",
	},
	call.ReasonTokenMismatch: {
		"The token was already used for a different request, which may have run; this request did not.",
		ranNo, "Correct the caller: one token for each request, and a resend with the same method, path and body.",
	},
	call.ReasonTableFull: {
		"The token table of the upstream is full. Existing tokens remain valid.",
		ranNo, "See event 4008: look for a caller that requests tokens and doesn't use them.",
	},
	call.ReasonQuarantined: {
		"This request, or one with the same service, method, path and beginning of the body, crashed a backend server while it ran alone.",
		ranNo, "Give the request to the developers of the backend server. After the fault is corrected, use guavapoint quarantine lift.",
	},
	call.ReasonLinkBudget: {
		"Only another region can serve the request, and this daemon's byte budget for the link between regions is used up.",
		ranNo, "Check why no daemon in this region can serve the request (guavapoint members). Raise link_bytes_per_second only if the link has spare capacity.",
	},
	call.ReasonDepth: {
		"The chain of calls is deeper than 24 hops.",
		ranNoUnlessEarlier, "Look for a cycle between services. The calls above this one in the chain did run.",
	},
	call.ReasonCanceled: {
		"The caller canceled the request, or sent only a part of it. An upload that is sent on while it arrives may have run in part.",
		ranNoUnlessEarlier, "Nothing. If it is frequent, the callers' timeouts are shorter than the service's latency.",
	},
	call.ReasonParentGone: {
		"A child call names a parent request that is no longer running on this daemon.",
		ranNoUnlessEarlier, "Check that the backend server copies Guavapoint-Context from the request that it is serving, calls its own daemon, and makes no calls after it has responded.",
	},
	call.ReasonBackendRefused: {
		"The upstream's daemon could not open a connection to its backend server, or the backend server stated that it did not run the request.",
		ranNo, "Check that the backend server runs, that backend.url in the daemon's settings is its address, and whether it sheds load itself.",
	},
	call.ReasonThrottled: {
		"Most requests of the route currently fail further down the call graph, so the entry daemon admits only a fraction of them.",
		ranNo, "Wait for the time in Retry-After. Operators: find the service that sheds requests (event 4001) and add capacity there.",
	},
	call.ReasonAnswerMismatch: {
		"The backend server's answer has no signature, belongs to another request, or is encoded.",
		ranMaybe, "Look for event 5010 in the log of the upstream's daemon, and check the backend server.",
	},
	call.ReasonConnectionLost: {
		"The connection broke after the request was sent.",
		ranMaybe, "Idempotent requests are retried by guavapoint or the caller. For others, the caller resends with the same token; " +
			"if the outcome stays unknown, look for the request id in the backend server's own records before anything is repeated by hand.",
	},
	call.ReasonTimeout: {
		"The deadline passed after the request was sent.",
		ranMaybe, "A non-idempotent request continues to run: the caller resends with the same token to get its outcome. " +
			"Compare the caller's timeout with the service's latency.",
	},
	call.ReasonIncarnationGone: {
		"The daemon that the token is bound to has restarted, is gone, or no longer knows the token. The request is never run on another daemon.",
		ranMaybe, "Look for the request id in the backend server's own records before the request is repeated by hand.",
	},
	call.ReasonAnswerNotKept: {
		"The request ran to completion, but its response was larger than 64 KB and was not kept for a resend.",
		ranYes, "Read the result from the service itself. Don't repeat the request.",
	},
	call.ReasonStillRunning: {
		"The request is still running, and its response is not available yet.",
		ranYes, "Nothing. The caller resends with the same token to get the response.",
	},
	call.ReasonBackendCrashed: {
		"The backend server crashed while it ran the request.",
		ranMaybe, "Check the backend server's log, event 5001 in the log of its daemon, and the request's effect in the backend server's own records.",
	},
	call.ReasonTruncated: {
		"The response ended before it was complete.",
		ranMaybe, "Check the backend server and the network (event 4010), and the request's effect if it is not idempotent.",
	},
}

// ranByEvent says whether the requests that a log event concerns may have run. Other events have no entry.
// The keys are event numbers.
var ranByEvent = map[int]string{
	1004: "requests in flight run to completion; new ones don't run",
	1006: "maybe: the interrupted requests started",
	4005: ranNo,
	4006: "maybe: see the reason of the call",
	4007: ranNo,
	4008: ranNo,
	4009: ranMaybe,
	4010: "maybe: the request started, its response is incomplete",
	4011: "see the fields outcome and reason",
	4013: ranNo,
	4014: ranNo,
	4021: "no, unless the stage is writing: then it ran, and its caller read nothing of the answer",
	5001: "maybe: the requests in flight started",
	5003: "maybe: they were in flight at the crash",
	5004: "maybe: it was running at the crash; later ones don't run",
	5005: ranYes,
	5007: ranNo,
	6002: "maybe: the outcomes of the outstanding calls are queried",
}
