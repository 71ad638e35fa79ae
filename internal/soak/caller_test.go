package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"guavapoint.example/guavapoint/internal/httpcheck"
)

// callerTimeout is the timeout that callers send with each request.
const callerTimeout = 2 * time.Second

// caller sends requests to one daemon, one after the other, on persistent connections.
type caller struct {
	vm              *vm
	checker         *checker
	rng             *rand.Rand
	plannedWorkOnly bool // no unplanned faults are injected, so that no request that ran may lose its response
	client          *http.Client
	name            string // prefix of its request IDs
	// longestPause is the longest time that the caller waits in the middle of a body. Its timeouts are longer by that.
	longestPause time.Duration
	sent         int // number of requests so far
}

func newCaller(v *vm, checker *checker, name string, seed uint64, plannedWorkOnly bool) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	return &caller{
		vm: v, checker: checker, rng: rand.New(rand.NewPCG(seed, 1)), plannedWorkOnly: plannedWorkOnly, name: name,
		client: &http.Client{Transport: httpcheck.Checked(transport), Timeout: callerTimeout + time.Second},
	}
}

// slowCallerPause is the longest pause of a slow caller. It is longer than the time from the begin of a stop until the
// ingress closes, so that some bodies become whole after that.
const slowCallerPause = 4 * time.Second

// slowCallerPrefix begins the request IDs of slow callers, and of no others.
const slowCallerPrefix = "slow-"

// newSlowCaller returns a caller that waits in the middle of its bodies, and whose requests take long.
func newSlowCaller(v *vm, checker *checker, name string, seed uint64, plannedWorkOnly bool) *caller {
	c := newCaller(v, checker, slowCallerPrefix+name, seed, plannedWorkOnly)
	c.longestPause = slowCallerPause
	c.client.Timeout += slowCallerPause
	return c
}

// pausingReader waits once, before it reads the second half of a body.
type pausingReader struct {
	first, second io.Reader
	pause         time.Duration
}

// Read implements io.Reader.
func (r *pausingReader) Read(p []byte) (int, error) {
	if n, err := r.first.Read(p); err != io.EOF {
		return n, err
	}
	time.Sleep(r.pause)
	r.pause = 0
	return r.second.Read(p)
}

// body returns a reader of the text.
func (c *caller) body(text string) io.Reader {
	if c.longestPause == 0 {
		return strings.NewReader(text)
	}
	half := len(text) / 2
	return &pausingReader{strings.NewReader(text[:half]), strings.NewReader(text[half:]), randomDelay(c.rng, int(c.longestPause.Milliseconds()))}
}

// run sends requests until done is closed.
func (c *caller) run(done <-chan struct{}) {
	defer c.client.CloseIdleConnections()
	notReady := 0 // consecutive checks
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(c.rng.IntN(20)) * time.Millisecond):
		}
		// Callers should send no new requests to a daemon that has failed two consecutive readiness checks.
		if c.sent%10 == 0 && !c.vm.isReady(c.client) {
			notReady++
		} else {
			notReady = 0
		}
		c.sent++
		if notReady < 2 {
			c.sendRequest()
		}
	}
}

// sendRequest sends a random request, idempotent or not, and reports whether it succeeded.
func (c *caller) sendRequest() bool {
	id := fmt.Sprintf("%s.%d%02d", c.name, c.sent, c.rng.IntN(100))
	method, path, body := http.MethodGet, "/read/"+id, ""
	nonIdempotent := c.rng.IntN(2) == 0
	if nonIdempotent {
		method, path, body = http.MethodPost, "/write/"+id, strings.Repeat(id, c.rng.IntN(3)*1000)
	}
	c.checker.recordSent(id, nonIdempotent)
	got := c.roundTrip(id, method, path, body)
	c.checker.recordOutcome(id, got, c.plannedWorkOnly)
	return got == outcomeSuccess
}

// roundTrip sends one request and returns its outcome.
func (c *caller) roundTrip(id, method, path, body string) outcome {
	req, err := http.NewRequest(method, "http://"+c.vm.ingressAddress+path, io.NopCloser(c.body(body)))
	if err != nil {
		c.checker.addViolation("caller: create request %s: %v", id, err)
		return outcomeIncomplete
	}
	req.ContentLength = int64(len(body))
	if body == "" {
		req.Body = http.NoBody
	}
	req.Host = "soak.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Timeout-Ms", fmt.Sprint((callerTimeout + c.longestPause).Milliseconds()))
	resp, err := c.client.Do(req)
	if err != nil {
		return outcomeIncomplete
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcomeIncomplete
	}
	return c.classifyResponse(id, path, body, resp, string(got))
}

// classifyResponse returns the outcome for a response that was read completely. It records a violation for a body of
// another request, a missing header or an unexpected status.
func (c *caller) classifyResponse(id, path, body string, resp *http.Response, got string) outcome {
	switch status := resp.StatusCode; {
	case status >= 200 && status < 300:
		if got != expectedBody(id, path, []byte(body)) || resp.Header.Get("X-Response-Signature") == "" {
			c.checker.addViolation("MIXED: request %s received a body of %d bytes that isn't its own, or no signature",
				id, len(got))
		}
		return outcomeSuccess
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		if resp.Header.Get("Retry-After") == "" {
			c.checker.addViolation("REFUSED: request %s received status %d without Retry-After", id, status)
		}
		return outcomeRefused
	case status == http.StatusBadGateway || status == http.StatusGatewayTimeout ||
		status == http.StatusInternalServerError:
		return outcomeFailed
	default:
		c.checker.addViolation("DENIED: request %s received the unexpected status %d: %s", id, status, got)
		return outcomeFailed
	}
}
