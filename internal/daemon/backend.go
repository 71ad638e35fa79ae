package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/loopback"
	"guavapoint.example/guavapoint/platform"
)

const (
	// backendDialTimeout bounds a connection attempt on the loopback interface. A new connection takes about 1 ms.
	backendDialTimeout = time.Second
	// boundRunLimit ends the work of a non-idempotent request that never finishes. It equals the longest timeout
	// that a caller may ask for.
	boundRunLimit = maxTimeout
)

// backend runs requests on the backend server beside this daemon. It is safe for concurrent use.
type backend struct {
	base      *url.URL
	pool      *loopback.Pool
	announced *announced // nil where the backend server speaks the project's own header fields
	crashes   *crashDetector
	refused   func() // called when the backend server refuses a connection
	log       *events.Logger
	now       func() time.Time
}

func newBackend(base *url.URL, crashes *crashDetector, refused func(), log *events.Logger, now func() time.Time) *backend {
	return &backend{base: base, pool: loopback.New(base.Host, now), crashes: crashes, refused: refused, log: log, now: now}
}

// run sends a request to the backend server. overloaded reports that the backend server shed load itself.
func (b *backend) run(v *serving, hopContext, traceParent string) (res *result, overloaded bool) {
	ctx, cancel := context.WithTimeout(v.runCtx, boundRunLimit)
	var dispatched atomic.Bool
	dispatched.Store(true)
	flight := b.crashes.enter(v.print, &dispatched)
	req, err := b.request(ctx, v, hopContext, traceParent)
	if err != nil {
		flight.leave()
		cancel()
		return notRun(call.ReasonBackendRefused), false
	}
	resp, err := b.pool.Do(ctx, req, belongsTo(platform.RequestID(req.Header)))
	if err != nil {
		dispatched.Store(!errors.Is(err, loopback.ErrNotSent))
		res := b.failed(ctx, flight, dispatched.Load())
		cancel()
		return res, false
	}
	overloaded = resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if res := b.rejected(v, resp); res != nil {
		resp.Body.Close()
		flight.leave()
		cancel()
		return res, overloaded
	}
	res = &result{outcome: call.OutcomeAnswered, status: resp.StatusCode, header: forwardedHeaders(resp.Header),
		length: resp.ContentLength, body: resp.Body}
	res.onClose = func(whole bool) {
		if !whole && ctx.Err() == nil {
			flight.lost()
		}
		flight.leave()
		cancel()
	}
	return res, overloaded
}

// belongsTo returns the test for answers to the request with an id. A backend server that echoes no id sends no answers
// out of turn.
func belongsTo(id string) func(http.Header) bool {
	return func(h http.Header) bool {
		echoed := platform.RequestID(h)
		return id == "" || echoed == "" || echoed == id
	}
}

// rejected returns the result of an answer that can't be passed on, or nil.
func (b *backend) rejected(v *serving, resp *http.Response) *result {
	if b.announced == nil {
		return nil
	}
	if platform.NotExecuted(resp.StatusCode, resp.Header) {
		return notRun(call.ReasonBackendRefused)
	}
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	cause := ""
	switch {
	case resp.Header.Get("Content-Encoding") != "":
		cause = "encoded body"
	case success && !platform.HasSignature(resp.Header):
		cause = "success without a signature"
	case platform.RequestID(resp.Header) == "" && platform.HasSignature(resp.Header):
		cause = "no request id"
	default:
		return nil
	}
	b.log.Log(events.AnswerRejected, v.header.RootID, resp.StatusCode, cause)
	return unknown(call.ReasonAnswerMismatch)
}

// request builds the HTTP request.
func (b *backend) request(ctx context.Context, v *serving, hopContext, traceParent string) (*http.Request, error) {
	body, _ := v.body.reader()
	req, err := http.NewRequestWithContext(ctx, v.header.Method, b.base.String()+v.header.Path, io.NopCloser(body))
	if err != nil {
		return nil, err
	}
	req.ContentLength = v.body.length
	if v.body.length == 0 {
		req.Body = http.NoBody
	}
	req.Header.Set("User-Agent", "") // net/http would add its own
	applyHeaders(req.Header, v.header.Header)
	if traceParent != "" {
		req.Header.Set(headerTrace, traceParent)
	}
	if b.announced != nil {
		req.Host = req.Header.Get(hostHeader)
		req.Header.Del(hostHeader)
		platform.PrepareRequest(req.Header, v.deadline.Sub(b.now())-deadlineMargin, b.announced.current().ID)
		return req, nil
	}
	req.Header.Set(headerContext, hopContext)
	req.Header.Set(headerRequestID, v.header.RootID)
	req.Header.Set(headerTimeout, v.deadline.Sub(b.now()).String())
	return req, nil
}

// failed interprets a request without an answer. It is proved not to have run only while it had no connection.
func (b *backend) failed(ctx context.Context, f *flight, dispatched bool) *result {
	defer f.leave()
	switch {
	case !dispatched && ctx.Err() != nil:
		return notRun(contextEndReason(ctx))
	case !dispatched:
		b.refused()
		return notRun(call.ReasonBackendRefused)
	case ctx.Err() != nil:
		return unknown(call.ReasonTimeout)
	case f.lost():
		return unknown(call.ReasonBackendCrashed)
	default:
		return unknown(call.ReasonConnectionLost)
	}
}

// reachable reports whether the backend server accepts connections.
func (b *backend) reachable() bool {
	conn, err := net.DialTimeout("tcp", b.base.Host, backendDialTimeout)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// unhealthyError reports a backend server that has answered a health check and takes no work.
type unhealthyError struct {
	status int
}

// Error implements error.
func (e *unhealthyError) Error() string {
	return fmt.Sprintf("health check: status %d", e.status)
}

// health asks the backend server whether it takes work, and returns the instance that answers.
func (b *backend) health(ctx context.Context, path string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.base.String()+path, http.NoBody)
	if err != nil {
		return "", fmt.Errorf("health check: %w", err)
	}
	resp, err := b.pool.Do(ctx, req, func(http.Header) bool { return true })
	if err != nil {
		return "", fmt.Errorf("health check: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", &unhealthyError{status: resp.StatusCode}
	}
	_, _ = io.Copy(io.Discard, resp.Body) // only the status and the header count
	return platform.InstanceID(resp.Header), nil
}
