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
)

var (
	errNoDeclaredEnd = errors.New("the response has no declared end and can't be proved whole")
	errNoOutcome     = errors.New("the response has no outcome; it doesn't come from a guavapoint daemon")
)

// maxErrorBody bounds what is read of a daemon's error body, in bytes.
const maxErrorBody = 64 << 10

// attemptResult is the result of one HTTP exchange.
type attemptResult struct {
	sent     bool // a connection existed, so that the daemon may have the request
	response *Response
	outcome  call.Outcome
	reason   Reason
	code     string // of the daemon's error body
	message  string
	token    string // a new token, where one is required
	err      error  // the exchange failed, or the response isn't whole
}

func (a *attemptResult) answered() bool {
	return a.err == nil && a.outcome == call.OutcomeAnswered
}

// send sends the request once.
func (d *doCall) send(ctx context.Context) *attemptResult {
	a := &attemptResult{}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := d.request.build(ctx, d.client.entries[d.entryIndex])
	if err != nil {
		a.err = err
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
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.readResponse(resp)
	if a.response != nil {
		a.response.RequestID = d.id
	}
	return a
}

// readResponse takes in a response.
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

func parseOutcome(s string) (call.Outcome, bool) {
	for _, o := range []call.Outcome{call.OutcomeUnknown, call.OutcomeAnswered, call.OutcomeNotRun} {
		if s == o.String() {
			return o, true
		}
	}
	return call.OutcomeUnknown, false
}

// readErrorBody reads the daemon's error body. One that doesn't decode is ignored: the outcome is in the header.
func (a *attemptResult) readErrorBody(body io.Reader) {
	var e struct{ Code, Message string }
	if json.NewDecoder(io.LimitReader(body, maxErrorBody)).Decode(&e) == nil {
		a.code, a.message = e.Code, e.Message
	}
}

// readComplete reads a response to its declared end. A response that ends with the connection is rejected, because one
// that was cut short looks the same.
func readComplete(resp *http.Response) (*Response, error) {
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && resp.Body != http.NoBody {
		return nil, errNoDeclaredEnd
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("response broke off after %d bytes: %w", len(body), err)
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
