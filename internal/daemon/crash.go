package daemon

import (
	"sync"
	"sync/atomic"

	"guavapoint.example/guavapoint/internal/core/quarantine"
)

// crashDetector tells a backend server that died from a single connection that broke, and reports each death
// once with all requests that were in flight. It is safe for concurrent use.
type crashDetector struct {
	alive    func() bool
	onCrash  func(inFlight []quarantine.Fingerprint)
	checking sync.Mutex // one check at a time

	mu      sync.Mutex
	epoch   uint64
	flights map[*flight]struct{}
}

// flight is a request that the backend server is running.
type flight struct {
	d          *crashDetector
	print      quarantine.Fingerprint
	dispatched *atomic.Bool
	epoch      uint64
}

func newCrashDetector(alive func() bool, onCrash func([]quarantine.Fingerprint)) *crashDetector {
	return &crashDetector{alive: alive, onCrash: onCrash, flights: make(map[*flight]struct{})}
}

func (d *crashDetector) enter(fp quarantine.Fingerprint, dispatched *atomic.Bool) *flight {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &flight{d: d, print: fp, dispatched: dispatched, epoch: d.epoch}
	d.flights[f] = struct{}{}
	return f
}

// leave ends the flight. A flight that was lost leaves after lost has returned, so that the check of another lost flight
// still counts it.
func (f *flight) leave() {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	delete(f.d.flights, f)
}

// lost reports whether the backend server died under the request. All requests that a death takes along get the same
// answer, and the death is reported once.
func (f *flight) lost() bool {
	d := f.d
	d.checking.Lock()
	defer d.checking.Unlock()
	if d.currentEpoch() != f.epoch {
		return true
	}
	if d.alive() {
		return false
	}
	d.onCrash(d.takeFlights())
	return true
}

func (d *crashDetector) currentEpoch() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.epoch
}

// takeFlights starts a new epoch and returns the fingerprints of the dispatched requests of the old one.
func (d *crashDetector) takeFlights() []quarantine.Fingerprint {
	d.mu.Lock()
	defer d.mu.Unlock()
	var prints []quarantine.Fingerprint
	for f := range d.flights {
		if f.epoch == d.epoch && f.dispatched.Load() {
			prints = append(prints, f.print)
		}
	}
	d.epoch++
	return prints
}
