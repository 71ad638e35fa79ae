// Package guavapoint is the client library of guavapoint, an overload control layer for service call graphs.
//
// A Client sends requests through entry daemons, the daemons that receive requests from callers. Each request ends with
// exactly one of three outcomes: the complete response, a *NotRunError (the request did not run and will not), or an
// *UnknownError (it may have run).
//
// The client does what a caller over plain HTTP would have to implement: it obtains the token that a non-idempotent
// request needs, resends the request with the same token and ID through another entry daemon after a lost connection,
// limits the number of these resends, and rejects a response that is shorter than declared.
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
	// DefaultRetries is the largest number of resends of one request if Config.Retries is 0. It equals the default retry
	// budget of the daemons' presets.
	DefaultRetries = 3
	// MinTimeout and MaxTimeout are the smallest and the largest Request.Timeout other than 0.
	MinTimeout = time.Millisecond
	MaxTimeout = 10 * time.Minute
	// timeoutGrace is how long the client still waits after the request's timeout for the daemon to report the outcome.
	// It covers a round trip between regions and a scheduling delay.
	timeoutGrace = 250 * time.Millisecond
)

// Config holds the parameters of a Client.
type Config struct {
	// Entries are the call addresses ("ip:port") of entry daemons, at least one. With two or more in different zones, a
	// request can succeed although an entry daemon fails. The Client keeps the slice, which must not be modified.
	Entries []string
	// Retries is the largest number of resends of one request: 0 means DefaultRetries, a negative number means none.
	// The first attempt does not count as a resend, and neither does the attempt that uses the token received with
	// status 428. Each resend is a new root request for the daemons, whose own retries are limited by the active preset.
	Retries int
	// Transport sends the HTTP requests; nil means a transport returned by NewTransport. It must be safe for concurrent
	// use, and must not retry or follow redirects by itself.
	Transport http.RoundTripper
}

// Client sends requests through entry daemons. It is safe for concurrent use.
type Client struct {
	entries   []string
	retries   int
	transport http.RoundTripper
	preferred atomic.Uint32                   // index in entries of the daemon that the next request is sent to first
	backoff   func(attempt int) time.Duration // delay before a resend, counted from 1; replaced in tests
}

// NewClient returns a client without opening a connection. It returns an error if cfg.Entries is empty or an entry is
// not of the form ip:port.
func NewClient(cfg Config) (*Client, error) {
	if len(cfg.Entries) == 0 {
		return nil, errors.New("guavapoint: Config.Entries is empty, at least one entry daemon is required")
	}
	for _, e := range cfg.Entries {
		if _, _, err := net.SplitHostPort(e); err != nil {
			return nil, fmt.Errorf("guavapoint: address %q in Config.Entries is not of the form ip:port: %w", e, err)
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
	c.preferred.Store(rand.Uint32N(uint32(len(cfg.Entries)))) // random start, spreads clients over the entry daemons
	return c, nil
}

// NewTransport returns the transport that a Client uses by default. It sends TCP keep-alive probes on connections
// without traffic, also while a request waits for its response, so that a connection whose peer has vanished fails
// after about 3 s even if the request has no timeout.
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
		DisableCompression:  true, // returns the backend server's response body unchanged
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
	}
}

// Close closes idle connections, if the transport supports this. Requests in flight are not affected, and the client
// remains usable.
func (c *Client) Close() {
	if t, ok := c.transport.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
}

// randomBackoff returns the delay before resend number attempt, counted from 1.
func randomBackoff(attempt int) time.Duration {
	return retry.Backoff(attempt, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// Do sends a request, resends it if necessary, and returns the complete response, whatever its status code. On failure
// the error is one of these:
//   - *RequestError: the request is invalid and was not sent.
//   - *NotRunError: the request did not run and will not.
//   - *UnknownError: the request may have run.
//
// Do returns when ctx ends, or about 250 ms after Request.Timeout has passed. If an attempt was sent by then and its
// outcome is not known, Do returns an *UnknownError.
//
// Do does not modify r. The caller must not modify r before Do returns.
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
		// The budget of resends covers only resend; sendWithToken proceeds at once.
		if next := d.handleFailedAttempt(a); next == returnError || (next == resend && !d.prepareResend(ctx)) {
			return nil, d.finalError(ctx, a)
		}
	}
}
