package daemon

import (
	"sync"
	"sync/atomic"

	"guavapoint.example/guavapoint/internal/core/quarantine"
)

// crashDetector tells a backend server that died from a single connection that broke, and reports each death
// once with all requests that were in flight. It is safe for concurrent use.
type crashDetector struct {
	reachable func() bool
	onCrash   func(inFlight []quarantine.Fingerprint)
	checkMu   sync.Mutex // one check at a time

	mu         sync.Mutex
	generation uint64
	inFlight   map[*inFlightRequest]struct{}
}

// inFlightRequest is a request that the backend server is running.
type inFlightRequest struct {
	detector    *crashDetector
	fingerprint quarantine.Fingerprint
	dispatched  *atomic.Bool
	generation  uint64
}

func newCrashDetector(reachable func() bool, onCrash func([]quarantine.Fingerprint)) *crashDetector {
	return &crashDetector{reachable: reachable, onCrash: onCrash, inFlight: make(map[*inFlightRequest]struct{})}
}

func (d *crashDetector) add(fp quarantine.Fingerprint, dispatched *atomic.Bool) *inFlightRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &inFlightRequest{detector: d, fingerprint: fp, dispatched: dispatched, generation: d.generation}
	d.inFlight[r] = struct{}{}
	return r
}

// remove ends the flight. A flight that was lost leaves after lost has returned, so that the check of another lost flight
// still counts it.
func (r *inFlightRequest) remove() {
	r.detector.mu.Lock()
	defer r.detector.mu.Unlock()
	delete(r.detector.inFlight, r)
}

// lostToCrash reports whether the backend server died under the request. All requests that a death takes along get the same
// answer, and the death is reported once.
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

// startGeneration starts a new epoch and returns the fingerprints of the dispatched requests of the old one.
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
