package backend

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"

	"guavapoint.example/guavapoint/internal/httpcheck"
)

// Headers of the daemon's call listener, as published in docs/design.md.
const (
	headerContext     = "Guavapoint-Context"
	headerToken       = "Guavapoint-Token"
	headerOutcome     = "Guavapoint-Outcome"
	headerReason      = "Guavapoint-Reason"
	headerTraceParent = "Traceparent"
)

// outcomeAnswered is the value of headerOutcome when the child's backend server sent a complete response.
const outcomeAnswered = "answered"

// maxResponseSize is the largest body of a response to a child call, in bytes.
const maxResponseSize = 4 << 20

// errorBody is the body of an error response.
type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Service, Outcome and Reason describe the child call that failed. Outcome and Reason come from the daemon's
	// headers.
	Service string `json:"service,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// Cause is the response body of the failed child call, if it is valid JSON.
	Cause json.RawMessage `json:"cause,omitempty"`
}

func writeError(w http.ResponseWriter, status int, e errorBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(e) // fails only if the caller has disconnected
}

// newClient returns a client that keeps up to 128 idle connections per host, enough for all slots of a typical backend
// server. It has no timeout: a child call ends with the context of the request that is being served.
func newClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = 128
	return &http.Client{Transport: httpcheck.Checked(t)}
}

// childClient makes child calls through the daemon beside the backend server.
type childClient struct {
	client *http.Client
	daemon string
}

// childResult is the result of a child call: the body of its response or, if it failed, the error response to the
// parent request.
type childResult struct {
	status  int             // of the child's response, or of the error response if failure is set
	body    json.RawMessage // only if failure is nil
	failure *errorBody
}

// call makes a child call on behalf of parent. If the daemon requires a token (status 428), it repeats the call once
// with the token from the daemon's response.
func (c *childClient) call(parent *http.Request, child ChildCall, key string, body []byte) childResult {
	resp, respBody, err := c.send(parent, child, key, "", body)
	token := ""
	if err == nil && resp.StatusCode == http.StatusPreconditionRequired {
		token = resp.Header.Get(headerToken)
	}
	if token != "" {
		resp, respBody, err = c.send(parent, child, key, token, body)
	}
	if err != nil {
		return failedResult(child, http.StatusBadGateway, errorBody{
			Code: "child-not-answered", Outcome: "unknown", Reason: "daemon-unreachable",
			Message: "child call: " + err.Error(),
		})
	}
	return classifyResponse(child, resp, respBody)
}

// classifyResponse turns the response to a child call into a result. The parent request then fails
//   - with status 503 if the daemon reports that the call was not run, or reports no outcome;
//   - with status 502 if the outcome is unknown, or the child responded with an error or with malformed JSON.
func classifyResponse(child ChildCall, resp *http.Response, respBody []byte) childResult {
	outcome, reason := resp.Header.Get(headerOutcome), resp.Header.Get(headerReason)
	e := errorBody{Outcome: outcome, Reason: reason, Message: fmt.Sprintf("child call got status %d", resp.StatusCode)}
	if json.Valid(respBody) {
		e.Cause = respBody
	}
	switch {
	case outcome != outcomeAnswered && outcome != "unknown":
		e.Code = "child-not-answered"
		return failedResult(child, http.StatusServiceUnavailable, e)
	case outcome != outcomeAnswered:
		e.Code = "child-not-answered"
		return failedResult(child, http.StatusBadGateway, e)
	case resp.StatusCode >= http.StatusBadRequest:
		e.Code = "child-failed"
		return failedResult(child, http.StatusBadGateway, e)
	case !json.Valid(respBody):
		e.Code = "child-malformed"
		return failedResult(child, http.StatusBadGateway, e)
	default:
		return childResult{status: resp.StatusCode, body: respBody}
	}
}

func failedResult(child ChildCall, status int, e errorBody) childResult {
	e.Service = child.Service
	return childResult{status: status, failure: &e}
}

// send sends one request to the daemon, with a token unless that is empty, and reads the complete response body. Errors
// come from the request, from the connection to the daemon, or from a body larger than maxResponseSize.
func (c *childClient) send(parent *http.Request, child ChildCall, key, token string, body []byte) (
	*http.Response, []byte, error,
) {
	if !child.ForwardBody {
		body = nil
	}
	url := "http://" + c.daemon + "/call/" + child.Service + expandWildcards(child.Path, parent)
	req, err := http.NewRequestWithContext(parent.Context(), child.Method, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	copyHeader(req.Header, parent.Header, headerContext, headerTraceParent, "Content-Type")
	setHeader(req.Header, HeaderRequestKey, key)
	setHeader(req.Header, headerToken, token)
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize+1))
	if err == nil && len(respBody) > maxResponseSize {
		err = fmt.Errorf("the response of %s is larger than the limit of %d bytes", child.Service, maxResponseSize)
	}
	return resp, respBody, err
}

// copyHeader copies the first value of each named header that is present.
func copyHeader(to, from http.Header, names ...string) {
	for _, name := range names {
		setHeader(to, name, from.Get(name))
	}
}

// setHeader sets a header unless the value is empty.
func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// wildcardPattern matches a wildcard of http.ServeMux, such as {id} or {path...}.
var wildcardPattern = regexp.MustCompile(`\{[^{}]+\}`)

// expandWildcards replaces each wildcard in the path of a child call by its value in the path of the parent request.
func expandWildcards(path string, parent *http.Request) string {
	return wildcardPattern.ReplaceAllStringFunc(path, func(w string) string {
		return parent.PathValue(strings.TrimSuffix(strings.Trim(w, "{}"), "..."))
	})
}
