// Package experiment measures the overload decisions of the core in simulated time.
//
// Backend servers, the network between zones and the link between regions are simple models; the packages admission,
// retry and routing are the real ones. The same load also runs against a naive system with FIFO queues, retries at each
// hop and no load shedding. All random values come from one seed, so that a run can be repeated exactly.
//
// The model leaves out what a cluster simulator has: membership changes reach all daemons at once, no message is lost
// and connections cost nothing.
package experiment
