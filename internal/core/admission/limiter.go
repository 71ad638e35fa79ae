package admission

import "time"

const (
	// A measurement window is complete at fullWindowSamples samples and at least fullWindowSlotUses samples per slot of
	// the limit. 100 exponentially distributed samples give the mean with a standard error of 10%. A window counts only
	// requests that start and end in it, which favors short ones unless each slot is used several times.
	fullWindowSamples  = 100
	fullWindowSlotUses = 3
	// minWindowDuration is the time before which no window ends.
	minWindowDuration = 100 * time.Millisecond
	// maxWindowDuration is the time at which a window ends with minWindowSamples samples. With fewer it continues,
	// because their mean has too large an error.
	maxWindowDuration = time.Second
	minWindowSamples  = 10

	// maxSelfTimeRatio is the ratio of self time to baseline above which a smaller limit is tried. Queueing inside a
	// healthy backend server may double the self time without loss of throughput.
	maxSelfTimeRatio = 2.0
	// trialLimitShare is the limit during a trial, as a share of the concurrency before it.
	trialLimitShare = 0.7
	// minTrialConcurrency is the mean concurrency below which no trial is made. Below 3, trialLimitShare leaves a
	// single slot, which halves the throughput or worse for the two windows of the trial, and important requests would
	// be refused because of it.
	minTrialConcurrency = 3.0
	// limitGrowth is the share by which the limit rises after a window in which it was in demand.
	limitGrowth = 0.05
	// overloadFactor multiplies the limit after a window in which the backend server refused requests for overload.
	overloadFactor = 0.9
	// minLimitShare is the lower bound of the limit, as a share of the configured slots.
	minLimitShare = 0.1
)

// limiter derives the limit on running requests from their self times: the running time less the time spent waiting for
// child calls.
//
// The baseline is the self time at a concurrency that doesn't lengthen it. When self times exceed maxSelfTimeRatio
// times the baseline, the limiter runs a trial with a smaller limit. If the self times fall, concurrency was the cause
// and the smaller limit stays. Otherwise the backend server is slow for another reason: the former limit is restored
// and the measured self time becomes the baseline. Thus an overloaded backend server doesn't raise the baseline, and a
// slow one doesn't lose its limit. The first measurements may come from an overloaded backend server; the baseline that
// they give is verified only when a trial has failed to improve on it. Until then, a limit in demand is reason enough
// for a trial.
type limiter struct {
	slots            int     // upper bound of the limit
	limit            float64 // requests
	baseline         float64 // seconds; zero before the first window
	baselineVerified bool    // a trial has shown that the baseline doesn't depend on concurrency
	lastWindowSlow   bool    // the last window was slow; a second one in succession starts a trial
	window           window
	trial            trial
}

// window holds the measurements of one interval.
type window struct {
	start          time.Time
	samples        int
	selfTimeSum    float64 // seconds
	concurrencySum int     // sum over the samples of the requests running at their start
	overloaded     int     // requests that the backend server refused for overload
	peakRunning    int     // highest number of running requests
	queued         bool    // a request had to wait
}

// means returns the averages over the samples: the self time in seconds and the number of requests running at the start
// of a request.
func (w *window) means() (selfTime, concurrency float64) {
	n := float64(w.samples)
	return w.selfTimeSum / n, float64(w.concurrencySum) / n
}

// trial is the state of an attempt to shorten self times by a smaller limit. It ends at the first window without
// an improvement, or after two with one.
type trial struct {
	active                bool
	improved              bool    // the first window of the trial had shorter self times
	selfTime, concurrency float64 // means of the window before the trial
	formerLimit           float64
}

func newLimiter(slots int) limiter {
	return limiter{slots: slots, limit: float64(slots)}
}

// current returns the limit in whole requests, at least 1.
func (l *limiter) current() int {
	return max(int(l.limit), 1)
}

// setSlots scales the limit to a new number of slots and ends a trial.
func (l *limiter) setSlots(slots int) {
	l.limit *= float64(slots) / float64(l.slots)
	l.slots = slots
	l.trial = trial{}
	l.clamp()
}

// reset restores the full limit and ends a trial.
func (l *limiter) reset() {
	l.limit = float64(l.slots)
	l.trial = trial{}
}

// observe records how many requests run and wait.
func (l *limiter) observe(running, queued int) {
	l.window.peakRunning = max(l.window.peakRunning, running)
	l.window.queued = l.window.queued || queued > 0
}

// sample records the end of a request. Requests that started before the window are not counted, because they ran at
// another concurrency.
func (l *limiter) sample(r runningRequest, s Sample) {
	if s.Overloaded {
		l.window.overloaded++
		return
	}
	if r.startedAt.Before(l.window.start) {
		return
	}
	l.window.samples++
	l.window.selfTimeSum += s.SelfTime.Seconds()
	l.window.concurrencySum += r.concurrency
}

// advance closes the window if it is complete, and starts the next.
func (l *limiter) advance(now time.Time) {
	if l.window.start.IsZero() {
		l.window.start = now
	}
	age := now.Sub(l.window.start)
	if age < minWindowDuration || !l.window.complete(age, l.current()) {
		return
	}
	l.closeWindow()
	l.window = window{start: now}
}

// complete reports whether a window of the given age has enough samples. A single refusal for overload is enough: it
// lowers the limit whatever the samples are.
func (w *window) complete(age time.Duration, limit int) bool {
	enough := max(fullWindowSamples, fullWindowSlotUses*limit)
	return w.overloaded > 0 || w.samples >= enough || (age >= maxWindowDuration && w.samples >= minWindowSamples)
}

// closeWindow updates the limit by the measurements of the window. A refusal for overload lowers the limit and ends a
// trial without restoring the former limit.
func (l *limiter) closeWindow() {
	if l.window.overloaded > 0 {
		l.trial = trial{}
		l.limit *= overloadFactor
		l.clamp()
		return
	}
	selfTime, concurrency := l.window.means()
	if l.trial.active {
		l.endTrial(selfTime, concurrency)
		return
	}
	l.adjust(selfTime, concurrency)
}

// adjust raises a limit that is in demand, or starts a trial after two slow windows in succession.
func (l *limiter) adjust(selfTime, concurrency float64) {
	if l.baseline == 0 || selfTime < l.baseline {
		l.baseline = selfTime
	}
	inDemand := l.window.queued || l.window.peakRunning >= l.current()
	slow := selfTime > maxSelfTimeRatio*l.baseline || (inDemand && !l.baselineVerified)
	// The first slow window also covers time from before the change, so a trial compares with the second one.
	confirmed := slow && l.lastWindowSlow
	l.lastWindowSlow = slow && !confirmed
	switch {
	case confirmed && concurrency < minTrialConcurrency:
		l.baseline = selfTime // too few requests run for their concurrency to be the cause
	case confirmed:
		l.startTrial(selfTime, concurrency)
	case slow: // wait for the next window
	case inDemand:
		l.limit += max(1, l.limit*limitGrowth)
		l.clamp()
	}
}

// startTrial lowers the limit and keeps the means of the last window for comparison.
func (l *limiter) startTrial(selfTime, concurrency float64) {
	l.trial = trial{active: true, selfTime: selfTime, concurrency: concurrency, formerLimit: l.limit}
	l.limit = trialLimitShare * min(l.limit, concurrency)
	l.clamp()
}

// endTrial keeps the smaller limit if, in two windows in succession, the self time fell by at least half as much as in
// proportion to the concurrency. The means of two windows differ by about 14% by chance, so that a single window would
// keep a smaller limit without reason in one of ten trials. Without an improvement it restores the former limit and
// makes the measured self time the verified baseline.
func (l *limiter) endTrial(selfTime, concurrency float64) {
	t := l.trial
	improved := selfTime/t.selfTime <= (1+concurrency/t.concurrency)/2
	if improved && !t.improved {
		l.trial.improved = true
		return
	}
	l.trial = trial{}
	if improved {
		return
	}
	l.limit = t.formerLimit
	l.baseline = selfTime
	l.baselineVerified = true
	l.clamp()
}

// clamp keeps the limit between minLimitShare of the slots, at least 1, and all slots.
func (l *limiter) clamp() {
	floor := max(float64(l.slots)*minLimitShare, 1)
	l.limit = min(max(l.limit, floor), float64(l.slots))
}
