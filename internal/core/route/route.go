package route

import (
	"slices"
	"strings"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Kind determines whether a request may be sent again after a failure.
type Kind uint8

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Upload is NonIdempotent with a large body.
	Upload
)

var kindNames = [...]string{"idempotent", "non-idempotent", "upload"}

// String returns the name used in documents and logs.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// ParseKind returns the kind with the given name, or Idempotent and false if there is none.
func ParseKind(name string) (Kind, bool) {
	i := slices.Index(kindNames[:], name)
	return Kind(max(i, 0)), i >= 0
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string `json:"service"`
	// Weight is the target's share of the requests, relative to the sum of all weights of the route.
	Weight int `json:"weight"`
}

// Route sends the requests of a host and path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	// Targets are the services of the route. At least one has a positive weight.
	Targets []Target
	Kind    Kind
	// Timeout is the longest time that a caller waits for the answer.
	Timeout time.Duration
	// TargetLatency is the time within which an answer should arrive.
	TargetLatency time.Duration
	// MaxAttempts is the largest number of upstreams that one request is sent to.
	MaxAttempts int
	// Priority ranks the route; 0 is the most important.
	Priority int
}

// Class returns the importance class of the route's requests: priority 0 is critical, 1 high, 2 normal, and 3 and above
// low.
func (r *Route) Class() call.Class {
	return call.ClassCritical - call.Class(min(max(r.Priority, 0), int(call.ClassCritical)))
}

// Choose returns the service for a request by weighted random choice. u is a random number, uniform in [0, 1).
func (r *Route) Choose(u float64) string {
	total := 0.0 // a sum of large weights doesn't fit into an int
	for _, t := range r.Targets {
		total += float64(t.Weight)
	}
	at := u * total
	for _, t := range r.Targets {
		if at < float64(t.Weight) {
			return t.Service
		}
		at -= float64(t.Weight)
	}
	return r.Targets[len(r.Targets)-1].Service // reached only by rounding, or if every weight is 0
}

// Table finds the route of a request. It is immutable and safe for concurrent use.
type Table struct {
	byHost map[string][]Route // longest prefix first
}

// NewTable returns a table of the given routes. Hosts are compared without regard to case.
func NewTable(routes []Route) *Table {
	t := &Table{byHost: make(map[string][]Route)}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, rs := range t.byHost {
		slices.SortStableFunc(rs, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the host's route with the longest prefix that matches the path, or nil. A port in the host is ignored.
// A nil table has no routes. Callers don't change the route.
func (t *Table) Match(host, path string) *Route {
	if t == nil {
		return nil
	}
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	rs := t.byHost[name]
	for i := range rs {
		if strings.HasPrefix(path, rs[i].Prefix) {
			return &rs[i]
		}
	}
	return nil
}
