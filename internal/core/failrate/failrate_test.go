package failrate

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against a failure rate that a single failure raises, and against one that stays high after the server has
// recovered.
func TestFailureRate(t *testing.T) {
	var m Meter
	m.Record(start, true)
	if s := m.FailureRate(start); s != 0 {
		t.Errorf("failure rate %v after one request", s)
	}
	for range 9 {
		m.Record(start, true)
	}
	if s := m.FailureRate(start); s != 1 {
		t.Errorf("failure rate %v after ten failures", s)
	}
	for i := range 40 {
		m.Record(start.Add(time.Duration(i)*100*time.Millisecond), false)
	}
	if s := m.FailureRate(start.Add(4 * time.Second)); s > 0.05 {
		t.Errorf("failure rate %v after four seconds without failures", s)
	}
}

// Guards against weights that drift from their definition: the failure rate equals a direct sum over all requests.
func TestFailureRateAgreesWithNaiveSum(t *testing.T) {
	type sample struct {
		at     time.Time
		failed bool
	}
	rapid.Check(t, func(t *rapid.T) {
		var m Meter
		var all []sample
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap in ms")) * time.Millisecond)
			s := sample{now, rapid.Bool().Draw(t, "failed")}
			all = append(all, s)
			m.Record(now, s.failed)
		}
		var ended, failed float64
		for _, s := range all {
			weight := 1.0
			for age := now.Sub(s.at); age > 0; age -= time.Millisecond {
				weight *= 0.999307092617 // 2 to the power of -1/1000
			}
			ended += weight
			if s.failed {
				failed += weight
			}
		}
		want := failed / ended
		if ended < minWeight {
			want = 0
		}
		if got := m.FailureRate(now); got < want-0.001 || got > want+0.001 {
			t.Fatalf("failure rate %v, want %v", got, want)
		}
	})
}
