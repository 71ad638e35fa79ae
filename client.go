// Package guavapoint is the caller library of guavapoint, an overload control layer for service call graphs.
//
// A Client sends requests through entry daemons. Each request ends with exactly one of three outcomes: the whole
// response, a *NotRunError (the request did not run and will not), or an *UnknownError (it may have run).
//
// The client does what a plain HTTP caller has to do by itself: it takes the token that a non-idempotent request needs,
// repeats the request with the same token and ID through another entry daemon after a lost connection, counts these
// resends against a bound, and accepts no response that is shorter than declared.
package guavapoint

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"guavapoint.example/guavapoint/internal/core/retry"
)

const (
	// DefaultRetries is the number of resends for one request. It equals the default of the daemons' presets.
	DefaultRetries = 3
	// MinTimeout and MaxTimeout bound Request.Timeout.
	MinTimeout = time.Millisecond
	MaxTimeout = 10 * time.Minute
	// timeoutGrace is how long the client waits for the daemon's own report after the request's timeout. It covers a
	// round trip between regions and a scheduling delay.
	timeoutGrace = 250 * time.Millisecond
)

// Config says how a Client reaches guavapoint.
type Config struct {
	// Entries are the call addresses ("ip:port") of entry daemons, at least one. Two or more in different zones let
	// a request survive the loss of an entry daemon.
	Entries []string
	// Retries bounds the resends of one request: 0 means DefaultRetries, a negative number means none. The first
	// attempt, and the attempt that spends a token after a 428, are not resends. Each resend is a new root request
	// for the daemons, whose own retries are bounded by the active preset.
	Retries int
	// Transport replaces NewTransport. It must not retry or follow redirects by itself.
	Transport http.RoundTripper
}

// Client sends requests through entry daemons. It is safe for concurrent use.
type Client struct {
	entries   []string
	retries   int
	transport http.RoundTripper
	preferred atomic.Uint32 // index of the entry for the next request
	backoff   func(attempt int) time.Duration
}

// NewClient returns a client. It opens no connection.
func NewClient(cfg Config) (*Client, error) {
	if len(cfg.Entries) == 0 {
		return nil, errors.New("guavapoint: no entry daemon given")
	}
	for _, e := range cfg.Entries {
		if _, _, err := net.SplitHostPort(e); err != nil {
			return nil, fmt.Errorf("guavapoint: entry %q is not of the form ip:port: %w", e, err)
		}
	}
	c := &Client{entries: cfg.Entries, retries: cfg.Retries, transport: cfg.Transport, backoff: randomBackoff}
	if c.retries == 0 {
		c.retries = DefaultRetries
	}
	c.retries = max(c.retries, 0)
	if c.transport == nil {
		c.transport = NewTransport()
	}
	c.preferred.Store(rand.Uint32N(uint32(len(cfg.Entries)))) // spreads callers over the entries
	return c, nil
}

// NewTransport returns the transport that a Client uses by default. Its connections are probed while they are quiet, so
// that one whose peer has vanished fails after about 3 s even if the request has no timeout.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: 2 * time.Second,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     time.Second,
			Interval: time.Second,
			Count:    2,
		},
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true, // the backend server's response is passed on as it is
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
	}
}

// Close closes idle connections. Requests in flight are not affected.
func (c *Client) Close() {
	if t, ok := c.transport.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
}

func randomBackoff(attempt int) time.Duration {
	return retry.Backoff(attempt, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// Do sends a request and returns the whole response, whatever its status code. Otherwise the error is a
// *RequestError, which says that the request is invalid and was not sent, a *NotRunError or an *UnknownError.
//
// Do ends when ctx does, or a short time after Request.Timeout. A request that was sent by then has an unknown outcome.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	d, err := c.newDoCall(r)
	if err != nil {
		return nil, err
	}
	if r.Timeout > 0 {
		d.deadline = time.Now().Add(r.Timeout)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, d.deadline.Add(timeoutGrace))
		defer cancel()
	} else if ctxDeadline, ok := ctx.Deadline(); ok {
		d.deadline = ctxDeadline
	}
	for {
		a := d.send(ctx)
		if a.answered() {
			a.response.Resends = d.resends
			return a.response, nil
		}
		if next := d.handleFailedAttempt(a); next == returnError || (next == resend && !d.prepareResend(ctx)) {
			return nil, d.finalError(ctx, a)
		}
	}
}
