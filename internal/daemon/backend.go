package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"guavapoint.example/guavapoint/internal/core/announce"
	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/loopback"
	"guavapoint.example/guavapoint/platform"
)

const (
	// backendDialTimeout bounds a connection attempt on the loopback interface. A new connection takes about 1 ms.
	backendDialTimeout = time.Second
	// maxRunTime ends a request to the backend server that never finishes. It matters for non-idempotent requests,
	// which have no deadline there, and equals the longest timeout that a caller may ask for.
	maxRunTime = maxTimeout
	// lateAnswerTime is how long after its deadline the answer to a request may still arrive. A backend server that
	// announces itself stops its work at the deadline, so that longer waits are for bytes without end. It covers the time
	// in which a large answer is sent.
	lateAnswerTime = 10 * time.Second
)

// backend runs requests on the backend server beside this daemon. It is safe for concurrent use.
type backend struct {
	base     *url.URL
	pool     *loopback.Pool
	instance *instanceTracker // nil if the backend server uses the project's own header fields
	crashes  *crashDetector
	// recordReport is called with what each response of an announced backend server says about the backend server, and
	// with the time at which the request was sent.
	recordReport func(sentAt time.Time, r announce.Report)
	onDialFailed func()      // called if no connection to the backend server could be opened
	slotsTaken   func() bool // reports whether a request more would have to wait
	log          *events.Logger
	now          func() time.Time
}

func newBackend(base *url.URL, crashes *crashDetector, onDialFailed func(), log *events.Logger,
	now func() time.Time) *backend {
	return &backend{base: base, pool: loopback.New(base.Host, now), crashes: crashes, onDialFailed: onDialFailed, log: log,
		now: now}
}

// run sends a request to the backend server and returns the result, which the caller closes. overloaded reports that
// the backend server itself refused the request because of overload (status 503 or 429).
func (b *backend) run(c *upstreamCall, hopContext, traceParent string) (res *result, overloaded bool) {
	ctx, stop := context.WithCancelCause(c.backendCtx)
	ctx, endTimer := context.WithTimeout(ctx, b.maxWait(c))
	cancel := func() {
		stop(nil)
		endTimer()
	}
	var dispatched atomic.Bool
	dispatched.Store(true) // until the request is known not to have been sent
	inFlight := b.crashes.add(c.fingerprint, &dispatched)
	req, err := b.request(ctx, stop, c, hopContext, traceParent)
	if err != nil {
		inFlight.remove()
		cancel()
		return notRun(call.ReasonBackendRefused), false
	}
	sentAt := b.now()
	resp, err := b.send(ctx, req)
	if err != nil {
		dispatched.Store(!errors.Is(err, loopback.ErrNotSent))
		res := b.failureResult(ctx, inFlight, dispatched.Load())
		cancel()
		return res, false
	}
	overloaded = resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if res := b.checkResponse(c, req, resp, sentAt); res != nil {
		resp.Body.Close()
		inFlight.remove()
		cancel()
		return res, overloaded
	}
	res = &result{outcome: call.OutcomeAnswered, status: resp.StatusCode, header: forwardedHeaders(resp.Header),
		length: resp.ContentLength, body: resp.Body}
	res.onClose = func(complete bool) {
		if !complete && ctx.Err() == nil {
			inFlight.lostToCrash()
		}
		inFlight.remove()
		cancel()
	}
	return res, overloaded
}

// maxWait returns the longest time for which the answer to a request is awaited.
func (b *backend) maxWait(c *upstreamCall) time.Duration {
	if b.instance == nil {
		return maxRunTime
	}
	return min(c.deadline.Sub(b.now())+lateAnswerTime, maxRunTime)
}

// body returns the body of a request. If a part of it still has to arrive, stop cancels the request as arrivingBody says.
func (b *backend) body(ctx context.Context, stop context.CancelCauseFunc, c *upstreamCall) io.Reader {
	body, _ := c.body.reader()
	if c.body.rest == nil {
		return body
	}
	arriving := &arrivingBody{Reader: body, now: b.now, cancel: stop}
	go arriving.watch(ctx, b.slotsTaken)
	return arriving
}

// request builds the HTTP request to the backend server, with the header fields of the platform or of the project. stop
// cancels it.
func (b *backend) request(ctx context.Context, stop context.CancelCauseFunc, c *upstreamCall,
	hopContext, traceParent string) (*http.Request, error) {
	body := b.body(ctx, stop, c)
	req, err := http.NewRequestWithContext(ctx, c.header.Method, b.base.String()+c.header.Path, io.NopCloser(body))
	if err != nil {
		return nil, err
	}
	keepTarget(req.URL, c.header.Path)
	req.ContentLength = c.body.length
	if c.body.length == 0 {
		req.Body = http.NoBody
	}
	req.Header.Set("User-Agent", "") // otherwise net/http adds its own
	applyHeaders(req.Header, c.header.Header)
	if traceParent != "" {
		req.Header.Set(headerTrace, traceParent)
	}
	if b.instance != nil {
		req.Host = req.Header.Get(hostHeader)
		req.Header.Del(hostHeader)
		platform.PrepareRequest(req.Header, c.deadline.Sub(b.now())-deadlineMargin, b.instance.current().ID)
		return req, nil
	}
	req.Header.Set(headerContext, hopContext)
	req.Header.Set(headerRequestID, c.header.RootID)
	req.Header.Set(headerTimeout, c.deadline.Sub(b.now()).String())
	return req, nil
}

// keepTarget makes a URL, which was parsed from a path with a query, send these as they are. Parsing encodes characters that
// may not stand there and cuts off what follows a '#'. A path that begins with "//" can't be kept so.
func keepTarget(u *url.URL, path string) {
	if u.RequestURI() != path && !strings.HasPrefix(path, "//") {
		u.Opaque, u.RawQuery, u.ForceQuery = path, "", false
	}
}

// failureResult returns the result of a request that got no response, and ends its tracking. The request is known not
// to have run only if it was not sent (dispatched is false).
func (b *backend) failureResult(ctx context.Context, inFlight *inFlightRequest, dispatched bool) *result {
	defer inFlight.remove()
	switch {
	case !dispatched && ctx.Err() != nil:
		return notRun(contextEndReason(ctx))
	case !dispatched:
		b.onDialFailed()
		return notRun(call.ReasonBackendRefused)
	case isBodyFault(context.Cause(ctx)):
		return unknown(call.ReasonCanceled)
	case ctx.Err() != nil:
		return unknown(call.ReasonTimeout)
	case inFlight.lostToCrash():
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

// unhealthyError reports a backend server that responded to a health check with a status other than 200. It is alive
// but takes no requests.
type unhealthyError struct {
	status int
}

// Error implements error.
func (e *unhealthyError) Error() string {
	return fmt.Sprintf("health check: backend server responded with status %d, want %d", e.status, http.StatusOK)
}

// checkHealth sends a health check and returns the ID of the instance that responds. It returns an *unhealthyError for
// a status other than 200, and other errors if no response arrives. A health check and its response carry no request ID,
// so it has a connection of its own: a late second response to a request can't pass for its response, nor its response
// for that to a request.
func (b *backend) checkHealth(ctx context.Context, path string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.base.String()+path, http.NoBody)
	if err != nil {
		return "", fmt.Errorf("health check: build request for %s: %w", path, err)
	}
	resp, err := b.pool.DoAlone(ctx, req)
	if err != nil {
		return "", fmt.Errorf("health check: send request for %s: %w", path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", &unhealthyError{status: resp.StatusCode}
	}
	return platform.InstanceID(resp.Header), nil
}
