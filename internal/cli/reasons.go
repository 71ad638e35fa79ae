package cli

import "guavapoint.example/guavapoint/internal/core/call"

// Whether the request that a code is about can have run.
const (
	ranNo = "no"
	// ranNoUnlessEarlier is for refusals by a daemon that can't know what became of an earlier call with the same token.
	ranNoUnlessEarlier = "no; if the outcome is unknown, an earlier call with the same token may have run"
	ranYes             = "yes"
	ranMaybe           = "maybe"
	// ranNotApplicable is for log events that are not about a single request.
	ranNotApplicable = "not about a single request"
)

// codeText explains a reason code.
type codeText struct {
	meaning, ran, action string
}

// reasonTexts explains every reason code of package call. A test compares them with the constants.
var reasonTexts = map[call.Reason]codeText{
	call.ReasonOverload: {
		"The request was shed: it ranks below those that the capacity suffices for, or the active preset refuses its class.",
		ranNoUnlessEarlier, "Check demand, and limit, waiting and cutoff of the upstreams with guavapoint state. If it lasts, switch to preset peak. " +
			"The caller can resend after a wait; the same Guavapoint-Request-Id keeps its rank.",
	},
	call.ReasonLeaving: {
		"The daemon is shutting down gracefully and takes no new work.",
		ranNoUnlessEarlier, "Nothing; other upstreams are tried within the retry bound. A caller that uses this daemon as its entry resends through another one.",
	},
	call.ReasonDeadline: {
		"Too little of the caller's time was left to start the request.",
		ranNo, "Compare the caller's Guavapoint-Timeout with the service's latency (guavapoint_call_duration_seconds), and check for queues (guavapoint_waiting).",
	},
	call.ReasonNoUpstream: {
		"No upstream of the service is known and usable, or this daemon has no configuration yet.",
		ranNoUnlessEarlier, "Check with guavapoint members that daemons of the service are serving, and with guavapoint state that the configuration version isn't 0.0 (event 4005).",
	},
	call.ReasonUnreachable: {
		"No connection to the upstream's daemon could be opened. The upstream is left out for a time after one failure.",
		ranNo, "Nothing for a single upstream; others are tried within the retry bound. If it repeats, check that VM and the network to it (event 6001).",
	},
	call.ReasonWrongUpstream: {
		"The call reached a daemon of another service, or another start of the daemon than the one it was meant for.",
		ranNo, "Nothing; it occurs for seconds after a VM was replaced at the same address. If it lasts, compare guavapoint members on several daemons.",
	},
	call.ReasonTokenRequired: {
		"A non-idempotent request came without a token; the response carries a new one.",
		ranNo, "Nothing. The caller sends the request again with the Guavapoint-Token of the response; the library does so by itself.",
	},
	call.ReasonTokenExpired: {
		"The token expired, 2 minutes after it was issued, before the request was run with it.",
		ranNo, "Nothing. The caller requests a new token. If it repeats, the caller waits too long between its two calls.",
	},
	call.ReasonTokenRefused: {
		"The token was marked refused earlier: its request was refused, or its outcome was asked for before it was used.",
		ranNo, "Nothing. The caller requests a new token.",
	},
	call.ReasonTokenMismatch: {
		"The token was already used for a different request, which may have run; this request did not.",
		ranNo, "Correct the caller: one token for each request, and a resend with the same method, path and body.",
	},
	call.ReasonTableFull: {
		"The upstream has no room for another token. Existing tokens stay valid.",
		ranNo, "See event 4008: look for a caller that requests tokens and doesn't use them.",
	},
	call.ReasonQuarantined: {
		"This request, or one with the same service, method, path and start of the body, crashed a backend server while it ran alone.",
		ranNo, "Give the request to the developers of the backend server. After the fault is corrected, use guavapoint quarantine lift.",
	},
	call.ReasonLinkBudget: {
		"Only another region can serve the request, and this daemon's byte budget on the link between regions is spent.",
		ranNo, "Check why the own region can't serve the service (guavapoint members). Raise link_bytes_per_second only if the link has room.",
	},
	call.ReasonDepth: {
		"The chain of calls is deeper than 24 hops.",
		ranNoUnlessEarlier, "Look for a cycle between services. The calls above this one in the chain did run.",
	},
	call.ReasonCanceled: {
		"The caller went away, or didn't send its whole request, before the request was dispatched.",
		ranNoUnlessEarlier, "Nothing. If it is frequent, callers wait for less time than the service takes.",
	},
	call.ReasonParentGone: {
		"A child call names a request that isn't running on this daemon any more.",
		ranNoUnlessEarlier, "Check that the backend server copies Guavapoint-Context from the request that it is serving, calls its own daemon, and makes no calls after it has responded.",
	},
	call.ReasonBackendRefused: {
		"The upstream's daemon could not open a connection to its backend server, or the backend server stated that it did not run the request.",
		ranNo, "Check that the backend server runs, that backend.url in the daemon's settings names it, and whether it sheds load itself.",
	},
	call.ReasonThrottled: {
		"Most requests of the route fail deep in the call graph at present, so the entry starts only a part of them.",
		ranNo, "Wait for the time in Retry-After. Operators: find the service that sheds (event 4001) and add capacity there.",
	},
	call.ReasonAnswerMismatch: {
		"The backend server's answer has no signature, belongs to another request, or is encoded.",
		ranMaybe, "Look for event 5010 at the upstream's daemon, and at the backend server.",
	},
	call.ReasonConnectionLost: {
		"The connection broke after the request was sent.",
		ranMaybe, "Idempotent requests are repeated by guavapoint or the caller. For others, the caller resends with the same token; " +
			"if the outcome stays unknown, look for the request id in the backend server's own records before anything is repeated by hand.",
	},
	call.ReasonTimeout: {
		"The deadline passed after the request was sent.",
		ranMaybe, "A non-idempotent request runs on: the caller resends with the same token to get its outcome. " +
			"Compare the caller's timeout with the service's latency.",
	},
	call.ReasonIncarnationGone: {
		"The daemon start to which the token is bound is gone or doesn't know the token any more. The request is never run elsewhere.",
		ranMaybe, "Look for the request id in the backend server's own records before the request is repeated by hand.",
	},
	call.ReasonAnswerNotKept: {
		"The request ran to its end, but its response was above 64 KB and was not kept for the resend.",
		ranYes, "Read the result from the service itself. Don't repeat the request.",
	},
	call.ReasonStillRunning: {
		"The request is running, and its response isn't there yet.",
		ranYes, "Nothing. The caller resends with the same token to get the response.",
	},
	call.ReasonBackendCrashed: {
		"The backend server died while it ran the request.",
		ranMaybe, "Check the backend server's log (event 5001), and the request's effect in the backend server's own records.",
	},
	call.ReasonTruncated: {
		"The response broke off before its end.",
		ranMaybe, "Check the backend server and the network (event 4010), and the request's effect if it is not idempotent.",
	},
}

// ranByEvent says for the log events that are about single requests whether these can have run.
var ranByEvent = map[int]string{
	1004: "requests in flight run to their end; new ones don't run",
	1006: "maybe: the interrupted requests started",
	4005: ranNo,
	4006: "maybe: the reason of the call tells",
	4007: ranNo,
	4008: ranNo,
	4009: ranMaybe,
	4010: "maybe: the request started, its response is incomplete",
	4011: "the fields outcome and reason tell",
	4013: ranNo,
	4014: ranNo,
	5001: "maybe: the requests in flight started",
	5003: "maybe: they were in flight at the crash",
	5004: "maybe: it was running at the crash; later ones don't run",
	5005: ranYes,
	5007: ranNo,
	6002: "maybe: the outcomes of the calls outstanding are asked for",
}
