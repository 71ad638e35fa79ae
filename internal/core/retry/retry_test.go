package retry

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapoint.example/guavapoint/internal/core/call"
)

// callTree runs one request over a random call tree and counts its retries. A lost answer returns no retries.
type callTree struct {
	t       *rapid.T
	calls   int
	retries int
	lost    int // unused retries of lost answers
}

func (tr *callTree) run(b *Budget, depth int) {
	children := rapid.IntRange(0, 3).Draw(tr.t, "children")
	for i := 0; i < children && depth > 0 && tr.calls < 200; i++ {
		tr.child(b, depth)
	}
}

func (tr *callTree) child(b *Budget, depth int) {
	for {
		tr.calls++
		part := b.Grant()
		child := NewBudget(part)
		tr.run(child, depth-1)
		if rapid.Bool().Draw(tr.t, "lost") {
			tr.lost += child.Remaining()
		} else {
			b.Return(child.Remaining())
		}
		if tr.calls >= 200 || !rapid.Bool().Draw(tr.t, "repeat") || !b.Spend() {
			return
		}
		tr.retries++
	}
}

// Guards against retries that multiply at each hop, and against retries that are created or vanish: those that remain,
// are spent or are lost with answers add up to the root's budget.
func TestRetriesAreConservedOverCallTrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 10).Draw(t, "budget")
		root := NewBudget(budget)
		tr := callTree{t: t}
		tr.run(root, 5)
		if tr.retries > budget {
			t.Fatalf("%d retries with a budget of %d", tr.retries, budget)
		}
		if sum := root.Remaining() + tr.retries + tr.lost; sum != budget {
			t.Fatalf("%d retries left, %d spent, %d lost, want a sum of %d", root.Remaining(), tr.retries, tr.lost, budget)
		}
	})
}

// Guards against a peer that returns more than it was granted, and so creates retries.
func TestReturnIsBoundedByGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 10).Draw(t, "n")
		b := NewBudget(n)
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "grant") {
				b.Grant()
			} else {
				b.Return(rapid.IntRange(-5, 20).Draw(t, "unused"))
			}
			if b.Remaining() < 0 || b.Remaining() > n {
				t.Fatalf("%d retries left of %d", b.Remaining(), n)
			}
		}
	})
}

// Guards against a grant rule other than: all but one if two or more remain, otherwise all.
func TestGrantRule(t *testing.T) {
	for _, c := range []struct{ left, part, kept int }{{0, 0, 0}, {1, 1, 0}, {2, 1, 1}, {3, 2, 1}, {9, 8, 1}} {
		b := NewBudget(c.left)
		if part := b.Grant(); part != c.part || b.Remaining() != c.kept {
			t.Errorf("budget of %d: granted %d, kept %d; want %d, %d", c.left, part, b.Remaining(), c.part, c.kept)
		}
	}
}

// Guards against a race in which concurrent child calls spend the same retry.
func TestBudgetIsSafeForConcurrentUse(t *testing.T) {
	const budget = 100
	b := NewBudget(budget)
	var wg sync.WaitGroup
	spent := make([]int, 8)
	for i := range spent {
		wg.Go(func() {
			for range 1000 {
				if b.Spend() {
					spent[i]++
				}
				b.Return(b.Grant())
			}
		})
	}
	wg.Wait()
	sum := b.Remaining()
	for _, n := range spent {
		sum += n
	}
	if sum != budget {
		t.Fatalf("spent and left add up to %d of %d", sum, budget)
	}
}

// Guards against retries of a service at or above the configured ratio to recent first attempts. The model keeps every
// attempt with its time; the limiter's buckets may drop attempts earlier, by up to a tenth of the window.
func TestRatioKeepsRetriesBelowShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		r := NewRatioLimiter(RatioLimiterConfig{Ratio: share, Window: time.Second})
		now := time.Unix(1000, 0)
		var firsts, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
				r.RecordFirst(now)
				firsts = append(firsts, now)
				continue
			}
			if !r.Allow(now) {
				continue
			}
			retries = append(retries, now)
			recentFirst := countAfter(firsts, now.Add(-time.Second))
			recentRetries := countAfter(retries, now.Add(-900*time.Millisecond))
			if float64(recentRetries) >= share*float64(recentFirst) {
				t.Fatalf("%d retries for %d first attempts, share %v", recentRetries, recentFirst, share)
			}
		}
	})
}

// Guards against retries of less important classes that leave none to the more important ones.
func TestRatioLeavesRetriesToImportantClasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRatioLimiter(RatioLimiterConfig{Ratio: DefaultRatio})
		now := time.Unix(1000, 0)
		for range rapid.IntRange(100, 1000).Draw(t, "first attempts") {
			r.RecordFirst(now)
		}
		class := call.Class(rapid.IntRange(0, call.NumClasses-2).Draw(t, "class"))
		for r.AllowClass(now, class) {
		}
		if !r.AllowClass(now, class+1) {
			t.Fatalf("retries of class %v leave none to %v", class, class+1)
		}
	})
}

// Guards against a burst of less important retries that uses up what the whole window allows, so that none is left for
// critical requests when first attempts become fewer.
func TestRatioLeavesCriticalRetriesAfterBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRatioLimiter(RatioLimiterConfig{Ratio: DefaultRatio})
		now := time.Unix(1000, 0)
		class := call.Class(rapid.IntRange(0, call.NumClasses-2).Draw(t, "class"))
		fewer := rapid.IntRange(2, 5).Draw(t, "fewer")
		for second := range 30 {
			overload := second >= 10
			for i := range 1000 {
				now = now.Add(time.Millisecond)
				if overload && i%fewer != 0 {
					continue
				}
				r.RecordFirst(now)
				for overload && r.AllowClass(now, class) {
				}
			}
			if overload && !r.AllowClass(now, call.ClassCritical) {
				t.Fatalf("no critical retry in second %d of the overload", second-10)
			}
		}
	})
}

// countAfter returns the number of times after from.
func countAfter(times []time.Time, from time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) {
			n++
		}
	}
	return n
}

// Guards against delays that are zero, exceed the cap or overflow for large attempt numbers.
func TestBackoffBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for attempt := range 100 {
		if d := Backoff(attempt, rng); d < BackoffBase/2 || d > BackoffCap {
			t.Fatalf("attempt %d: %v", attempt, d)
		}
	}
}

func BenchmarkGrantReturn(b *testing.B) {
	budget := NewBudget(DefaultBudget)
	b.ReportAllocs()
	for b.Loop() {
		budget.Return(budget.Grant())
	}
}

func BenchmarkRatio(b *testing.B) {
	r := NewRatioLimiter(RatioLimiterConfig{Ratio: DefaultRatio})
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		r.RecordFirst(now)
		r.Allow(now)
	}
}
