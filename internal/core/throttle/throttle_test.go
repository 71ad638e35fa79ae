package throttle

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapoint.example/guavapoint/internal/core/call"
)

// completes reports whether a request that makes the given number of calls completes. The deep service runs calls up to
// its capacity and sheds the rest of the load at random; both are in requests per interval.
func completes(rng *rand.Rand, load, capacity float64, calls int) bool {
	admittedShare := min(capacity/load, 1)
	for range calls {
		if rng.Float64() >= admittedShare {
			return false
		}
	}
	return true
}

// simulate returns the number of whole requests that complete in the second half of the intervals, with or without a
// throttle. demand is in requests per interval. Each request makes four calls to a service that has capacity for the
// calls of 100 requests in an interval.
func simulate(seed uint64, demand, intervals int, throttled bool) int {
	rng := rand.New(rand.NewPCG(seed, seed))
	t := New()
	now := time.Unix(1_800_000_000, 0)
	admitted, completed := float64(demand), 0
	for n := range intervals {
		load := admitted // the calls of an interval see the load of the previous one
		admitted = 0
		for range demand {
			now = now.Add(Interval / time.Duration(demand))
			if throttled && !t.Allow(call.ClassNormal, time.Second, rng.Float64()) {
				continue
			}
			admitted++
			ok := completes(rng, max(load, 1), 100, 4)
			t.Done(now, !ok)
			if ok && n >= intervals/2 {
				completed++
			}
		}
	}
	return completed
}

// Guards against an overload of a deep service in which nearly all whole requests fail although the service could
// complete many of them.
func TestWholeRequestsCompleteUnderDeepOverload(t *testing.T) {
	for _, demand := range []int{200, 300, 500} {
		unthrottled := simulate(1, demand, 40, false)
		got := simulate(1, demand, 40, true)
		if ideal := 100 * 20; got < ideal*6/10 || got < 2*unthrottled {
			t.Errorf("demand %d: %d whole requests, %d without a throttle, ideal %d", demand, got, unthrottled, ideal)
		}
	}
}

// Guards against a throttle that stays closed after the overload, and against one that refuses important requests.
func TestThrottleOpensAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		th := New()
		now := time.Unix(1_800_000_000, 0)
		for range rapid.IntRange(0, 400).Draw(t, "ended") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			th.Done(now, rapid.Bool().Draw(t, "overloaded"))
			if th.AdmitFraction() < minAdmitFraction || th.AdmitFraction() > 1 {
				t.Fatalf("fraction %v is not between minAdmitFraction and 1", th.AdmitFraction())
			}
			if !th.Allow(call.ClassHigh, time.Second, 0.9999) {
				t.Fatal("an important request was refused")
			}
		}
		for range 8 {
			for range minSamples {
				now = now.Add(Interval / minSamples)
				th.Done(now, false)
			}
			now = now.Add(Interval)
			th.Done(now, false)
		}
		if th.AdmitFraction() < 1 {
			t.Fatalf("fraction %v after 8 intervals without failures", th.AdmitFraction())
		}
	})
}

// Guards against a second refusal of callers that come back while first attempts are admitted.
func TestReturningCallersAreAdmittedFirst(t *testing.T) {
	th := New()
	now := time.Unix(1_800_000_000, 0)
	for range 3 * minSamples {
		now = now.Add(Interval / minSamples)
		th.Done(now, true)
	}
	admitted := func(timeout time.Duration) int {
		n := 0
		for i := range 1000 {
			if th.Allow(call.ClassNormal, timeout, float64(i)/1000) {
				n++
			}
		}
		return n
	}
	first, returned := admitted(5*time.Second), admitted(3*time.Second)
	if first >= 1000 || returned < 2*first {
		t.Errorf("%d of 1000 first attempts admitted, %d of those that come back", first, returned)
	}
}

// fleet simulates many entries above one deep service. Each request makes four calls to it in sequence, and the service
// sheds at random the calls that exceed its capacity in a step. Three of ten requests are of an important class.
type fleet struct {
	rng       *rand.Rand
	throttles []*Throttle            // by entry; nil for entries without one
	calls     map[int][]fleetRequest // by the step in which they reach the deep service
	completed [2]int                 // counted requests of the throttled and of the important class
	arrived   [2]int                 // the same
}

type fleetRequest struct {
	entry, class, callsLeft int // class is an index of completed and arrived
}

const (
	fleetStep     = 50 * time.Millisecond
	fleetCapacity = 700 // calls in a step
	fleetCalls    = 4
)

// run simulates steps with a demand relative to the capacity, and counts requests from step countFrom on.
func (f *fleet) run(steps, countFrom int, demand float64) {
	now := time.Unix(1_800_000_000, 0)
	for n := range steps {
		now = now.Add(fleetStep)
		for range int(demand * fleetCapacity / fleetCalls) {
			f.arrive(n, n >= countFrom)
		}
		f.serve(n, now, n >= countFrom)
	}
}

// arrive adds a request at a random entry, which admits or refuses it.
func (f *fleet) arrive(step int, counted bool) {
	r := fleetRequest{entry: f.rng.IntN(len(f.throttles)), callsLeft: fleetCalls}
	class := call.ClassNormal
	if f.rng.Float64() < 0.3 {
		r.class, class = 1, call.ClassCritical
	}
	if counted {
		f.arrived[r.class]++
	}
	if t := f.throttles[r.entry]; t == nil || t.Allow(class, time.Second, f.rng.Float64()) {
		const work = 4 // steps before the first call
		f.calls[step+work] = append(f.calls[step+work], r)
	}
}

// serve runs the calls of a step or sheds them, and reports the ended requests to their throttles.
func (f *fleet) serve(step int, now time.Time, counted bool) {
	calls := f.calls[step]
	delete(f.calls, step)
	admittedShare := min(fleetCapacity/max(float64(len(calls)), 1), 1)
	for _, r := range calls {
		shed := f.rng.Float64() >= admittedShare
		r.callsLeft--
		if !shed && r.callsLeft > 0 {
			f.calls[step+1] = append(f.calls[step+1], r)
			continue
		}
		if t := f.throttles[r.entry]; t != nil && r.class == 0 {
			t.Done(now, shed)
		}
		if !shed && counted {
			f.completed[r.class]++
		}
	}
}

func newFleet(entries int, throttled bool) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(3, 3)), throttles: make([]*Throttle, entries), calls: make(map[int][]fleetRequest)}
	for i := range f.throttles {
		if throttled {
			f.throttles[i] = New()
		}
	}
	return f
}

// Guards against throttles of many entries that oscillate in phase: the number of whole requests stays near what the
// deep service can complete, and important requests complete first, although each entry sees only a part of the load.
func TestFleetSettlesNearCapacity(t *testing.T) {
	for _, entries := range []int{16, 60} {
		for _, demand := range []float64{1.1, 1.3, 1.6, 2.5} {
			f, unthrottled := newFleet(entries, true), newFleet(entries, false)
			f.run(400, 100, demand)
			unthrottled.run(400, 100, demand)
			got := f.completed[0] + f.completed[1]
			ideal := float64(f.arrived[0]+f.arrived[1]) / demand
			if float64(got) < 0.85*ideal || got < unthrottled.completed[0]+unthrottled.completed[1] {
				t.Errorf("%d entries, demand %v: %d whole requests of %.0f", entries, demand, got, ideal)
			}
			if share := float64(f.completed[1]) / float64(f.arrived[1]); share < 0.85 {
				t.Errorf("%d entries, demand %v: %.2f of the important requests complete", entries, demand, share)
			}
		}
	}
}
