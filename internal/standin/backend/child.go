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

// maxAnswer bounds the answer of a child call, in bytes.
const maxAnswer = 4 << 20

// failure is the body of an error response.
type failure struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Service, Outcome and Reason describe the child call that failed.
	Service string `json:"service,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// Cause is the body of the child's own failure.
	Cause json.RawMessage `json:"cause,omitempty"`
}

func writeError(w http.ResponseWriter, status int, f failure) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(f) // a caller that has gone away needs no body
}

// newClient returns a client that keeps enough idle connections for all slots of a common backend server. Time limits
// come from the request that is being served.
func newClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = 128
	return &http.Client{Transport: t}
}

// caller makes child calls through the daemon beside the backend server.
type caller struct {
	client *http.Client
	daemon string
}

// result is the outcome of a child call. With a failure, status is that of the own response.
type result struct {
	status  int
	body    json.RawMessage
	failure *failure
}

// do makes a child call on behalf of parent. Where the daemon asks for a token, it calls again with the token that the
// daemon handed out.
func (c *caller) do(parent *http.Request, child Call, key string, body []byte) result {
	resp, answer, err := c.send(parent, child, key, "", body)
	token := ""
	if err == nil && resp.StatusCode == http.StatusPreconditionRequired {
		token = resp.Header.Get(headerToken)
	}
	if token != "" {
		resp, answer, err = c.send(parent, child, key, token, body)
	}
	if err != nil {
		return failed(child, http.StatusBadGateway, failure{
			Code: "child-not-answered", Outcome: "unknown", Reason: "daemon-unreachable", Message: err.Error(),
		})
	}
	return judge(child, resp, answer)
}

// judge turns the answer of a child call into a result.
func judge(child Call, resp *http.Response, answer []byte) result {
	outcome, reason := resp.Header.Get(headerOutcome), resp.Header.Get(headerReason)
	f := failure{Outcome: outcome, Reason: reason, Message: fmt.Sprintf("status %d", resp.StatusCode)}
	if json.Valid(answer) {
		f.Cause = answer
	}
	switch {
	case outcome != outcomeAnswered && outcome != "unknown":
		f.Code = "child-not-answered"
		return failed(child, http.StatusServiceUnavailable, f)
	case outcome != outcomeAnswered:
		f.Code = "child-not-answered"
		return failed(child, http.StatusBadGateway, f)
	case resp.StatusCode >= http.StatusBadRequest:
		f.Code = "child-failed"
		return failed(child, http.StatusBadGateway, f)
	case !json.Valid(answer):
		f.Code = "child-malformed"
		return failed(child, http.StatusBadGateway, f)
	default:
		return result{status: resp.StatusCode, body: answer}
	}
}

func failed(child Call, status int, f failure) result {
	f.Service = child.Service
	return result{status: status, failure: &f}
}

// send makes one attempt and returns the complete answer.
func (c *caller) send(parent *http.Request, child Call, key, token string, body []byte) (*http.Response, []byte, error) {
	if !child.ForwardBody {
		body = nil
	}
	url := "http://" + c.daemon + "/call/" + child.Service + expand(child.Path, parent)
	req, err := http.NewRequestWithContext(parent.Context(), child.Method, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	copyHeader(req.Header, parent.Header, headerContext, headerTraceParent, "Content-Type")
	setHeader(req.Header, HeaderKey, key)
	setHeader(req.Header, headerToken, token)
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(answer) > maxAnswer {
		err = fmt.Errorf("the answer is larger than %d bytes", maxAnswer)
	}
	return resp, answer, err
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

var wildcard = regexp.MustCompile(`\{[^{}]+\}`)

// expand replaces the wildcards of a child's path by their values in the parent's path.
func expand(path string, parent *http.Request) string {
	return wildcard.ReplaceAllStringFunc(path, func(w string) string {
		return parent.PathValue(strings.TrimSuffix(strings.Trim(w, "{}"), "..."))
	})
}
