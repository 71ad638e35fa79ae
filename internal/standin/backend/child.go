package backend

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
)

// Headers of the daemon's call listener, as published in docs/design.md.
const (
	headerContext     = "Guavapoint-Context"
	headerToken       = "Guavapoint-Token"
	headerOutcome     = "Guavapoint-Outcome"
	headerReason      = "Guavapoint-Reason"
	headerTraceParent = "Traceparent"
)

// outcomeAnswered is the value of headerOutcome for a complete response.
const outcomeAnswered = "answered"

// maxResponseSize bounds the response of a child call, in bytes.
const maxResponseSize = 4 << 20

// errorBody is the body of an error response.
type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Service, Outcome and Reason describe the child call that failed.
	Service string `json:"service,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// Cause is the body of the child's own failure.
	Cause json.RawMessage `json:"cause,omitempty"`
}

func writeError(w http.ResponseWriter, status int, e errorBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(e) // a caller that has gone away needs no body
}

// newClient returns a client that keeps enough idle connections for all slots of a common backend server. Time limits
// come from the request that is being served.
func newClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = 128
	return &http.Client{Transport: t}
}

// childClient makes child calls through the daemon beside the backend server.
type childClient struct {
	client *http.Client
	daemon string
}

// childResult is the outcome of a child call. With a failure, status is that of the own response.
type childResult struct {
	status  int
	body    json.RawMessage
	failure *errorBody
}

// call makes a child call on behalf of parent. Where the daemon asks for a token, it calls again with the token that the
// daemon handed out.
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
			Code: "child-not-answered", Outcome: "unknown", Reason: "daemon-unreachable", Message: err.Error(),
		})
	}
	return classifyResponse(child, resp, respBody)
}

// classifyResponse turns the response of a child call into a result.
func classifyResponse(child ChildCall, resp *http.Response, respBody []byte) childResult {
	outcome, reason := resp.Header.Get(headerOutcome), resp.Header.Get(headerReason)
	e := errorBody{Outcome: outcome, Reason: reason, Message: fmt.Sprintf("status %d", resp.StatusCode)}
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

// send makes one attempt and returns the complete response.
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
		err = fmt.Errorf("the answer is larger than %d bytes", maxResponseSize)
	}
	return resp, respBody, err
}

func copyHeader(to, from http.Header, names ...string) {
	for _, name := range names {
		setHeader(to, name, from.Get(name))
	}
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

var wildcardPattern = regexp.MustCompile(`\{[^{}]+\}`)

// expandWildcards replaces the wildcards of a child's path by their values in the parent's path.
func expandWildcards(path string, parent *http.Request) string {
	return wildcardPattern.ReplaceAllStringFunc(path, func(w string) string {
		return parent.PathValue(strings.TrimSuffix(strings.Trim(w, "{}"), "..."))
	})
}
