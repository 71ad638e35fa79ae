// Package route selects the service that a request goes to: it matches the host and the longest path prefix, and splits
// the requests of a route among its target services by weight. It selects services only; package routing selects
// upstreams.
package route
