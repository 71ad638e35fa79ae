// Package daemon wires the core state machines to sockets, timers and the backend server.
//
// A daemon plays two roles at once. As an entry it takes calls over HTTP from callers and from its own backend server,
// chooses an upstream and forwards the call over connections between daemons (entry.go, dispatch.go, tokencall.go). As an upstream's daemon it takes calls
// over them, decides on admission and runs them on its backend server (serve.go, backend.go). The state machines
// are in internal/core; this package holds their locks, feeds them the time and carries out what they return.
package daemon
