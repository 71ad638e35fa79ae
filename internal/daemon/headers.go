package daemon

import (
	"net/http"
	"net/textproto"
	"strings"

	"guavapoint.example/guavapoint/internal/wire"
	"guavapoint.example/guavapoint/platform"
)

// Names of the HTTP headers exchanged with callers and backend servers.
const (
	headerPrefix     = "Guavapoint-"
	headerImportance = "Guavapoint-Importance"
	headerTimeout    = "Guavapoint-Timeout"
	headerRequestID  = "Guavapoint-Request-Id"
	headerToken      = "Guavapoint-Token"
	headerContext    = "Guavapoint-Context"
	headerOutcome    = "Guavapoint-Outcome"
	headerReason     = "Guavapoint-Reason"
	headerUpstream   = "Guavapoint-Upstream"
	headerVersion    = "Guavapoint-Config-Version"
	headerTrace      = "Traceparent"
)

// connectionHeaders are the headers that belong to a single connection (RFC 9110, section 7.6.1) and must not be
// forwarded.
var connectionHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
}

// forwardedHeaders returns the header fields that are forwarded: all except those of the connection, those that
// guavapoint itself sets, and the body length, which the call header carries. The Connection header can't remove the
// platform's own fields, which are meant for the other end: whoever relies on them must get them whatever a caller or a
// backend server lists there.
func forwardedHeaders(h http.Header) []wire.Header {
	named := listedInConnection(h)
	fields := make([]wire.Header, 0, len(h))
	for name, values := range h {
		if !isForwarded(name) || (named[name] && !platform.IsEndToEnd(name)) {
			continue
		}
		fields = append(fields, wire.Header{Name: name, Values: values})
	}
	return fields
}

// isForwarded reports whether the header with this canonical name is forwarded, unless the Connection header lists it.
func isForwarded(name string) bool {
	switch {
	case connectionHeaders[name], strings.HasPrefix(name, headerPrefix):
		return false
	case name == headerTrace, name == "Content-Length":
		return false
	default:
		return true
	}
}

// listedInConnection returns the canonical names that the Connection header lists: their fields belong to this
// connection.
func listedInConnection(h http.Header) map[string]bool {
	var named map[string]bool
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// applyHeaders sets the forwarded fields of a call or an answer on an outgoing HTTP header.
func applyHeaders(dst http.Header, fields []wire.Header) {
	for _, f := range fields {
		name := textproto.CanonicalMIMEHeaderKey(f.Name)
		if isForwarded(name) {
			dst[name] = f.Values
		}
	}
}
