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

// Limits of the Guavapoint-Timeout header.
const (
	minTimeout = time.Millisecond
	maxTimeout = 10 * time.Minute
)

// requestError is a request that can't be accepted as it is. It is reported to the caller with its status and code.
type requestError struct {
	status  int
	code    string
	message string
}

// Error implements error.
func (e *requestError) Error() string {
	return e.code + ": " + e.message
}

func badRequest(code, format string, args ...any) *requestError {
	return &requestError{http.StatusBadRequest, code, fmt.Sprintf(format, args...)}
}

// request is an accepted call of a caller or of the own backend server.
type request struct {
	service     string
	op          config.Operation
	path        string // of the backend server, with the query
	rootID      string
	rank        call.Rank
	depth       int
	deadline    time.Time
	retryBudget *retry.Budget
	parent      *hop        // nil for a root request
	token       *call.Token // nil without one
	tokenRaw    string
	minted      bool // the token was made by this daemon
	span        *telemetry.Span
	waited      time.Duration // for upstreams and in backoffs
	// routed marks a request that came by a route. Its caller holds no token; the entry binds it.
	routed bool
	// attempts counts the upstreams that the request was sent to.
	attempts      int
	callerTimeout time.Duration // how long the caller of a routed request says that it waits
}

// meetCutoff tells the parent request, if there is one, which cutoff a child call has met.
func (r *request) recordCutoff(c call.Rank) {
	if r.parent != nil {
		r.parent.recordCutoff(c)
	}
}

// bound reports whether the request may only run under a token.
func (r *request) requiresToken() bool {
	return r.token != nil || !r.op.Idempotent
}

// parseRequest checks a call's headers against the configuration. The error is a *requestError or a *notRunError.
func (e *entry) parseRequest(now time.Time, r *http.Request) (*request, error) {
	service, path := splitCallPath(r)
	req := &request{service: service, path: path}
	_, doc := e.config.Current()
	if doc == nil {
		return nil, &notRunError{reason: call.ReasonNoUpstream, message: "no configuration has arrived yet"}
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

// callPrefix begins the path of every call; the service's name follows.
const callPrefix = "/call/"

// splitCallPath returns the service, and the path and query for its backend server, with the escapes as they came.
func splitCallPath(r *http.Request) (service, path string) {
	service, path, _ = strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), callPrefix), "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return service, path
}

func parseToken(req *request, raw string) error {
	if raw == "" {
		return nil
	}
	tok, err := call.ParseToken(raw)
	if err != nil {
		return badRequest("malformed-token", "%s doesn't decode", headerToken)
	}
	if tok.Service != req.service {
		return badRequest("wrong-token", "the token is for service %q, the call for %q", tok.Service, req.service)
	}
	req.token, req.tokenRaw = &tok, raw
	return nil
}

func parseTimeout(raw string, defaultTimeout time.Duration) (time.Duration, error) {
	if raw == "" {
		return defaultTimeout, nil
	}
	d, err := time.ParseDuration(raw)
	if err != nil {
		return 0, badRequest("malformed-timeout", "%s is %q, want a duration with a unit such as \"1.5s\"", headerTimeout, raw)
	}
	if d < minTimeout || d > maxTimeout {
		return 0, badRequest("malformed-timeout", "%s is %s, allowed are %s to %s", headerTimeout, d, minTimeout, maxTimeout)
	}
	return d, nil
}

// startRoot fills in rank and retry account of a root request.
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
		return badRequest("malformed-request-id", "%s must have 1 to %d characters out of letters, digits, '.', '_' and '-'",
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

// inherit fills in what a child call takes over from the request that is being served.
func (e *entry) inheritFromParent(req *request, raw string) error {
	c, err := call.ParseContext(raw)
	if err != nil {
		return badRequest("malformed-context", "%s doesn't decode", headerContext)
	}
	parent := e.hops.find(c)
	if parent == nil {
		return &notRunError{reason: call.ReasonParentGone, message: "the request that this call belongs to isn't running here"}
	}
	if parent.depth+1 >= call.MaxDepth {
		return &notRunError{reason: call.ReasonDepth, message: fmt.Sprintf("the call chain is limited to %d hops", call.MaxDepth)}
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

// contextFor returns the context of a call: it ends with the deadline, with the caller and with the parent request.
func requestContext(r *http.Request, req *request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	if req.parent == nil {
		return ctx, cancel
	}
	stop := context.AfterFunc(req.parent.ctx, cancel)
	return ctx, func() { stop(); cancel() }
}

func randomID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}
