// Package load is a load generator that stands in for the callers of a deployment. It sends a mix of calls to the call
// listeners of daemons at a bounded rate, follows the published HTTP interface (tokens, request IDs, outcomes) and
// reports the outcomes that the callers received. Verify compares these with the run logs of the stand-in backend
// servers.
package load
