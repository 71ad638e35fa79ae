package admission

import "time"

const (
	// fullWindowSamples, fullWindowSlotUses and the two durations bound one measurement window. 100 exponentially distributed
	// samples give the mean with a standard error of 10%. A window counts only requests that start and end in it, which
	// favors short ones unless each slot is used several times.
	fullWindowSamples  = 100
	fullWindowSlotUses = 3
	minWindowDuration  = 100 * time.Millisecond
	maxWindowDuration  = time.Second
	// minWindowSamples is what a window needs at maxWindowDuration. With fewer it goes on, as their mean says little.
	minWindowSamples = 10

	// maxSelfTimeRatio is the ratio of own time to baseline above which a smaller limit is tried. Queueing inside a healthy
	// backend server may double the own time without loss of throughput.
	maxSelfTimeRatio = 2.0
	// trialLimitShare is the part of the present concurrency that a trial allows.
	trialLimitShare = 0.7
	// minTrialConcurrency is the mean concurrency below which no trial is made. Below 3, trialLimitShare leaves a single slot, half of
	// the throughput or less for the two windows of the trial, and important requests would be refused for it.
	minTrialConcurrency = 3.0
	// limitGrowth is the rise of the limit per window in which it was in demand.
	limitGrowth = 0.05
	// overloadFactor is applied for a window in which the backend server refused requests for overload.
	overloadFactor = 0.9
	// minLimitShare is the part of the configured slots that the limit never falls below.
	minLimitShare = 0.1
)

// limiter derives the limit on running requests from own times.
//
// The baseline is the own time at a concurrency that doesn't lengthen it. When own times exceed it, a smaller limit is
// tried. If own times fall with it, concurrency was the cause and the smaller limit stays. Otherwise the backend server
// is slow for another reason: the former limit returns and the measured time becomes the baseline. So an overloaded
// backend server doesn't raise the baseline and a slow one doesn't lose its limit. The first measurements may come from
// an overloaded backend server; they count as baseline only after a trial has failed to improve on them.
type limiter struct {
	slots            int
	limit            float64
	baseline         float64 // seconds
	baselineVerified bool    // a trial has shown that the baseline doesn't depend on concurrency
	lastWindowSlow   bool    // the last window was slow enough for a trial
	window           window
	trial            trial
}

type window struct {
	start          time.Time
	samples        int
	selfTimeSum    float64 // sum in seconds
	concurrencySum int     // sum over the samples of the requests running at their start
	overloaded     int
	peakRunning    int // running requests
	queued         bool
}

// means returns the averages over the samples: own time in seconds and running requests at the start.
func (w *window) means() (selfTime, concurrency float64) {
	n := float64(w.samples)
	return w.selfTimeSum / n, float64(w.concurrencySum) / n
}

type trial struct {
	active                bool
	improved              bool    // a window of the trial has shown shorter own times
	selfTime, concurrency float64 // means of the window before
	formerLimit           float64
}

func newLimiter(slots int) limiter {
	return limiter{slots: slots, limit: float64(slots)}
}

func (l *limiter) current() int {
	return max(int(l.limit), 1)
}

func (l *limiter) setSlots(slots int) {
	l.limit *= float64(slots) / float64(l.slots)
	l.slots = slots
	l.trial = trial{}
	l.clamp()
}

// reset returns to the full limit.
func (l *limiter) reset() {
	l.limit = float64(l.slots)
	l.trial = trial{}
}

// observe records how many requests run and wait.
func (l *limiter) observe(running, queued int) {
	l.window.peakRunning = max(l.window.peakRunning, running)
	l.window.queued = l.window.queued || queued > 0
}

// sample records the end of a request. Requests that started before the window ran at another concurrency and don't
// count.
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

// advance closes the window when it is complete.
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

func (w *window) complete(age time.Duration, limit int) bool {
	enough := max(fullWindowSamples, fullWindowSlotUses*limit)
	return w.overloaded > 0 || w.samples >= enough || (age >= maxWindowDuration && w.samples >= minWindowSamples)
}

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

func (l *limiter) adjust(selfTime, concurrency float64) {
	if l.baseline == 0 || selfTime < l.baseline {
		l.baseline = selfTime
	}
	inDemand := l.window.queued || l.window.peakRunning >= l.current()
	slow := selfTime > maxSelfTimeRatio*l.baseline || (inDemand && !l.baselineVerified)
	// The first slow window also holds requests from before the change. A trial compares with one that doesn't.
	confirmed := slow && l.lastWindowSlow
	l.lastWindowSlow = slow && !confirmed
	switch {
	case confirmed && concurrency < minTrialConcurrency:
		l.baseline = selfTime
	case confirmed:
		l.startTrial(selfTime, concurrency)
	case slow:
	case inDemand:
		l.limit += max(1, l.limit*limitGrowth)
		l.clamp()
	}
}

func (l *limiter) startTrial(selfTime, concurrency float64) {
	l.trial = trial{active: true, selfTime: selfTime, concurrency: concurrency, formerLimit: l.limit}
	l.limit = trialLimitShare * min(l.limit, concurrency)
	l.clamp()
}

// endTrial keeps the smaller limit if, in two windows in succession, the own time has come at least half of the way from
// no change to a fall in proportion to the concurrency. The means of two windows differ by about 14% by chance, so that one
// window alone would keep a smaller limit without reason in one trial of ten.
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

func (l *limiter) clamp() {
	floor := max(float64(l.slots)*minLimitShare, 1)
	l.limit = min(max(l.limit, floor), float64(l.slots))
}
