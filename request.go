package guavapoint

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Headers between callers and daemons; see docs/design.md, section 2.1.
const (
	headerPrefix        = "Guavapoint-"
	headerImportance    = headerPrefix + "Importance"
	headerTimeout       = headerPrefix + "Timeout"
	headerRequestID     = headerPrefix + "Request-Id"
	headerToken         = headerPrefix + "Token"
	headerContext       = headerPrefix + "Context"
	headerOutcome       = headerPrefix + "Outcome"
	headerReason        = headerPrefix + "Reason"
	headerUpstream      = headerPrefix + "Upstream"
	headerConfigVersion = headerPrefix + "Config-Version"
	headerTraceParent   = "Traceparent"
)

// Request is one call of a service.
type Request struct {
	Service string
	Method  string // "" means GET
	// Path begins with '/' and can have a query; "" means "/".
	Path   string
	Header http.Header
	Body   []byte

	// Importance is "critical", "high", "normal" or "low"; "" leaves the class to the operation's configuration, which
	// is also the ceiling.
	Importance string
	// Timeout is the time that the caller waits, between MinTimeout and MaxTimeout. 0 means the deadline of the
	// context, or the preset's default if there is none.
	Timeout time.Duration
	// ID identifies the request: 1 to 64 characters out of letters, digits, '.', '_' and '-'. "" means a random one.
	// A request that is sent again after an error must have the ID of the first one, so that it keeps its rank.
	ID string
	// Token is the token of an *UnknownError. With it, Do asks for the outcome, and the request still runs at most
	// once. The request must otherwise be the same. "" lets Do take a token where one is needed.
	Token string
	// Context is the Guavapoint-Context header of the request being served, for a child call.
	Context string
	// TraceParent is a W3C traceparent.
	TraceParent string
}

// Response is a whole response.
type Response struct {
	Status int
	Header http.Header // without the headers of guavapoint
	Body   []byte
	// Upstream is the address of the daemon that served the call.
	Upstream string
	// ConfigVersion is the entry daemon's configuration version.
	ConfigVersion string
	// RequestID is the ID under which the request was sent.
	RequestID string
	// Resends is the number of resends that were needed.
	Resends int
}

// ChildOf makes the request a child call of the request that a backend server is serving: it inherits the rank, the
// deadline and the part of the retry bound that its daemon grants. The request must be sent through that daemon.
func (r *Request) ChildOf(parent *http.Request) {
	r.Context = parent.Header.Get(headerContext)
	r.TraceParent = parent.Header.Get(headerTraceParent)
}

// validate returns a *RequestError if the request can't be sent.
func (r *Request) validate() error {
	switch {
	case r.Service == "" || strings.Contains(r.Service, "/"):
		return &RequestError{Field: "Service", Problem: "must be set and have no '/'"}
	case r.Path != "" && r.Path[0] != '/':
		return &RequestError{Field: "Path", Problem: "must begin with '/'"}
	case r.Timeout != 0 && (r.Timeout < MinTimeout || r.Timeout > MaxTimeout):
		return &RequestError{Field: "Timeout", Problem: "must be 0, or between 1ms and 10m"}
	case r.ID != "" && !call.ValidRootID(r.ID):
		return &RequestError{Field: "ID", Problem: "must have 1 to 64 letters, digits, '.', '_' or '-'"}
	}
	if _, err := call.ParseClass(r.Importance); r.Importance != "" && err != nil {
		return &RequestError{Field: "Importance", Problem: err.Error()}
	}
	if _, err := r.build(context.Background(), "127.0.0.1:1"); err != nil {
		return &RequestError{Field: "Method or Path", Problem: err.Error()}
	}
	return nil
}

// build returns the HTTP request for one attempt, without the headers that differ between attempts.
func (r *Request) build(ctx context.Context, entry string) (*http.Request, error) {
	path := r.Path
	if path == "" {
		path = "/"
	}
	target := "http://" + entry + "/call/" + url.PathEscape(r.Service) + path
	req, err := http.NewRequestWithContext(ctx, r.Method, target, r.body())
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	for name, values := range r.Header {
		if name = http.CanonicalHeaderKey(name); !strings.HasPrefix(name, headerPrefix) {
			req.Header[name] = values
		}
	}
	setNonEmpty(req.Header, headerImportance, r.Importance)
	setNonEmpty(req.Header, headerContext, r.Context)
	setNonEmpty(req.Header, headerTraceParent, r.TraceParent)
	return req, nil
}

// body returns the body for one attempt. It can't be rewound, even if it is empty: net/http by itself repeats a GET, or
// a request with an idempotency key, whose connection was lost, if it can. Neither the bound nor the outcome would take
// this into account. An empty POST, PUT or PATCH is not repeated, and would otherwise be sent in chunks.
func (r *Request) body() io.Reader {
	methodHasBody := r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch
	if len(r.Body) == 0 && methodHasBody {
		return http.NoBody
	}
	return struct{ io.Reader }{bytes.NewReader(r.Body)}
}

func setNonEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

func newRequestID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
