package config

import (
	"encoding/json"
	"fmt"
	"strings"

	"guavapoint.example/guavapoint/internal/core/route"
)

// Limits of a route's values.
const (
	// maxHostLength is the largest length of a DNS name in bytes.
	maxHostLength = 253
	// maxPathLength is the largest length of a path prefix or health check path in bytes.
	maxPathLength = 1024
	// maxWeight is the largest weight of one target.
	maxWeight = 1_000_000
	// maxAttempts is the largest number of upstreams that a route may send one request to.
	maxAttempts = 16
	// maxPriority is the largest priority number, and so the lowest rank, of a route.
	maxPriority = 1_000
)

// routeJSON is the encoded form of route.Route, with durations as strings with units.
type routeJSON struct {
	Name          string         `json:"name"`
	Host          string         `json:"host"`
	Prefix        string         `json:"prefix"`
	Targets       []route.Target `json:"targets"`
	Kind          string         `json:"kind"`
	Timeout       string         `json:"timeout"`
	TargetLatency string         `json:"target_latency"`
	MaxAttempts   int            `json:"max_attempts"`
	Priority      int            `json:"priority"`
}

// routeList encodes routes with durations as strings with units.
type routeList []route.Route

// MarshalJSON implements json.Marshaler.
func (l routeList) MarshalJSON() ([]byte, error) {
	rows := make([]routeJSON, 0, len(l))
	for _, r := range l {
		rows = append(rows, routeJSON{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Targets: r.Targets, Kind: r.Kind.String(),
			Timeout: r.Timeout.String(), TargetLatency: r.TargetLatency.String(), MaxAttempts: r.MaxAttempts, Priority: r.Priority})
	}
	return json.Marshal(rows)
}

// readRoutes reads the list of routes, whose names must be unique.
func (r *documentReader) readRoutes(path string, v any, d *Document) {
	names := make(map[string]bool)
	r.readList(path, v, func(path string, v any) {
		rt := r.readRoute(path, v)
		if names[rt.Name] {
			r.addProblem(path+".name", describe(rt.Name)+" a second time", "a name used once")
		}
		names[rt.Name] = true
		d.Routes = append(d.Routes, rt)
	})
}

func (r *documentReader) readRoute(path string, v any) route.Route {
	var rt route.Route
	r.readRequiredFields(path, v,
		field{"name", r.nameInto(&rt.Name)},
		field{"host", r.noSpacesInto(&rt.Host, maxHostLength)},
		field{"prefix", func(path string, v any) {
			r.noSpacesInto(&rt.Prefix, maxPathLength)(path, v)
			if rt.Prefix != "" && (!strings.HasPrefix(rt.Prefix, "/") || !strings.HasSuffix(rt.Prefix, "/")) {
				r.addProblem(path, describe(v), "a path that begins and ends with a slash")
			}
		}},
		field{"targets", func(path string, v any) { rt.Targets = r.readTargets(path, v) }},
		field{"kind", func(path string, v any) {
			s, _ := v.(string)
			kind, ok := route.ParseKind(s)
			if !ok {
				r.addProblem(path, describe(v), "idempotent, non-idempotent, upload")
			}
			rt.Kind = kind
		}},
		field{"timeout", r.durationInto(&rt.Timeout, 0, maxTimeout)},
		field{"target_latency", r.durationInto(&rt.TargetLatency, 0, maxTimeout)},
		field{"max_attempts", r.intInto(&rt.MaxAttempts, 1, maxAttempts)},
		field{"priority", r.intInto(&rt.Priority, 0, maxPriority)},
	)
	return rt
}

// readTargets reads the targets of a route, of which at least one must have a positive weight.
func (r *documentReader) readTargets(path string, v any) []route.Target {
	var targets []route.Target
	total := 0
	r.readList(path, v, func(path string, v any) {
		var t route.Target
		r.readRequiredFields(path, v,
			field{"service", r.nameInto(&t.Service)},
			field{"weight", r.intInto(&t.Weight, 0, maxWeight)},
		)
		total += t.Weight
		targets = append(targets, t)
	})
	if total == 0 {
		r.addProblem(path, describe(v), "at least one service with a positive weight")
	}
	return targets
}

// noSpacesInto accepts a string of 1 to limit bytes without spaces and control characters.
func (r *documentReader) noSpacesInto(to *string, limit int) func(string, any) {
	return func(path string, v any) {
		s, ok := v.(string)
		if !ok || s == "" || len(s) > limit || strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
			r.addProblem(path, describe(v), fmt.Sprintf("1 to %d bytes without spaces", limit))
			return
		}
		*to = s
	}
}
