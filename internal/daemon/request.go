package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/core/retry"
	"guavapoint.example/guavapoint/internal/telemetry"
)

// Bounds of the Guavapoint-Timeout header, inclusive.
const (
	minTimeout = time.Millisecond
	maxTimeout = 10 * time.Minute
)

// requestError reports a request that can't be accepted, such as a malformed one or one that names an unknown
// operation. The caller receives its HTTP status, code and message.
type requestError struct {
	status  int
	code    string
	message string
}

// Error implements error.
func (e *requestError) Error() string {
	return e.code + ": " + e.message
}

// badRequest returns a requestError with the status 400.
func badRequest(code, format string, args ...any) *requestError {
	return &requestError{http.StatusBadRequest, code, fmt.Sprintf(format, args...)}
}

// request is an accepted call from a caller or from the backend server beside this daemon.
type request struct {
	service     string
	op          config.Operation
	path        string // path and query for the backend server
	rootID      string
	rank        call.Rank
	depth       int
	deadline    time.Time
	retryBudget *retry.Budget
	parent      *hop        // the request that this call is a child of; nil for a root request
	token       *call.Token // nil if the caller sent none and this daemon minted none
	tokenRaw    string
	minted      bool // this daemon made the token, see mint
	span        *telemetry.Span
	waited      time.Duration // time spent waiting for upstreams and in backoffs
	// routed marks a request that arrived through the ingress and was matched by a route. Its caller holds no token;
	// for a non-idempotent one this daemon mints a token.
	routed bool
	// attempts counts how often the request was sent to an upstream, over all upstreams.
	attempts      int
	retried       bool          // the last attempt is a retry: an earlier one reached a backend server
	callerTimeout time.Duration // timeout that the caller of a routed request gave; 0 if none
	origin        callLineage   // of a routed request
	// maxUpstreams is the number of different upstreams that a routed request may be sent to.
	maxUpstreams int
}

// recordCutoff records an upstream's cutoff in the parent request, if there is one.
func (r *request) recordCutoff(c call.Rank) {
	if r.parent != nil {
		r.parent.recordCutoff(c)
	}
}

// isCall reports whether the request is a call of the backend server beside this daemon, as far as that is known.
func (r *request) isCall() bool {
	return r.parent != nil || r.origin.isCall
}

// requiresToken reports whether the request may run only with a token: it is non-idempotent, or its caller sent one.
func (r *request) requiresToken() bool {
	return r.token != nil || !r.op.Idempotent
}

// parseRequest builds a request from a call's path and headers and from the configuration. The error is a *requestError
// or a *notRunError.
func (e *entry) parseRequest(now time.Time, r *http.Request) (*request, error) {
	service, path := splitCallPath(r)
	req := &request{service: service, path: path}
	_, doc := e.config.Current()
	if doc == nil {
		return nil, &notRunError{reason: call.ReasonNoUpstream, message: "this daemon has received no configuration yet"}
	}
	op, err := doc.MatchOperation(req.service, r.Method, req.path)
	if err != nil {
		return nil, &requestError{http.StatusNotFound, "unknown-operation", err.Error()}
	}
	req.op = op
	if err := parseToken(req, r.Header.Get(headerToken)); err != nil {
		return nil, err
	}
	timeout, err := parseTimeout(r.Header.Get(headerTimeout), doc.ActivePreset().DefaultTimeout)
	if err != nil {
		return nil, err
	}
	req.deadline = now.Add(timeout)
	if raw := r.Header.Get(headerContext); raw != "" {
		return req, e.inheritFromParent(req, raw)
	}
	return req, initRootRequest(req, now, doc, r.Header)
}

// callPrefix is the start of the path of every call. The name of the service follows it.
const callPrefix = "/call/"

// splitCallPath splits the URL of a call into the service, and the path and query for its backend server.
// Percent-encoding is left as received.
func splitCallPath(r *http.Request) (service, path string) {
	service, path, _ = strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), callPrefix), "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return service, path
}

// parseToken sets the token of the request. An empty text sets none.
func parseToken(req *request, raw string) error {
	if raw == "" {
		return nil
	}
	tok, err := call.ParseToken(raw)
	if err != nil {
		return badRequest("malformed-token", "%s can't be decoded", headerToken)
	}
	if tok.Service != req.service {
		return badRequest("wrong-token", "the token was issued for service %q, but the call is for service %q", tok.Service,
			req.service)
	}
	req.token, req.tokenRaw = &tok, raw
	return nil
}

// parseTimeout parses the Guavapoint-Timeout header. An empty text gives the default.
func parseTimeout(raw string, defaultTimeout time.Duration) (time.Duration, error) {
	if raw == "" {
		return defaultTimeout, nil
	}
	d, err := time.ParseDuration(raw)
	if err != nil {
		return 0, badRequest("malformed-timeout", "%s is %q, but must be a duration with a unit, such as \"1.5s\"",
			headerTimeout, raw)
	}
	if d < minTimeout || d > maxTimeout {
		return 0, badRequest("malformed-timeout", "%s is %s, but must be from %s to %s", headerTimeout, d, minTimeout,
			maxTimeout)
	}
	return d, nil
}

// initRootRequest sets the ID, rank and retry budget of a root request. A caller can lower the class of its request,
// but not raise it. The error is a *notRunError if the active preset refuses the class.
func initRootRequest(req *request, now time.Time, doc *config.Document, h http.Header) error {
	class := doc.EffectiveClass(now, req.service, req.op)
	if raw := h.Get(headerImportance); raw != "" {
		requested, err := call.ParseClass(raw)
		if err != nil {
			return badRequest("malformed-importance", "%v", err)
		}
		class = min(class, requested)
	}
	req.rootID = h.Get(headerRequestID)
	if req.rootID == "" {
		req.rootID = randomID()
	}
	if !call.ValidRootID(req.rootID) {
		return badRequest("malformed-request-id", "%s must consist of 1 to %d letters, digits, '.', '_' or '-'",
			headerRequestID, call.MaxRootIDLength)
	}
	preset := doc.ActivePreset()
	req.rank = call.NewRank(class, req.rootID)
	req.retryBudget = retry.NewBudget(preset.RetryBudget)
	if class < preset.LowestClass {
		return &notRunError{reason: call.ReasonOverload,
			message: fmt.Sprintf("the active preset refuses requests of class %s", class)}
	}
	return nil
}

// inheritFromParent sets the ID, rank, depth, deadline and retry budget of a child call from its parent, the request
// that the backend server is running. The deadline of a child call is never later than that of its parent.
func (e *entry) inheritFromParent(req *request, raw string) error {
	c, err := call.ParseContext(raw)
	if err != nil {
		return badRequest("malformed-context", "%s can't be decoded", headerContext)
	}
	parent := e.hops.find(c)
	if parent == nil {
		return &notRunError{reason: call.ReasonParentGone,
			message: "the request that this call belongs to is not running on this daemon"}
	}
	if parent.depth+1 >= call.MaxDepth {
		return &notRunError{reason: call.ReasonDepth,
			message: fmt.Sprintf("the call chain is limited to %d hops", call.MaxDepth)}
	}
	req.parent = parent
	req.rootID = parent.rootID
	req.rank = parent.rank
	req.depth = parent.depth + 1
	req.retryBudget = parent.retryBudget
	if parent.deadline.Before(req.deadline) {
		req.deadline = parent.deadline
	}
	return nil
}

// requestContext returns the context of a call. It ends at the deadline, when the caller disconnects, or when the
// parent request ends.
func requestContext(r *http.Request, req *request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	if req.parent == nil {
		return ctx, cancel
	}
	stop := context.AfterFunc(req.parent.ctx, cancel)
	return ctx, func() { stop(); cancel() }
}

// randomID returns 24 random hexadecimal digits.
func randomID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}
