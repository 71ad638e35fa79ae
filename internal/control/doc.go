// Package control connects the membership and configuration state machines of a daemon to the platform's key-value
// store and to other daemons. Publisher writes configurations to the store. Relay exchanges membership records between
// zones and reads the configuration from the store. ConfigSync receives configurations from the store and from peers
// and puts them into effect. DepartureLog keeps the departures of a daemon's backend server in the store. All of them depend on small interfaces and on an injected clock.
package control

// Keys and key prefixes in the platform's key-value store.
const (
	// ConfigKey holds the configuration that the operator's commands write.
	ConfigKey    = "guavapoint/config"
	relaysPrefix = "guavapoint/relays/" // followed by zone/lease index
	zonesPrefix  = "guavapoint/zones/"  // followed by zone/relay address
	// departuresPrefix is followed by the peer address of a daemon and the hash of a departure.
	departuresPrefix = "guavapoint/departures/"
)
