package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// BackoffBase is the longest delay before the first retry. It exceeds a round trip within a region (3 ms in the
	// larger deployment), so that conditions can have changed when the call is retried.
	BackoffBase = 10 * time.Millisecond
	// BackoffCap is the maximum delay. With it, three retries fit into the default timeout of 2 s.
	BackoffCap = 500 * time.Millisecond
)

// Backoff returns the delay before retry number attempt, counted from 1: a random duration between half of the
// exponential step and the whole step. The random half keeps callers from retrying at the same time.
func Backoff(attempt int, rng *rand.Rand) time.Duration {
	step := BackoffBase
	for i := 1; i < attempt && step < BackoffCap; i++ {
		step *= 2
	}
	step = min(step, BackoffCap)
	return step/2 + time.Duration(rng.Int64N(int64(step/2)+1))
}
