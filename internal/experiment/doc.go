// Package experiment measures the overload decisions of the core on fake time.
//
// Small fakes stand for backend servers, the network between zones and the link between regions; the packages
// admission, retry and routing are the real ones. The same load is run against a naive system with FIFO queues, retries
// at each hop and no shedding. All randomness comes from a seed, so that a run can be repeated exactly.
//
// It is not a cluster simulator: membership changes reach all daemons at once, no message is lost and connections cost
// nothing.
package experiment
