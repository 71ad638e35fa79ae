package throttle

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapoint.example/guavapoint/internal/core/call"
)

// deepService runs calls up to its capacity in each interval and sheds the rest at random.
func completes(rng *rand.Rand, load, capacity float64, calls int) bool {
	survives := min(capacity/load, 1)
	for range calls {
		if rng.Float64() >= survives {
			return false
		}
	}
	return true
}

// simulate returns the whole requests that complete in the last half of the intervals, with or without a throttle. Each
// request makes four calls to a service with room for the calls of 100 requests in an interval.
func simulate(seed uint64, demand, intervals int, throttled bool) int {
	rng := rand.New(rand.NewPCG(seed, seed))
	t := New()
	now := time.Unix(1_800_000_000, 0)
	passed, completed := float64(demand), 0
	for n := range intervals {
		load := passed // the calls of an interval meet the load of the one before
		passed = 0
		for range demand {
			now = now.Add(Interval / time.Duration(demand))
			if throttled && !t.Allow(call.ClassNormal, time.Second, rng.Float64()) {
				continue
			}
			passed++
			ok := completes(rng, max(load, 1), 100, 4)
			t.Done(now, ok)
			if ok && n >= intervals/2 {
				completed++
			}
		}
	}
	return completed
}

// Guards against an overload of a deep service in which nearly all whole requests fail although it could serve many.
func TestWholeRequestsCompleteUnderDeepOverload(t *testing.T) {
	for _, demand := range []int{200, 300, 500} {
		naive := simulate(1, demand, 40, false)
		got := simulate(1, demand, 40, true)
		if ideal := 100 * 20; got < ideal*6/10 || got < 2*naive {
			t.Errorf("demand %d: %d whole requests, %d without a throttle, ideal %d", demand, got, naive, ideal)
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
			th.Done(now, rapid.Bool().Draw(t, "completed"))
			if th.Pass() < least || th.Pass() > 1 {
				t.Fatalf("fraction %v", th.Pass())
			}
			if !th.Allow(call.ClassHigh, time.Second, 0.9999) {
				t.Fatal("an important request was refused")
			}
		}
		for range 8 {
			for range leastSamples {
				now = now.Add(Interval / leastSamples)
				th.Done(now, true)
			}
			now = now.Add(Interval)
			th.Done(now, true)
		}
		if th.Pass() < 1 {
			t.Fatalf("fraction %v after 8 intervals without failures", th.Pass())
		}
	})
}

// Guards against a second refusal of callers that come back while first attempts pass.
func TestReturningCallersAreAdmittedFirst(t *testing.T) {
	th := New()
	now := time.Unix(1_800_000_000, 0)
	for range 3 * leastSamples {
		now = now.Add(Interval / leastSamples)
		th.Done(now, false)
	}
	admitted := func(wait time.Duration) int {
		n := 0
		for i := range 1000 {
			if th.Allow(call.ClassNormal, wait, float64(i)/1000) {
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
