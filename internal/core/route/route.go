package route

import (
	"slices"
	"strings"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Kind says what may be done with a request after a failure.
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

// ParseKind returns the kind with the given name.
func ParseKind(name string) (Kind, bool) {
	i := slices.Index(kindNames[:], name)
	return Kind(max(i, 0)), i >= 0
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string `json:"service"`
	// Weight is the share relative to the other targets.
	Weight int `json:"weight"`
}

// Route sends the requests of a host and path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	// Targets are the services of the route, one or more with a positive weight.
	Targets []Target
	Kind    Kind
	// Timeout is the longest time that a request is kept waiting for its answer.
	Timeout time.Duration
	// TargetLatency is the time within which the answer is wanted.
	TargetLatency time.Duration
	// MaxAttempts bounds the upstreams that one request is sent to.
	MaxAttempts int
	// Priority ranks the route, 0 first.
	Priority int
}

// Class returns the importance class of the route's requests: the first priority is critical, the fourth and all later
// ones are low.
func (r *Route) Class() call.Class {
	return call.ClassCritical - call.Class(min(max(r.Priority, 0), int(call.ClassCritical)))
}

// Choose returns the service for a request. u is uniform in [0, 1).
func (r *Route) Choose(u float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := u * float64(total)
	for _, t := range r.Targets {
		if at < float64(t.Weight) {
			return t.Service
		}
		at -= float64(t.Weight)
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Table finds routes. It is immutable.
type Table struct {
	byHost map[string][]Route // longest prefix first
}

// NewTable indexes routes.
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

// Match returns the route with the longest prefix of the path, or nil. A port in the host is ignored.
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
