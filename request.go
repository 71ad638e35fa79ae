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

// Request is a request to a service.
type Request struct {
	Service string // name of the service; required
	Method  string // HTTP method; "" means GET
	// Path begins with '/' and can have a query; "" means "/".
	Path string
	// Header holds additional headers. Those that begin with "Guavapoint-" are not sent.
	Header http.Header
	Body   []byte

	// Importance is the importance class: "critical", "high", "normal" or "low". "" means the class configured for the
	// operation, which is also the highest class that the request can get.
	Importance string
	// Timeout is how long the caller waits for the response, between MinTimeout and MaxTimeout. 0 means until the
	// deadline of the context, or the preset's default timeout if the context has none.
	Timeout time.Duration
	// ID identifies the request: 1 to 64 letters, digits, '.', '_' and '-'. "" means a random ID. A request that the
	// caller sends again after an error must have the ID of the first one, so that it keeps its priority (rank) when
	// load is shed.
	ID string
	// Token is the token of an earlier *UnknownError. With it, Do asks for the outcome of that request, which still runs
	// at most once. The request must otherwise be the same, with the error's RequestID as its ID. "" means that Do
	// obtains a token if one is needed.
	Token string
	// Context is, for a child call, the Guavapoint-Context header of the request that the caller is serving; see ChildOf.
	Context string
	// TraceParent is the value of the W3C traceparent header.
	TraceParent string
}

// Response is a complete response.
type Response struct {
	Status int         // HTTP status code
	Header http.Header // without headers that begin with "Guavapoint-"
	Body   []byte
	// Upstream is the address of the upstream daemon that served the request.
	Upstream string
	// ConfigVersion is the version of the entry daemon's configuration.
	ConfigVersion string
	// RequestID is the ID under which the request was sent.
	RequestID string
	// Resends is the number of resends before this response.
	Resends int
}

// ChildOf makes r a child call of parent, the request that a backend server is serving, by setting Context and
// TraceParent. The child call inherits the rank, the deadline and the part of the retry budget that the backend
// server's daemon grants, and must be sent through that daemon.
func (r *Request) ChildOf(parent *http.Request) {
	r.Context = parent.Header.Get(headerContext)
	r.TraceParent = parent.Header.Get(headerTraceParent)
}

// validate returns a *RequestError if the request is invalid.
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
		return &RequestError{Field: "Importance", Problem: "is invalid: " + err.Error()}
	}
	// The address is a placeholder: nothing is sent.
	if _, err := r.build(context.Background(), "127.0.0.1:1"); err != nil {
		return &RequestError{Field: "Method or Path", Problem: "is invalid: " + err.Error()}
	}
	return nil
}

// build returns the HTTP request for one attempt at the given entry daemon ("ip:port"), without the headers that differ
// between attempts.
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

// body returns a new body for one attempt, wrapped so that net/http can't rewind it, even if it is empty. If the
// connection is lost, net/http by itself repeats a GET, or a request with an idempotency key, whose body it can rewind.
// Such a repetition would neither count as a resend nor be considered in the outcome.
//
// An empty POST, PUT or PATCH gets http.NoBody, because it would otherwise be sent in chunks. net/http doesn't repeat
// these methods, unless the request has an idempotency key.
func (r *Request) body() io.Reader {
	methodHasBody := r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch
	if len(r.Body) == 0 && methodHasBody {
		return http.NoBody
	}
	return struct{ io.Reader }{bytes.NewReader(r.Body)}
}

// setNonEmpty sets a header unless the value is empty.
func setNonEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// newRequestID returns 16 random bytes in hexadecimal.
func newRequestID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
