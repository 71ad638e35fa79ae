package retry

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapoint.example/guavapoint/internal/core/call"
)

// tree runs one request over a random call tree and counts its retries. Lost responses return nothing.
type tree struct {
	t       *rapid.T
	calls   int
	retries int
	lost    int
}

func (tr *tree) run(a *Account, depth int) {
	children := rapid.IntRange(0, 3).Draw(tr.t, "children")
	for i := 0; i < children && depth > 0 && tr.calls < 200; i++ {
		tr.child(a, depth)
	}
}

func (tr *tree) child(a *Account, depth int) {
	for {
		tr.calls++
		part := a.Grant()
		child := NewAccount(part)
		tr.run(child, depth-1)
		if rapid.Bool().Draw(tr.t, "lost") {
			tr.lost += child.Left()
		} else {
			a.Return(child.Left())
		}
		if tr.calls >= 200 || !rapid.Bool().Draw(tr.t, "repeat") || !a.Spend() {
			return
		}
		tr.retries++
	}
}

// Guards against retries that multiply at each hop, and against units that are created or vanish: what is left, spent
// and lost with responses adds up to the root's budget.
func TestRetriesAreConservedOverCallTrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 10).Draw(t, "budget")
		root := NewAccount(budget)
		tr := tree{t: t}
		tr.run(root, 5)
		if tr.retries > budget {
			t.Fatalf("%d retries with a budget of %d", tr.retries, budget)
		}
		if sum := root.Left() + tr.retries + tr.lost; sum != budget {
			t.Fatalf("%d left, %d spent, %d lost of %d", root.Left(), tr.retries, tr.lost, budget)
		}
	})
}

// Guards against a peer that returns more than it was lent, and so creates retries.
func TestReturnIsBoundedByGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 10).Draw(t, "n")
		a := NewAccount(n)
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "grant") {
				a.Grant()
			} else {
				a.Return(rapid.IntRange(-5, 20).Draw(t, "unspent"))
			}
			if a.Left() < 0 || a.Left() > n {
				t.Fatalf("%d left of %d", a.Left(), n)
			}
		}
	})
}

// Guards against a grant rule other than "all but one of two or more, otherwise all".
func TestGrantRule(t *testing.T) {
	for _, c := range []struct{ left, part, kept int }{{0, 0, 0}, {1, 1, 0}, {2, 1, 1}, {3, 2, 1}, {9, 8, 1}} {
		a := NewAccount(c.left)
		if part := a.Grant(); part != c.part || a.Left() != c.kept {
			t.Errorf("of %d: granted %d, kept %d; want %d, %d", c.left, part, a.Left(), c.part, c.kept)
		}
	}
}

// Guards against a race in which concurrent child calls spend the same unit.
func TestAccountIsSafeForConcurrentUse(t *testing.T) {
	const budget = 100
	a := NewAccount(budget)
	var wg sync.WaitGroup
	spent := make([]int, 8)
	for i := range spent {
		wg.Go(func() {
			for range 1000 {
				if a.Spend() {
					spent[i]++
				}
				a.Return(a.Grant())
			}
		})
	}
	wg.Wait()
	sum := a.Left()
	for _, n := range spent {
		sum += n
	}
	if sum != budget {
		t.Fatalf("spent and left add up to %d of %d", sum, budget)
	}
}

// Guards against retries of a service at or above the configured share of recent first attempts. The model keeps every
// attempt with its time; buckets may forget up to a tenth of the window earlier.
func TestRatioKeepsRetriesBelowShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		r := NewRatio(RatioConfig{Ratio: share, Window: time.Second})
		now := time.Unix(1000, 0)
		var firsts, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
				r.First(now)
				firsts = append(firsts, now)
				continue
			}
			if !r.Allow(now) {
				continue
			}
			retries = append(retries, now)
			recentFirst := since(firsts, now.Add(-time.Second))
			recentRetries := since(retries, now.Add(-900*time.Millisecond))
			if float64(recentRetries) >= share*float64(recentFirst) {
				t.Fatalf("%d retries for %d first attempts, share %v", recentRetries, recentFirst, share)
			}
		}
	})
}

// Guards against retries of less important classes that leave none to the more important ones.
func TestRatioLeavesRetriesToImportantClasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRatio(RatioConfig{Ratio: DefaultRatio})
		now := time.Unix(1000, 0)
		for range rapid.IntRange(100, 1000).Draw(t, "first attempts") {
			r.First(now)
		}
		class := call.Class(rapid.IntRange(0, call.NumClasses-2).Draw(t, "class"))
		for r.AllowClass(now, class) {
		}
		if !r.AllowClass(now, class+1) {
			t.Fatalf("retries of class %v leave none to %v", class, class+1)
		}
	})
}

// Guards against a burst of less important retries that uses up the whole window, so that critical ones find none when
// first attempts become fewer.
func TestRatioLeavesCriticalRetriesAfterBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRatio(RatioConfig{Ratio: DefaultRatio})
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
				r.First(now)
				for overload && r.AllowClass(now, class) {
				}
			}
			if overload && !r.AllowClass(now, call.ClassCritical) {
				t.Fatalf("no critical retry in second %d of the overload", second-10)
			}
		}
	})
}

func since(times []time.Time, from time.Time) int {
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
	a := NewAccount(DefaultBudget)
	b.ReportAllocs()
	for b.Loop() {
		a.Return(a.Grant())
	}
}

func BenchmarkRatio(b *testing.B) {
	r := NewRatio(RatioConfig{Ratio: DefaultRatio})
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		r.First(now)
		r.Allow(now)
	}
}
