package drain

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testLimit = 10 * time.Second

// Guards against requests that start after Begin, an exit that interrupts a request before the limit, and a shutdown
// that exceeds the limit, is extended by a second Begin, or ends without Begin.
func TestTrackerAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(testLimit)
		now := time.Unix(1_000_000, 0)
		var began time.Time // zero before Begin
		inFlight := 0
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				tracker.Begin(now)
				if began.IsZero() {
					began = now
				}
			},
			"enter": func(t *rapid.T) {
				started := tracker.StartRequest()
				if started != began.IsZero() {
					t.Fatalf("StartRequest returned %v, shutdown began: %v", started, !began.IsZero())
				}
				if started {
					inFlight++
				}
			},
			"leave": func(t *rapid.T) {
				if inFlight == 0 {
					t.Skip("nothing in flight")
				}
				tracker.EndRequest()
				inFlight--
			},
			"clock": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 6).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) {
				want := !began.IsZero() && (inFlight == 0 || now.Sub(began) >= testLimit)
				if tracker.CanExit(now) != want || tracker.InFlight() != inFlight {
					t.Fatalf("can exit: %v, want %v; in flight %d, want %d", tracker.CanExit(now), want, tracker.InFlight(), inFlight)
				}
			},
		})
	})
}
