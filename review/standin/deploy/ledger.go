package deploy

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Run is the start of a run of a request.
type Run struct {
	Instance string
	At       time.Time
}

// Request is what was seen of one request.
type Request struct {
	ID, VM         string
	Sent, Answered time.Time
	Outcome        Outcome
	Runs           []Run
}

// Ledger holds all requests of a play. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	requests map[string]*Request
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{requests: make(map[string]*Request)} }

// Sent records that a client is about to send a request.
func (l *Ledger) Sent(v *VM, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = &Request{ID: id, VM: v.Name, Sent: time.Now()}
}

// Ran records that an upstream begins to run a request.
func (l *Ledger) Ran(instance, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil { // nobody has sent it
		r = &Request{ID: id}
		l.requests[id] = r
	}
	r.Runs = append(r.Runs, Run{instance, time.Now()})
}

// Answered records what the client saw of a request.
func (l *Ledger) Answered(id string, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	r.Answered, r.Outcome = time.Now(), o
}

// Requests returns all requests in the order in which they were sent.
func (l *Ledger) Requests() []*Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*Request, 0, len(l.requests))
	for _, r := range l.requests {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *Request) int { return a.Sent.Compare(b.Sent) })
	return all
}

// Write writes one line for each request to the record: when and where it was sent, what was answered, and its runs.
func (l *Ledger) Write(record *Record) {
	for _, r := range l.Requests() {
		answer := fmt.Sprint(r.Outcome.Status)
		if r.Outcome.Status == 0 {
			answer = fmt.Sprint("no answer, ", r.Outcome.Err)
		}
		if r.Outcome.Status != http.StatusOK {
			answer += fmt.Sprintf(" (X-Instance-Id %q)", r.Outcome.Header.Get("X-Instance-Id"))
		}
		var runs []string
		for _, run := range r.Runs {
			runs = append(runs, fmt.Sprintf("%s at %.3f", run.Instance, record.Elapsed(run.At)))
		}
		record.Printf("request %s sent at %.3f to %s, answered at %.3f: %s; ran on [%s]", r.ID, record.Elapsed(r.Sent), r.VM,
			record.Elapsed(r.Answered), answer, strings.Join(runs, ", "))
	}
}
