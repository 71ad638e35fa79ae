// Package routing chooses the upstream that a call is sent to.
//
// A Picker chooses among the upstreams of one service. It prefers upstreams in the own zone, then in the own region,
// then elsewhere. Among the upstreams of the nearest tier that has room it takes the better of two random ones. It
// leaves out upstreams that fail, that are leaving, or whose cutoff rank is above the request's. Calls to other regions
// are charged to a Link, the daemon's byte budget on the region link, which all pickers of a daemon share.
//
// A Picker is not safe for concurrent use; its owner holds a mutex. It reads no clock and draws random numbers only
// from the source passed to it.
package routing
