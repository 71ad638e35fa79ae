// Package route decides which service a request goes to: it matches the host and the longest path prefix, and divides
// the requests of a split route among its services. It chooses services only; package routing chooses upstreams.
package route
