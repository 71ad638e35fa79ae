package backend

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Duration is a time.Duration that is a string such as "20ms" in JSON.
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
	// Slots is the number of requests that run at once.
	Slots int `json:"slots"`
	// Waiting is the number of requests that may wait for a slot. Requests beyond it are answered 503; 0 answers 503
	// as soon as all slots are taken.
	Waiting int `json:"waiting"`
	// Connections limits the connections of a listener made by LimitConnections; 0 is no limit.
	Connections int `json:"connections"`
	// ServiceTime is the time that a request spends here, without its child calls.
	ServiceTime Duration `json:"service_time"`
	// Jitter varies the service time evenly by up to this share in both directions, 0 to 1.
	Jitter float64 `json:"jitter"`
	// ColdStart makes the first seconds slow.
	ColdStart ColdStart `json:"cold_start"`
	// Health and Load make the control endpoints lag or mislead.
	Health Health `json:"health"`
	Load   Load   `json:"load"`
	// Daemon is the call address of the daemon beside this server, needed when routes have calls.
	Daemon string `json:"daemon"`
	// CrashPath crashes the process for every request whose path begins with it; empty turns it off.
	CrashPath string `json:"crash_path"`
	// Routes are the operations. Without routes, every method and path is served without child calls.
	Routes []Route `json:"routes"`
}

// ColdStart multiplies the service time by Factor at the start; the factor falls evenly to 1 within Duration.
type ColdStart struct {
	Duration Duration `json:"duration"`
	Factor   float64  `json:"factor"`
}

// Health configures the health endpoint.
type Health struct {
	// Lag is the time for which a state is reported after it changed. A reported state is up to twice as old.
	Lag Duration `json:"lag"`
	// Fixed is reported instead of the real state: "serving", "starting" or "draining".
	Fixed string `json:"fixed"`
}

// Load configures the load endpoint.
type Load struct {
	// Lag is the time for which a load is reported after it changed. A reported load is up to twice as old.
	Lag Duration `json:"lag"`
	// Fixed is reported as the number of running requests instead of the real one.
	Fixed *int `json:"fixed"`
}

// Route is one operation. Path is a pattern of http.ServeMux, such as "/blocks/{id}".
type Route struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// ServiceTime replaces that of the Config when it is set.
	ServiceTime *Duration `json:"service_time"`
	// Upload answers with the SHA-256 of the body, which may have any size. Other bodies are limited to MaxBodySize.
	Upload bool `json:"upload"`
	// PaddingBytes pads the answer.
	PaddingBytes int `json:"answer_bytes"`
	// Calls are the child calls, made one after the other.
	Calls []ChildCall `json:"calls"`
}

// ChildCall is a child call. Path may contain the wildcards of the route's path, such as "/holders/{id}".
type ChildCall struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// ForwardBody sends the body of the request that is being served.
	ForwardBody bool `json:"forward_body"`
}

// ParseConfig reads a Config in JSON. Unknown fields are rejected.
func ParseConfig(data []byte) (Config, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var cfg Config
	if err := dec.Decode(&cfg); err != nil {
		return Config{}, fmt.Errorf("malformed backend configuration: %w", err)
	}
	return cfg, nil
}

// Validate reports all problems of the configuration.
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
			require(!call.ForwardBody || !r.Upload, "routes[%d].calls[%d] forwards an upload, which is not kept", i, j)
		}
	}
	return errors.Join(errs...)
}
