package soak

import (
	"fmt"
	"sync"
)

// outcome is what a caller was told of a request.
type outcome uint8

const (
	outcomeOpen    outcome = iota
	outcomeSuccess         // the whole answer
	outcomeRefused         // "not run"
	outcomeFailed          // another status
	outcomeCut             // the connection ended without a complete answer
)

// entry is one request of a caller.
type entry struct {
	once bool // not idempotent
	told outcome
	runs int
}

// ledger records what callers were told and what backend servers ran, and checks the promises. It is safe for concurrent
// use.
type ledger struct {
	mu         sync.Mutex
	requests   map[string]*entry
	violations []string
}

func newLedger() *ledger {
	return &ledger{requests: make(map[string]*entry)}
}

// maxViolations bounds what is reported; the first ones tell the cause.
const maxViolations = 20

func (l *ledger) violation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(format, args...)
}

func (l *ledger) add(format string, args ...any) {
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, fmt.Sprintf(format, args...))
	}
}

// ask records a request before it is sent.
func (l *ledger) ask(id string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = &entry{once: once}
}

// began records that a backend server began to work on a request.
func (l *ledger) began(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.requests[id]
	if e == nil {
		l.add("UNASKED: request %q was sent by no caller", id)
		return
	}
	e.runs++
	if e.once && e.runs > 1 {
		l.add("TWICE: request %s ran %d times", id, e.runs)
	}
	if e.once && e.told == outcomeRefused {
		l.add("REFUSED: request %s ran after its caller was told that it had not", id)
	}
}

// tell records the outcome for the caller.
func (l *ledger) tell(id string, told outcome, strict bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.requests[id]
	e.told = told
	if e.once && told == outcomeRefused && e.runs > 0 {
		l.add("REFUSED: request %s had run when its caller was told that it had not", id)
	}
	if strict && told == outcomeCut && e.runs > 0 {
		l.add("LOST: request %s ran and its connection ended without an answer, with planned work only", id)
	}
}

// counts returns the number of requests by outcome.
func (l *ledger) counts() map[outcome]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := make(map[outcome]int)
	for _, e := range l.requests {
		n[e.told]++
	}
	return n
}

func (l *ledger) found() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}
