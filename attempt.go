package guavapoint

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/httpcheck"
)

var (
	errNoDeclaredEnd = errors.New("response has neither Content-Length nor chunked encoding and may be truncated")
	errNoOutcome     = errors.New("no valid Guavapoint-Outcome header: response is not from a guavapoint daemon")
)

// maxErrorBody is the largest part of a daemon's error body that is read, in bytes.
const maxErrorBody = 64 << 10

// attemptResult is the result of one attempt, which is one HTTP request and its response.
type attemptResult struct {
	sent     bool      // there was a connection, so that the daemon may have received the request
	response *Response // set only if the outcome is OutcomeAnswered and err is nil
	outcome  call.Outcome
	reason   Reason
	code     string // code from the daemon's error body
	message  string // message from the daemon's error body
	token    string // new token from a response with status 428
	err      error  // no response was received, or it is incomplete or not from a daemon
}

// answered reports whether a complete response was received.
func (a *attemptResult) answered() bool {
	return a.err == nil && a.outcome == call.OutcomeAnswered
}

// send makes one attempt: it sends the request to the current entry daemon and reads the response.
func (d *doCall) send(ctx context.Context) *attemptResult {
	a := &attemptResult{}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	entry := d.client.entries[d.entryIndex]
	req, err := d.request.build(ctx, entry)
	if err != nil {
		a.err = fmt.Errorf("build HTTP request to entry daemon %s: %w", entry, err)
		return a
	}
	req.Header.Set(headerRequestID, d.id)
	setNonEmpty(req.Header, headerToken, d.token)
	if !d.deadline.IsZero() {
		left := min(max(time.Until(d.deadline), MinTimeout), MaxTimeout)
		req.Header.Set(headerTimeout, left.String())
	}
	resp, err := d.client.transport.RoundTrip(req)
	a.sent = connected.Load() || err == nil
	if err != nil {
		a.err = fmt.Errorf("send request to entry daemon %s: %w", entry, err)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.readResponse(resp)
	if a.response != nil {
		a.response.RequestID = d.id
	}
	return a
}

// readResponse sets the fields of a from an HTTP response, including its body.
func (a *attemptResult) readResponse(resp *http.Response) {
	outcome, ok := parseOutcome(resp.Header.Get(headerOutcome))
	if !ok {
		a.err = errNoOutcome
		return
	}
	a.outcome = outcome
	a.reason = Reason(resp.Header.Get(headerReason))
	if outcome == call.OutcomeAnswered {
		a.response, a.err = readComplete(resp)
		return
	}
	if resp.StatusCode == http.StatusPreconditionRequired {
		a.token = resp.Header.Get(headerToken)
	}
	a.readErrorBody(resp.Body)
}

// parseOutcome parses the value of the Guavapoint-Outcome header. It returns false for an unknown value.
func parseOutcome(s string) (call.Outcome, bool) {
	for _, o := range []call.Outcome{call.OutcomeUnknown, call.OutcomeAnswered, call.OutcomeNotRun} {
		if s == o.String() {
			return o, true
		}
	}
	return call.OutcomeUnknown, false
}

// readErrorBody sets code and message from the daemon's error body. A body that doesn't decode is ignored, because the
// outcome is in the header.
func (a *attemptResult) readErrorBody(body io.Reader) {
	var e struct{ Code, Message string }
	if json.NewDecoder(io.LimitReader(body, maxErrorBody)).Decode(&e) == nil {
		a.code, a.message = e.Code, e.Message
	}
}

// readComplete reads a response up to its declared end and removes the headers of guavapoint. A response whose end is
// marked only by the end of the connection is rejected, because a truncated one looks the same.
func readComplete(resp *http.Response) (*Response, error) {
	if err := httpcheck.Check(resp); err != nil {
		return nil, err
	}
	if !httpcheck.Framed(resp) {
		return nil, errNoDeclaredEnd
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read response body: failed after %d bytes: %w", len(body), err)
	}
	response := &Response{
		Status:        resp.StatusCode,
		Header:        resp.Header.Clone(),
		Body:          body,
		Upstream:      resp.Header.Get(headerUpstream),
		ConfigVersion: resp.Header.Get(headerConfigVersion),
	}
	for name := range response.Header {
		if strings.HasPrefix(name, headerPrefix) {
			response.Header.Del(name)
		}
	}
	return response, nil
}
