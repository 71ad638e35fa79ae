// Package backend is a stand-in for a backend server. It provides one service as an http.Handler with a bounded number
// of slots, a service time, a cold start, draining, and child calls to services further down the call graph. Its health
// and load endpoints can be configured to report outdated or fixed values. With it, guavapoint can be tried and tested
// without the users' programs.
//
// A run is one execution of a request. The stand-in counts the runs of each request, identified by the header
// X-Request-Key, so that a test can compare the outcomes reported to callers with the runs that took place.
//
// Control endpoints have paths that begin with "/_":
//
//	GET  /_health           state; status 200 while serving and 503 otherwise
//	GET  /_load             number of running and of waiting requests, and of slots
//	GET  /_stats            counters and the number of runs by key; "?key=K" limits the runs to one key
//	POST /_drain            refuses new requests from now on
//	POST /_slow?factor=F    multiplies the service time by F from now on
//
// A Server is safe for concurrent use.
package backend
