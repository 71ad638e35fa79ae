package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
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
	base    *url.URL
	client  *http.Transport
	crashes *crashDetector
	refused func() // called when the backend server refuses a connection
	now     func() time.Time
}

func newBackend(base *url.URL, connections int, crashes *crashDetector, refused func(), now func() time.Time) *backend {
	dialer := &net.Dialer{Timeout: backendDialTimeout}
	return &backend{
		base: base,
		client: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			DisableCompression:  true,
		},
		crashes: crashes,
		refused: refused,
		now:     now,
	}
}

// onceReader hides that a body could be sent again. net/http otherwise repeats a request by itself when a reused
// connection breaks, which would run it twice and escape the retry budget.
type onceReader struct{ io.Reader }

// Close implements io.Closer.
func (onceReader) Close() error { return nil }

// run sends a request to the backend server. overloaded reports that the backend server shed load itself.
func (b *backend) run(v *serving, hopContext, traceParent string) (res *result, overloaded bool) {
	ctx, cancel := context.WithTimeout(v.runCtx, boundRunLimit)
	var dispatched atomic.Bool
	flight := b.crashes.enter(v.print, &dispatched)
	req, err := b.request(ctx, v, hopContext, traceParent, &dispatched)
	if err != nil {
		flight.leave()
		cancel()
		return notRun(call.ReasonBackendRefused), false
	}
	resp, err := b.client.RoundTrip(req)
	if err != nil {
		res := b.failed(ctx, flight, dispatched.Load())
		cancel()
		return res, false
	}
	res = &result{outcome: call.OutcomeAnswered, status: resp.StatusCode, header: forwardedHeaders(resp.Header),
		length: resp.ContentLength, body: resp.Body}
	res.finished = func(whole bool) {
		if !whole && ctx.Err() == nil {
			flight.lost()
		}
		flight.leave()
		cancel()
	}
	return res, resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
}

// request builds the HTTP request.
func (b *backend) request(ctx context.Context, v *serving, hopContext, traceParent string, dispatched *atomic.Bool) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { dispatched.Store(true) },
	})
	body, _ := v.body.reader()
	req, err := http.NewRequestWithContext(ctx, v.header.Method, b.base.String()+v.header.Path, onceReader{body})
	if err != nil {
		return nil, err
	}
	req.ContentLength = v.body.length
	applyHeaders(req.Header, v.header.Header)
	req.Header.Set(headerContext, hopContext)
	req.Header.Set(headerRequestID, v.header.RootID)
	req.Header.Set(headerTimeout, v.deadline.Sub(b.now()).String())
	if traceParent != "" {
		req.Header.Set(headerTrace, traceParent)
	}
	return req, nil
}

// failed interprets a request without an answer. It is proved not to have run only while it had no connection.
func (b *backend) failed(ctx context.Context, f *flight, dispatched bool) *result {
	defer f.leave()
	switch {
	case !dispatched && ctx.Err() != nil:
		return notRun(endReason(ctx))
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
