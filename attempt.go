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
	errNotWhole  = errors.New("the response has no declared end and can't be proved whole")
	errNoOutcome = errors.New("the response has no outcome; it doesn't come from a guavapoint daemon")
)

// maxErrorBody bounds what is read of a daemon's error body, in bytes.
const maxErrorBody = 64 << 10

// attempt is the result of one HTTP exchange.
type attempt struct {
	sent     bool // a connection existed, so that the daemon may have the request
	response *Response
	outcome  call.Outcome
	reason   Reason
	code     string // of the daemon's error body
	message  string
	token    string // a new token, where one is required
	err      error  // the exchange failed, or the response isn't whole
}

func (a *attempt) answered() bool {
	return a.err == nil && a.outcome == call.OutcomeAnswered
}

// attempt sends the request once.
func (x *exchange) attempt(ctx context.Context) *attempt {
	a := &attempt{}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	q, err := x.request.build(ctx, x.client.entries[x.entry])
	if err != nil {
		a.err = err
		return a
	}
	q.Header.Set(headerRequestID, x.id)
	setNonEmpty(q.Header, headerToken, x.token)
	if !x.deadline.IsZero() {
		left := min(max(time.Until(x.deadline), MinTimeout), MaxTimeout)
		q.Header.Set(headerTimeout, left.String())
	}
	res, err := x.client.transport.RoundTrip(q)
	a.sent = connected.Load() || err == nil
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = res.Body.Close() }()
	a.read(res)
	if a.response != nil {
		a.response.RequestID = x.id
	}
	return a
}

// read takes in a response.
func (a *attempt) read(res *http.Response) {
	outcome, ok := parseOutcome(res.Header.Get(headerOutcome))
	if !ok {
		a.err = errNoOutcome
		return
	}
	a.outcome = outcome
	a.reason = Reason(res.Header.Get(headerReason))
	if outcome == call.OutcomeAnswered {
		a.response, a.err = readWhole(res)
		return
	}
	if res.StatusCode == http.StatusPreconditionRequired {
		a.token = res.Header.Get(headerToken)
	}
	a.readError(res.Body)
}

func parseOutcome(s string) (call.Outcome, bool) {
	for _, o := range []call.Outcome{call.OutcomeUnknown, call.OutcomeAnswered, call.OutcomeNotRun} {
		if s == o.String() {
			return o, true
		}
	}
	return call.OutcomeUnknown, false
}

// readError reads the daemon's error body. One that doesn't decode is ignored: the outcome is in the header.
func (a *attempt) readError(body io.Reader) {
	var e struct{ Code, Message string }
	if json.NewDecoder(io.LimitReader(body, maxErrorBody)).Decode(&e) == nil {
		a.code, a.message = e.Code, e.Message
	}
}

// readWhole reads a response to its declared end. A response that ends with the connection is rejected, because one
// that was cut short looks the same.
func readWhole(res *http.Response) (*Response, error) {
	chunked := len(res.TransferEncoding) > 0
	if res.ContentLength < 0 && !chunked && res.Body != http.NoBody {
		return nil, errNotWhole
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, fmt.Errorf("response broke off after %d bytes: %w", len(body), err)
	}
	response := &Response{
		Status:        res.StatusCode,
		Header:        res.Header.Clone(),
		Body:          body,
		Upstream:      res.Header.Get(headerUpstream),
		ConfigVersion: res.Header.Get(headerConfigVersion),
	}
	for name := range response.Header {
		if strings.HasPrefix(name, headerPrefix) {
			response.Header.Del(name)
		}
	}
	return response, nil
}
