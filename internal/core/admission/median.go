package admission

import "time"

const (
	// medianStep is the part of the estimate by which each sample moves it up or down. At 5% the estimate follows a
	// tenfold change within about 50 samples.
	medianStep = 0.05
	// medianHalvingInterval is the time without samples after which the estimate halves. When all requests are refused
	// because of their deadlines, there are no samples, and only time can lower the estimate.
	medianHalvingInterval = time.Second
)

// medianEstimator estimates the median running time of a request, including its child calls.
type medianEstimator struct {
	value      time.Duration // zero before the first sample
	lastUpdate time.Time     // last sample or halving
}

// sample records the running time d of a request that ended at now.
func (m *medianEstimator) sample(now time.Time, d time.Duration) {
	m.lastUpdate = now
	switch {
	case m.value == 0:
		m.value = d
	case d > m.value:
		m.value += time.Duration(float64(m.value)*medianStep) + 1
	default:
		m.value -= time.Duration(float64(m.value) * medianStep)
	}
}

// advance halves the estimate for each medianHalvingInterval that has passed without a sample.
func (m *medianEstimator) advance(now time.Time) {
	for m.value > 0 && now.Sub(m.lastUpdate) > medianHalvingInterval {
		m.value /= 2
		m.lastUpdate = m.lastUpdate.Add(medianHalvingInterval)
	}
}
