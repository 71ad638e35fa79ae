package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// BackoffBase is the longest delay before the first retry. It exceeds a round trip within a region (3 ms in the
	// larger deployment), so that a repeated call finds changed conditions.
	BackoffBase = 10 * time.Millisecond
	// BackoffCap bounds the delay, so that three retries fit into the default timeout of 2 s.
	BackoffCap = 500 * time.Millisecond
)

// Backoff returns the delay before retry number attempt, counted from 1: a random duration between half of the
// exponential step and the whole of it. The random half keeps callers from repeating in step.
func Backoff(attempt int, rng *rand.Rand) time.Duration {
	step := BackoffBase
	for i := 1; i < attempt && step < BackoffCap; i++ {
		step *= 2
	}
	step = min(step, BackoffCap)
	return step/2 + time.Duration(rng.Int64N(int64(step/2)+1))
}
