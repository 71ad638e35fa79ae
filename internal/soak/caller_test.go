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

// caller sends requests to one node, one after the other, on connections that it keeps.
type caller struct {
	node   *node
	ledger *ledger
	rng    *rand.Rand
	strict bool // no unplanned faults are injected
	client *http.Client
	name   string
	sent   int
}

func newCaller(n *node, l *ledger, name string, seed uint64, strict bool) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	return &caller{node: n, ledger: l, rng: rand.New(rand.NewPCG(seed, 1)), strict: strict, name: name,
		client: &http.Client{Transport: transport, Timeout: callerTimeout + time.Second}}
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
		if c.sent%10 == 0 && !c.node.isReady(c.client) {
			missed++
		} else {
			missed = 0
		}
		c.sent++
		if missed < 2 {
			c.request()
		}
	}
}

// request sends one request and reports whether it was served.
func (c *caller) request() bool {
	id := fmt.Sprintf("%s.%d%02d", c.name, c.sent, c.rng.IntN(100))
	method, path, body := http.MethodGet, "/read/"+id, ""
	once := c.rng.IntN(2) == 0
	if once {
		method, path, body = http.MethodPost, "/write/"+id, strings.Repeat(id, c.rng.IntN(3)*1000)
	}
	c.ledger.ask(id, once)
	told := c.send(id, method, path, body)
	c.ledger.tell(id, told, c.strict)
	return told == outcomeSuccess
}

func (c *caller) send(id, method, path, body string) outcome {
	req, err := http.NewRequest(method, "http://"+c.node.ingress+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		c.ledger.violation("caller: %v", err)
		return outcomeCut
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
		return outcomeCut
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcomeCut
	}
	return c.judge(id, path, body, resp, string(got))
}

// judge checks an answer that came whole.
func (c *caller) judge(id, path, body string, resp *http.Response, got string) outcome {
	switch status := resp.StatusCode; {
	case status >= 200 && status < 300:
		if got != answerTo(id, path, []byte(body)) || resp.Header.Get("X-Response-Signature") == "" {
			c.ledger.violation("MIXED: request %s got %d bytes that are not its answer", id, len(got))
		}
		return outcomeSuccess
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		if resp.Header.Get("Retry-After") == "" {
			c.ledger.violation("REFUSED: request %s got %d without Retry-After", id, status)
		}
		return outcomeRefused
	case status == http.StatusBadGateway || status == http.StatusGatewayTimeout || status == http.StatusInternalServerError:
		return outcomeFailed
	default:
		c.ledger.violation("DENIED: request %s got %d: %s", id, status, got)
		return outcomeFailed
	}
}
