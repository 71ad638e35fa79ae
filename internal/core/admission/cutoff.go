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
	// cutoffExcessDeviations is the excess of offered over admitted requests that the cutoff aims at, in standard deviations
	// of the number admitted in a window (its square root, as for random arrivals). It keeps all slots in use at any
	// number per window and shows that the overload continues.
	cutoffExcessDeviations = 5
	// cutoffFirstStep is the part of the class's rank range that the first step down covers. Steps double while there is no
	// overload, so that the cutoff crosses all classes within ten windows.
	cutoffFirstStep = call.Rank(1) << 24 / 128
)

// cutoff finds the rank at which the requests above it fill the upstream.
type cutoff struct {
	value       call.Rank
	step        call.Rank
	windowStart time.Time

	offeredCount, offeredAboveCount, admittedCount, shedCount int
	highestShed                                               call.Rank
	offeredRanks                                              []call.Rank // of requests at or above value
}

func (c *cutoff) recordOffered(r call.Rank) {
	c.offeredCount++
	if r < c.value {
		return // a probe, or sent before the caller had the hint
	}
	c.offeredAboveCount++
	if len(c.offeredRanks) < cutoffSamples {
		c.offeredRanks = append(c.offeredRanks, r)
		return
	}
	c.offeredRanks[c.offeredAboveCount%cutoffSamples] = r
}

func (c *cutoff) recordAdmitted() { c.admittedCount++ }

func (c *cutoff) recordShed(r call.Rank) {
	c.shedCount++
	c.highestShed = max(c.highestShed, r)
}

// advance moves the cutoff once for each elapsed window.
func (c *cutoff) advance(now time.Time, hasFreeSlot bool) {
	if c.windowStart.IsZero() {
		c.windowStart = now
	}
	for now.Sub(c.windowStart) >= cutoffWindow {
		c.adjust(hasFreeSlot)
		c.reset()
		c.windowStart = c.windowStart.Add(cutoffWindow)
		if c.value == 0 && now.Sub(c.windowStart) >= cutoffWindow {
			c.windowStart = now
		}
	}
}

func (c *cutoff) adjust(hasFreeSlot bool) {
	target := float64(c.admittedCount) + cutoffExcessDeviations*math.Sqrt(float64(c.admittedCount))
	switch {
	case c.shedCount > 0 && float64(c.offeredAboveCount) > target:
		c.raise(target)
	case c.shedCount == 0 && hasFreeSlot, float64(c.offeredAboveCount) < float64(c.admittedCount):
		c.lower()
	default:
		c.step = 0
	}
}

// raise moves the cutoff half of the way to the rank above which the offered requests match the target, as the number
// offered in one window is noisy. It never exceeds what was shed, so that callers refuse no class that this daemon
// doesn't refuse.
func (c *cutoff) raise(target float64) {
	slices.Sort(c.offeredRanks)
	drop := int((1 - target/float64(c.offeredAboveCount)) * float64(len(c.offeredRanks)))
	candidate := c.offeredRanks[min(max(drop, 0), len(c.offeredRanks)-1)]
	candidate = min(candidate, c.highestShed+1)
	c.value += (max(candidate, c.value) - c.value) / 2
	c.step = 0
}

func (c *cutoff) lower() {
	c.step = max(2*c.step, cutoffFirstStep)
	c.value -= min(c.value, c.step)
}

func (c *cutoff) reset() {
	c.offeredCount, c.offeredAboveCount, c.admittedCount, c.shedCount = 0, 0, 0, 0
	c.highestShed = 0
	c.offeredRanks = c.offeredRanks[:0]
}
