// Package announce tracks the backend server beside a daemon by its heartbeats and by what its responses state about it,
// and decides whether that backend server takes work. Heartbeats may arrive late, out of order, or from an earlier backend
// server at the same address. Once a start of a backend server has announced that it leaves, that start never takes work
// again.
//
// A daemon that has just started doesn't know what the backend server announced before, so one heartbeat isn't enough:
// it may be older than an announcement to leave. The backend server takes work after a health check that names the
// announced instance, or after a second heartbeat that is newer than the first. What responses stated before, a rate limit
// or that the backend server leaves, such a daemon learns from its peers.
package announce
