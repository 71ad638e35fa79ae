// Package backend is a stand-in for a backend server. It provides one service as an http.Handler with a bounded number
// of slots, a service time, a cold start, draining, misleading health and load endpoints and child calls to deeper
// services, so that guavapoint can be tried and tested without the users' programs.
//
// The stand-in counts how often each request ran, by the header X-Request-Key, so that a test can compare what callers
// were told with what happened.
//
// Control paths begin with "/_":
//
//	GET  /_health           state, 200 while serving and 503 otherwise
//	GET  /_load             running and waiting requests
//	GET  /_stats            counters and runs by key; "?key=K" limits the runs to one key
//	POST /_drain            refuses new requests from now on
//	POST /_slow?factor=F    multiplies the service time by F from now on
//
// A Server is safe for concurrent use.
package backend
