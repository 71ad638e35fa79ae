package experiment

import (
	"flag"
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/core/retry"
)

// Guards against figures that differ between two runs with the same seed, and against more retries of a request than
// its retry budget allows.
func TestRunIsDeterministic(t *testing.T) {
	for _, d := range Deployments() {
		c := Case{Demand: 1.5, BaseDemand: 0.05, SlowFactor: 2, AggressiveRetries: true,
			TriggerLength: 500 * time.Millisecond}
		first := Run(d, c, true, 1) // with daemons, seed 1
		if second := Run(d, c, true, 1); first != second {
			t.Errorf("%s: two runs with the same seed differ: %+v, then %+v", d.Name, first, second)
		}
		if first.MaxRetries > retry.DefaultBudget {
			t.Errorf("%s: %d retries of one request, want at most %d", d.Name, first.MaxRetries, retry.DefaultBudget)
		}
	}
}

// seed selects other random arrivals and running times. The goodput ratio of a single case varies by about 0.01 between
// seeds.
var seed = flag.Uint64("experiment.seed", 1, "seed of BenchmarkOverload")

// BenchmarkOverload reports the figures of every case in both deployments, for the system with daemons and for the
// naive system.
func BenchmarkOverload(b *testing.B) {
	for _, d := range Deployments() {
		for _, c := range Cases() {
			b.Run(d.Name+"/"+c.Name, func(b *testing.B) {
				for b.Loop() {
					protected := Run(d, c, true, *seed)
					naive := Run(d, c, false, *seed)
					b.ReportMetric(protected.GoodputRatio, "goodput/ideal")
					b.ReportMetric(naive.GoodputRatio, "naive-goodput/ideal")
					b.ReportMetric(protected.Recovery.Seconds(), "recovery-s")
					b.ReportMetric(naive.Recovery.Seconds(), "naive-recovery-s")
					b.ReportMetric(protected.CriticalShedRatio, "top-class-shed")
					b.ReportMetric(float64(protected.MaxRetries), "retries/request-max")
				}
			})
		}
	}
}
