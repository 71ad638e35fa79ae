// Package daemon connects the state machines of internal/core to sockets, timers and the backend server.
//
// A daemon has two roles at once. As an entry it accepts calls over HTTP from callers and from its own backend server,
// chooses an upstream and forwards the call to the upstream's daemon (entry.go, dispatch.go, tokencall.go). As an
// upstream's daemon it receives such calls from other daemons, decides on their admission and runs them on its backend
// server (serve.go, servetoken.go, backend.go). The state machines take no locks and read no clock: this package locks
// them, passes them the current time and carries out the decisions that they return.
package daemon
