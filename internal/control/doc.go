// Package control connects the membership and configuration state machines of a daemon to the platform and to other
// daemons: Publisher writes configurations, Relay connects a zone to the others, ConfigSync brings configurations to
// the daemon. All of them work behind small interfaces and take the time from a function.
package control

// Keys in the platform's service.
const (
	ConfigKey    = "guavapoint/config"
	relaysPrefix = "guavapoint/relays/"
	zonesPrefix  = "guavapoint/zones/"
)
