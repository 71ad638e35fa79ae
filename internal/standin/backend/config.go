package backend

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Duration is a time.Duration that is encoded as a string such as "20ms" in JSON. Negative values are rejected.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	if v < 0 {
		return fmt.Errorf("duration %s is negative", v)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Config describes one stand-in backend server.
type Config struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Slots is the largest number of requests that run at once.
	Slots int `json:"slots"`
	// Waiting is the largest number of requests that wait for a slot. Further requests are refused with status 503;
	// with 0, requests are refused as soon as all slots are taken.
	Waiting int `json:"waiting"`
	// Connections is the limit to pass to LimitConnections for the server's listener; 0 is no limit.
	Connections int `json:"connections"`
	// ServiceTime is the time that a request takes in this server, without its child calls.
	ServiceTime Duration `json:"service_time"`
	// Jitter is the largest deviation from the service time as a fraction of it, 0 to 1. Deviations are uniformly
	// distributed in both directions.
	Jitter float64 `json:"jitter"`
	// ColdStart slows requests down after the start.
	ColdStart ColdStart `json:"cold_start"`
	// Health and Load make the control endpoints report outdated or fixed values.
	Health Health `json:"health"`
	Load   Load   `json:"load"`
	// Daemon is the call address (host:port) of the daemon beside this server. Required when a route has child calls.
	Daemon string `json:"daemon"`
	// CrashPath is a path prefix: every request whose path begins with it crashes the process. Empty turns this off.
	CrashPath string `json:"crash_path"`
	// Routes are the operations of the service. Without routes, every method and path is served without child calls.
	Routes []Route `json:"routes"`
}

// ColdStart multiplies the service time by a factor that falls linearly from Factor at the start to 1 after Duration.
type ColdStart struct {
	Duration Duration `json:"duration"`
	Factor   float64  `json:"factor"`
}

// Health configures the health endpoint.
type Health struct {
	// Lag is the shortest delay with which a change of state is reported. When the endpoint is read often, the reported
	// state is at most twice Lag old.
	Lag Duration `json:"lag"`
	// Fixed is reported instead of the actual state: "serving", "starting" or "draining". Empty turns this off.
	Fixed string `json:"fixed"`
}

// Load configures the load endpoint.
type Load struct {
	// Lag is the shortest delay with which a change of load is reported. When the endpoint is read often, the reported
	// load is at most twice Lag old.
	Lag Duration `json:"lag"`
	// Fixed is reported as the number of running requests instead of the actual one. Nil turns this off.
	Fixed *int `json:"fixed"`
}

// Route is one operation of the service. Path is a pattern of http.ServeMux, such as "/blocks/{id}".
type Route struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// ServiceTime overrides Config.ServiceTime when it is set.
	ServiceTime *Duration `json:"service_time"`
	// Upload marks an operation that takes a body of any size and returns its SHA-256 and length. Bodies of other
	// operations are limited to MaxBodySize.
	Upload bool `json:"upload"`
	// PaddingBytes is the number of bytes of padding that are added to the response.
	PaddingBytes int `json:"answer_bytes"`
	// Calls are the child calls. They are made one after the other, after the service time.
	Calls []ChildCall `json:"calls"`
}

// ChildCall is a call to another service, made through the daemon while a request is served. Path may contain the
// wildcards of the route's path, such as "/holders/{id}".
type ChildCall struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// ForwardBody sends the body of the request that is being served with the child call. Not allowed on uploads.
	ForwardBody bool `json:"forward_body"`
}

// ParseConfig decodes a Config from JSON. It returns an error for malformed JSON and for unknown fields, and doesn't
// validate the values.
func ParseConfig(data []byte) (Config, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var cfg Config
	if err := dec.Decode(&cfg); err != nil {
		return Config{}, fmt.Errorf("malformed backend configuration: %w", err)
	}
	return cfg, nil
}

// Validate returns an error that joins all problems of the configuration, or nil if there are none.
func (c *Config) Validate() error {
	var errs []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	require(c.Name != "", "name is empty")
	require(c.Service != "", "service is empty")
	require(c.Slots > 0, "slots is %d, allowed is 1 or more", c.Slots)
	require(c.Waiting >= 0, "waiting is %d, allowed is 0 or more", c.Waiting)
	require(c.Jitter >= 0 && c.Jitter <= 1, "jitter is %g, allowed is 0 to 1", c.Jitter)
	require(c.ColdStart.Duration == 0 || c.ColdStart.Factor >= 1,
		"cold_start.factor is %g, allowed is 1 or more", c.ColdStart.Factor)
	switch State(c.Health.Fixed) {
	case "", StateServing, StateStarting, StateDraining:
	default:
		require(false, "health.fixed is %q, allowed are serving, starting and draining", c.Health.Fixed)
	}
	for i, r := range c.Routes {
		require(r.Method != "" && strings.HasPrefix(r.Path, "/"), "routes[%d] needs a method and a path", i)
		require(len(r.Calls) == 0 || c.Daemon != "", "routes[%d] has calls, but daemon is empty", i)
		for j, call := range r.Calls {
			require(call.Service != "" && call.Method != "" && strings.HasPrefix(call.Path, "/"),
				"routes[%d].calls[%d] needs a service, a method and a path", i, j)
			require(!call.ForwardBody || !r.Upload,
				"routes[%d].calls[%d].forward_body is set, but the body of an upload is not kept", i, j)
		}
	}
	return errors.Join(errs...)
}
