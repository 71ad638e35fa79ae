package settings

import "time"

// Defaults of optional settings.
const (
	// DefaultLogLevel logs state changes, rejected control operations and, up to a rate limit, requests that were not
	// served, but not every call.
	DefaultLogLevel = "info"
	// DefaultDrainLimit covers the longest default timeout of a call chain several times over and is below the
	// period after which common service managers kill a process (90 s).
	DefaultDrainLimit = 30 * time.Second
)

// Defaults of Bounds, suitable for a deployment of a few daemons.
const (
	DefaultRetryRatio  = 0.1
	DefaultRetrySlack  = 10
	DefaultRetryWindow = 10 * time.Second
)

// Limits of the values in a settings file.
const (
	// MaxNameLength bounds the names of daemons, services, regions and zones, in bytes. A service name is part of a
	// token, in which its length takes one byte; 63 is also the limit of a DNS label.
	MaxNameLength = 63
	// MaxSlots is far above the slots of any backend server in use (100). It catches a value in the wrong unit.
	MaxSlots = 100_000
	// MaxConnections is about the number of local ports for connections to one loopback address.
	MaxConnections = 60_000
	// MaxPlatformURLs bounds the list of platform endpoints.
	MaxPlatformURLs = 16
	// MaxPeers bounds the list of bootstrap peers. A few suffice, since the membership spreads from each of them.
	MaxPeers = 64
	// MaxCalls is the largest number of services in one deployment, rounded up from 670.
	MaxCalls = 1024
	// MinDrainLimit leaves time for the state "leaving" to reach the daemon's neighbors.
	MinDrainLimit = 1 * time.Second
	// MaxDrainLimit is the longest timeout that a caller can ask for; no in-flight request outlasts it.
	MaxDrainLimit = 10 * time.Minute
	// MaxFileSize bounds a settings file, in bytes. The longest valid file stays below 100 KB.
	MaxFileSize = 1 << 20
)

// LogLevels are the allowed values of Log.Level.
var LogLevels = []string{"error", "warn", "info", "debug"}

// Settings is the configuration of one daemon that doesn't change while it runs.
type Settings struct {
	// File is the file that the settings were read from; empty if Load didn't read them.
	File string
	// Name identifies the daemon in logs and metrics.
	Name string
	// Service is the service that the backend server beside this daemon provides.
	Service string
	// Region and Zone are where the daemon runs.
	Region string
	Zone   string
	// PeerAddress is the ip:port on which other daemons reach this one over TCP.
	PeerAddress string
	// PeerBind is the ip:port on which the daemon listens for other daemons. It differs from PeerAddress where network
	// address translation lies between them.
	PeerBind string
	// CallAddress is the ip:port of the HTTP listener for callers and for the backend server.
	CallAddress string
	// AdminAddress is the ip:port of the HTTP listener for metrics, state and drain.
	AdminAddress string
	// Backend is the backend server beside the daemon.
	Backend Backend
	// TLS names the files for mutual TLS between daemons. Without these files, connections between daemons are neither
	// encrypted nor authenticated.
	TLS TLS
	// Ingress is set if callers address a request by host and path instead of by service; nil otherwise.
	Ingress *Ingress
	// Bounds are limits that apply to all daemons of the deployment together.
	Bounds Bounds
	// Platform locates the platform's key-value service.
	Platform Platform
	// Peers are the peer addresses of the bootstrap peers, through which the daemon joins the membership. The daemon's own
	// address may be among them, so that all daemons of a zone can share one list.
	Peers []string
	// Calls are the services that the backend server calls.
	Calls []string
	// Telemetry configures the export of trace spans; it is optional.
	Telemetry Telemetry
	Log       Log
	// DrainLimit bounds a graceful shutdown. If the settings give the time after which the process is killed (kill_after),
	// it is at least killMargin below that time.
	DrainLimit time.Duration
	// MemoryMB is the memory limit of the process in MiB; 0 means no limit.
	MemoryMB int
	// MaxFiles is the number of descriptors that the process may open; 0 means as many as the system allows.
	MaxFiles int
}

// Backend describes the backend server beside the daemon.
type Backend struct {
	// URL is the base URL of the backend server on a loopback address, without a path.
	URL string
	// Slots is the number of requests that the backend server runs concurrently. If Announced is set, it is 1, and
	// the heartbeats carry the actual number.
	Slots int
	// Connections is the number of connections that the backend server accepts; at least Slots.
	Connections int
	// Announced means that the backend server announces itself by heartbeats, which also carry the number of its slots.
	Announced bool
}

// Ingress holds the ip:port addresses of three HTTP listeners: Address for callers that address requests by host and
// path, ReadyAddress for the readiness check, and AnnounceAddress for the heartbeats of the backend server.
type Ingress struct {
	Address, ReadyAddress, AnnounceAddress string
}

// Bounds are limits that apply to all daemons of a deployment together.
type Bounds struct {
	// RetryRatio and RetrySlack bound the retries of requests to one service in each RetryWindow. Allowed are RetryRatio,
	// from 0 to 1, times the number of its requests, plus RetrySlack retries.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow time.Duration
}

// TLS names PEM files. Load makes relative names relative to the settings file.
type TLS struct {
	Certificate string
	Key         string
	// Authority names the file with the CA certificates that sign the peers' certificates.
	Authority string
}

// Configured reports whether any file is named.
func (t TLS) Configured() bool {
	return t != (TLS{})
}

// Platform locates the platform's key-value service.
type Platform struct {
	URLs []string
}

// Telemetry configures the export of trace spans.
type Telemetry struct {
	// OTLPURL is the endpoint of the collector; empty turns the export off.
	OTLPURL string
}

// Log configures the log.
type Log struct {
	// Level is one of LogLevels.
	Level string
}
