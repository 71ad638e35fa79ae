package soak

import (
	"fmt"
	"sync"
)

// outcome is what a caller was told of a request.
type outcome uint8

const (
	outcomePending    outcome = iota
	outcomeSuccess            // the whole answer
	outcomeRefused            // "not run"
	outcomeFailed             // another status
	outcomeIncomplete         // the connection ended without a complete answer
)

// requestRecord is one request of a caller.
type requestRecord struct {
	nonIdempotent bool // not idempotent
	outcome       outcome
	runs          int
}

// checker records what callers were told and what backend servers ran, and checks the promises. It is safe for concurrent
// use.
type checker struct {
	mu         sync.Mutex
	requests   map[string]*requestRecord
	violations []string
}

func newChecker() *checker {
	return &checker{requests: make(map[string]*requestRecord)}
}

// maxViolations bounds what is reported; the first ones tell the cause.
const maxViolations = 20

func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(format, args...)
}

func (c *checker) addViolationLocked(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// recordSent records a request before it is sent.
func (c *checker) recordSent(id string, nonIdempotent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = &requestRecord{nonIdempotent: nonIdempotent}
}

// recordRun records that a backend server began to work on a request.
func (c *checker) recordRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		c.addViolationLocked("UNASKED: request %q was sent by no caller", id)
		return
	}
	r.runs++
	if r.nonIdempotent && r.runs > 1 {
		c.addViolationLocked("TWICE: request %s ran %d times", id, r.runs)
	}
	if r.nonIdempotent && r.outcome == outcomeRefused {
		c.addViolationLocked("REFUSED: request %s ran after its caller was told that it had not", id)
	}
}

// recordOutcome records the outcome for the caller.
func (c *checker) recordOutcome(id string, got outcome, plannedWorkOnly bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	r.outcome = got
	if r.nonIdempotent && got == outcomeRefused && r.runs > 0 {
		c.addViolationLocked("REFUSED: request %s had run when its caller was told that it had not", id)
	}
	if plannedWorkOnly && got == outcomeIncomplete && r.runs > 0 {
		c.addViolationLocked("LOST: request %s ran and its connection ended without an answer, with planned work only", id)
	}
}

// outcomeCounts returns the number of requests by outcome.
func (c *checker) outcomeCounts() map[outcome]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := make(map[outcome]int)
	for _, r := range c.requests {
		n[r.outcome]++
	}
	return n
}

func (c *checker) allViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}
