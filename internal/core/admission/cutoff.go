package admission

import (
	"math"
	"slices"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

const (
	// cutoffWindow is the time between two changes of the cutoff. Responses carry it to the callers, so it is longer
	// than a round trip between regions (60 ms).
	cutoffWindow = 100 * time.Millisecond
	// cutoffSamples is the number of offered ranks kept per window; the cutoff is exact to 1/512 of the offered load.
	cutoffSamples = 512
	// cutoffDeviations is the excess of offered over admitted requests that the cutoff aims at, in standard deviations
	// of the number admitted in a window (its square root, as for random arrivals). It keeps all slots in use at any
	// number per window and shows that the overload continues.
	cutoffDeviations = 5
	// cutoffStep is the part of the class's rank range that the first step down covers. Steps double while there is no
	// overload, so that the cutoff crosses all classes within ten windows.
	cutoffStep = call.Rank(1) << 24 / 128
)

// cutoff finds the rank at which the requests above it fill the upstream.
type cutoff struct {
	value call.Rank
	step  call.Rank
	start time.Time

	offers, above, admissions, sheds int
	highestShed                      call.Rank
	ranks                            []call.Rank // of requests at or above value
}

func (c *cutoff) offered(r call.Rank) {
	c.offers++
	if r < c.value {
		return // a probe, or sent before the caller had the hint
	}
	c.above++
	if len(c.ranks) < cutoffSamples {
		c.ranks = append(c.ranks, r)
		return
	}
	c.ranks[c.above%cutoffSamples] = r
}

func (c *cutoff) admitted() { c.admissions++ }

func (c *cutoff) shed(r call.Rank) {
	c.sheds++
	c.highestShed = max(c.highestShed, r)
}

// advance moves the cutoff once for each elapsed window.
func (c *cutoff) advance(now time.Time, idle bool) {
	if c.start.IsZero() {
		c.start = now
	}
	for now.Sub(c.start) >= cutoffWindow {
		c.move(idle)
		c.reset()
		c.start = c.start.Add(cutoffWindow)
		if c.value == 0 && now.Sub(c.start) >= cutoffWindow {
			c.start = now
		}
	}
}

func (c *cutoff) move(idle bool) {
	target := float64(c.admissions) + cutoffDeviations*math.Sqrt(float64(c.admissions))
	switch {
	case c.sheds > 0 && float64(c.above) > target:
		c.raise(target)
	case c.sheds == 0 && idle, float64(c.above) < float64(c.admissions):
		c.lower()
	default:
		c.step = 0
	}
}

// raise moves the cutoff half of the way to the rank above which the offered requests match the target, as the number
// offered in one window is noisy. It never exceeds what was shed, so that callers refuse no class that this daemon
// doesn't refuse.
func (c *cutoff) raise(target float64) {
	slices.Sort(c.ranks)
	drop := int((1 - target/float64(c.above)) * float64(len(c.ranks)))
	candidate := c.ranks[min(max(drop, 0), len(c.ranks)-1)]
	candidate = min(candidate, c.highestShed+1)
	c.value += (max(candidate, c.value) - c.value) / 2
	c.step = 0
}

func (c *cutoff) lower() {
	c.step = max(2*c.step, cutoffStep)
	c.value -= min(c.value, c.step)
}

func (c *cutoff) reset() {
	c.offers, c.above, c.admissions, c.sheds = 0, 0, 0, 0
	c.highestShed = 0
	c.ranks = c.ranks[:0]
}
