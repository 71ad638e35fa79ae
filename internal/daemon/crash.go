package daemon

import (
	"sync"
	"sync/atomic"

	"guavapoint.example/guavapoint/internal/core/quarantine"
)

// crashDetector distinguishes a crash of the backend server from the loss of a single connection, and reports each
// crash once, with all requests that were in flight. It is safe for concurrent use.
type crashDetector struct {
	reachable func() bool // reports whether the backend server accepts connections
	onCrash   func(inFlight []quarantine.Fingerprint)
	checkMu   sync.Mutex // held during a check, so that checks run one after the other

	mu         sync.Mutex
	generation uint64 // number of crashes so far
	inFlight   map[*inFlightRequest]struct{}
}

// inFlightRequest is a request that has been passed to the backend server.
type inFlightRequest struct {
	detector    *crashDetector
	fingerprint quarantine.Fingerprint
	dispatched  *atomic.Bool // false if the request is known not to have been sent
	generation  uint64       // of the detector when the request was added
}

func newCrashDetector(reachable func() bool, onCrash func([]quarantine.Fingerprint)) *crashDetector {
	return &crashDetector{reachable: reachable, onCrash: onCrash, inFlight: make(map[*inFlightRequest]struct{})}
}

// add starts tracking a request, until remove is called.
func (d *crashDetector) add(fp quarantine.Fingerprint, dispatched *atomic.Bool) *inFlightRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &inFlightRequest{detector: d, fingerprint: fp, dispatched: dispatched, generation: d.generation}
	d.inFlight[r] = struct{}{}
	return r
}

// remove stops tracking the request. For a request without a response it is called after lostToCrash has returned, so
// that a check on behalf of another request still counts this one among those in flight.
func (r *inFlightRequest) remove() {
	r.detector.mu.Lock()
	defer r.detector.mu.Unlock()
	delete(r.detector.inFlight, r)
}

// lostToCrash reports whether the backend server crashed while the request was in flight. All requests that were in
// flight at a crash get the same result, and the crash is reported once.
func (r *inFlightRequest) lostToCrash() bool {
	d := r.detector
	d.checkMu.Lock()
	defer d.checkMu.Unlock()
	if d.currentGeneration() != r.generation {
		return true
	}
	if d.reachable() {
		return false
	}
	d.onCrash(d.startGeneration())
	return true
}

func (d *crashDetector) currentGeneration() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.generation
}

// startGeneration starts a new generation and returns the fingerprints of the dispatched requests of the old one.
func (d *crashDetector) startGeneration() []quarantine.Fingerprint {
	d.mu.Lock()
	defer d.mu.Unlock()
	var fingerprints []quarantine.Fingerprint
	for r := range d.inFlight {
		if r.generation == d.generation && r.dispatched.Load() {
			fingerprints = append(fingerprints, r.fingerprint)
		}
	}
	d.generation++
	return fingerprints
}
