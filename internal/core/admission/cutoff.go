package admission

import (
	"math"
	"slices"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

const (
	// cutoffWindow is the time between two changes of the cutoff. Responses carry the cutoff to the callers, so the
	// window is longer than a round trip between regions (60 ms).
	cutoffWindow = 100 * time.Millisecond
	// cutoffSamples is the maximum number of offered ranks kept per window; it resolves the cutoff to 1/512 of the
	// offered load.
	cutoffSamples = 512
	// cutoffExcessDeviations is the excess of offered over admitted requests that the cutoff aims at, in standard
	// deviations of the number admitted in a window (its square root, as for random arrivals). The excess keeps all
	// slots in use at any number of requests per window, and shows that the overload continues.
	cutoffExcessDeviations = 5
	// cutoffFirstStep is the first step by which the cutoff falls: 1/128 of the ranks of a class. Steps double while
	// there is no overload, so that the cutoff falls through all classes within ten windows.
	cutoffFirstStep = call.Rank(1) << 24 / 128
)

// cutoff finds the rank above which the offered requests are just enough to keep the upstream's slots in use.
type cutoff struct {
	value       call.Rank // zero means no cutoff
	step        call.Rank // last step down; zero after a window without one
	windowStart time.Time

	// Counts of the current window. offeredAboveCount counts requests at or above value.
	offeredCount, offeredAboveCount, admittedCount, shedCount int
	highestShed                                               call.Rank
	offeredRanks                                              []call.Rank // of requests at or above value
}

// recordOffered counts a request that asked to be started.
func (c *cutoff) recordOffered(r call.Rank) {
	c.offeredCount++
	if r < c.value {
		return // a probe, or sent before the caller received the cutoff
	}
	c.offeredAboveCount++
	if len(c.offeredRanks) < cutoffSamples {
		c.offeredRanks = append(c.offeredRanks, r)
		return
	}
	c.offeredRanks[c.offeredAboveCount%cutoffSamples] = r
}

// recordAdmitted counts a request that was started.
func (c *cutoff) recordAdmitted() { c.admittedCount++ }

// recordShed counts a waiting request that was refused for overload.
func (c *cutoff) recordShed(r call.Rank) {
	c.shedCount++
	c.highestShed = max(c.highestShed, r)
}

// advance adjusts the cutoff once for each elapsed window. While the cutoff is zero, it skips further elapsed windows
// and starts the next one at now. hasFreeSlot means that a request of the lowest class could start.
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

// adjust raises the cutoff if requests were shed and more were offered above it than the target. It lowers the cutoff
// if slots are free and nothing was shed, or if fewer requests were offered above it than were admitted.
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

// raise moves the cutoff halfway to the rank above which the offered requests match the target, because the number
// offered in one window is noisy. It is never raised beyond the rank just above the highest one shed, so that callers
// refuse no class that this daemon doesn't refuse.
func (c *cutoff) raise(target float64) {
	slices.Sort(c.offeredRanks)
	drop := int((1 - target/float64(c.offeredAboveCount)) * float64(len(c.offeredRanks)))
	candidate := c.offeredRanks[min(max(drop, 0), len(c.offeredRanks)-1)]
	candidate = min(candidate, c.highestShed+1)
	c.value += (max(candidate, c.value) - c.value) / 2
	c.step = 0
}

// lower reduces the cutoff by a step that doubles each time.
func (c *cutoff) lower() {
	c.step = max(2*c.step, cutoffFirstStep)
	c.value -= min(c.value, c.step)
}

// reset clears the counts for the next window.
func (c *cutoff) reset() {
	c.offeredCount, c.offeredAboveCount, c.admittedCount, c.shedCount = 0, 0, 0, 0
	c.highestShed = 0
	c.offeredRanks = c.offeredRanks[:0]
}
