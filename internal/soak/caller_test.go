package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// callerTimeout is what callers tell that they wait.
const callerTimeout = 2 * time.Second

// caller sends requests to one daemon, one after the other, on connections that it keeps.
type caller struct {
	vm              *vm
	checker         *checker
	rng             *rand.Rand
	plannedWorkOnly bool // no unplanned faults are injected
	client          *http.Client
	name            string
	sent            int
}

func newCaller(v *vm, checker *checker, name string, seed uint64, plannedWorkOnly bool) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	return &caller{
		vm: v, checker: checker, rng: rand.New(rand.NewPCG(seed, 1)), plannedWorkOnly: plannedWorkOnly, name: name,
		client: &http.Client{Transport: transport, Timeout: callerTimeout + time.Second},
	}
}

// run sends requests until done is closed.
func (c *caller) run(done <-chan struct{}) {
	defer c.client.CloseIdleConnections()
	missed := 0
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(c.rng.IntN(20)) * time.Millisecond):
		}
		// Callers send no new work to a daemon that has missed two readiness checks.
		if c.sent%10 == 0 && !c.vm.isReady(c.client) {
			missed++
		} else {
			missed = 0
		}
		c.sent++
		if missed < 2 {
			c.sendRequest()
		}
	}
}

// sendRequest sends one request and reports whether it was served.
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

func (c *caller) roundTrip(id, method, path, body string) outcome {
	req, err := http.NewRequest(method, "http://"+c.vm.ingressAddress+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		c.checker.addViolation("caller: %v", err)
		return outcomeIncomplete
	}
	req.ContentLength = int64(len(body))
	if body == "" {
		req.Body = http.NoBody
	}
	req.Host = "soak.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Timeout-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
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

// classifyResponse checks an answer that came whole.
func (c *caller) classifyResponse(id, path, body string, resp *http.Response, got string) outcome {
	switch status := resp.StatusCode; {
	case status >= 200 && status < 300:
		if got != expectedBody(id, path, []byte(body)) || resp.Header.Get("X-Response-Signature") == "" {
			c.checker.addViolation("MIXED: request %s got %d bytes that are not its answer", id, len(got))
		}
		return outcomeSuccess
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		if resp.Header.Get("Retry-After") == "" {
			c.checker.addViolation("REFUSED: request %s got %d without Retry-After", id, status)
		}
		return outcomeRefused
	case status == http.StatusBadGateway || status == http.StatusGatewayTimeout || status == http.StatusInternalServerError:
		return outcomeFailed
	default:
		c.checker.addViolation("DENIED: request %s got %d: %s", id, status, got)
		return outcomeFailed
	}
}
