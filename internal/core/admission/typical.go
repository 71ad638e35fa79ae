package admission

import "time"

const (
	// typicalStep moves the estimate by 5% for each sample, which follows a tenfold change within about 50 samples.
	typicalStep = 0.05
	// typicalIdle is the time without samples after which the estimate halves. When all requests are refused for their
	// deadlines, there are no samples, and only time can lower the estimate.
	typicalIdle = time.Second
)

// typical estimates the median running time of a request, including its child calls.
type typical struct {
	value time.Duration
	last  time.Time
}

func (t *typical) sample(now time.Time, d time.Duration) {
	t.last = now
	switch {
	case t.value == 0:
		t.value = d
	case d > t.value:
		t.value += time.Duration(float64(t.value)*typicalStep) + 1
	default:
		t.value -= time.Duration(float64(t.value) * typicalStep)
	}
}

func (t *typical) advance(now time.Time) {
	for t.value > 0 && now.Sub(t.last) > typicalIdle {
		t.value /= 2
		t.last = t.last.Add(typicalIdle)
	}
}
