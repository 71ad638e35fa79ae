package admission

import "time"

const (
	// windowSamples, windowTurns and the two durations bound one measurement window. 100 exponentially distributed
	// samples give the mean with a standard error of 10%. A window counts only requests that start and end in it, which
	// favors short ones unless each slot is used several times.
	windowSamples = 100
	windowTurns   = 3
	windowMin     = 100 * time.Millisecond
	windowMax     = time.Second
	// leastSamples is what a window needs at windowMax. With fewer it goes on, as their mean says little.
	leastSamples = 10

	// tolerance is the ratio of own time to baseline above which a smaller limit is tried. Queueing inside a healthy
	// backend server may double the own time without loss of throughput.
	tolerance = 2.0
	// trialShare is the part of the present concurrency that a trial allows.
	trialShare = 0.7
	// leastRunning is the mean concurrency below which no trial is made. Below 3, trialShare leaves a single slot, half of
	// the throughput or less for the two windows of the trial, and important requests would be refused for it.
	leastRunning = 3.0
	// growth is the rise of the limit per window in which it was in demand.
	growth = 0.05
	// overloadCut is applied for a window in which the backend server refused requests for overload.
	overloadCut = 0.9
	// floorShare is the part of the configured slots that the limit never falls below.
	floorShare = 0.1
)

// limiter derives the limit on running requests from own times.
//
// The baseline is the own time at a concurrency that doesn't lengthen it. When own times exceed it, a smaller limit is
// tried. If own times fall with it, concurrency was the cause and the smaller limit stays. Otherwise the backend server
// is slow for another reason: the former limit returns and the measured time becomes the baseline. So an overloaded
// backend server doesn't raise the baseline and a slow one doesn't lose its limit. The first measurements may come from
// an overloaded backend server; they count as baseline only after a trial has failed to improve on them.
type limiter struct {
	max      int
	limit    float64
	baseline float64 // seconds
	verified bool    // a trial has shown that the baseline doesn't depend on concurrency
	slow     bool    // the last window was slow enough for a trial
	window   window
	trial    trial
}

type window struct {
	start      time.Time
	samples    int
	own        float64 // sum in seconds
	running    int     // sum over the samples of the requests running at their start
	overloaded int
	peak       int // running requests
	queued     bool
}

// means returns the averages over the samples: own time in seconds and running requests at the start.
func (w *window) means() (own, running float64) {
	n := float64(w.samples)
	return w.own / n, float64(w.running) / n
}

type trial struct {
	active       bool
	improved     bool    // a window of the trial has shown shorter own times
	own, running float64 // means of the window before
	formerLimit  float64
}

func newLimiter(slots int) limiter {
	return limiter{max: slots, limit: float64(slots)}
}

func (l *limiter) current() int {
	return max(int(l.limit), 1)
}

func (l *limiter) setMax(slots int) {
	l.limit *= float64(slots) / float64(l.max)
	l.max = slots
	l.trial = trial{}
	l.clamp()
}

// reset returns to the full limit.
func (l *limiter) reset() {
	l.limit = float64(l.max)
	l.trial = trial{}
}

// observe records how many requests run and wait.
func (l *limiter) observe(running, queued int) {
	l.window.peak = max(l.window.peak, running)
	l.window.queued = l.window.queued || queued > 0
}

// sample records the end of a request. Requests that started before the window ran at another concurrency and don't
// count.
func (l *limiter) sample(r started, s Sample) {
	if s.Overloaded {
		l.window.overloaded++
		return
	}
	if r.at.Before(l.window.start) {
		return
	}
	l.window.samples++
	l.window.own += s.Own.Seconds()
	l.window.running += r.running
}

// advance closes the window when it is complete.
func (l *limiter) advance(now time.Time) {
	if l.window.start.IsZero() {
		l.window.start = now
	}
	age := now.Sub(l.window.start)
	if age < windowMin || !l.window.complete(age, l.current()) {
		return
	}
	l.close()
	l.window = window{start: now}
}

func (w *window) complete(age time.Duration, limit int) bool {
	enough := max(windowSamples, windowTurns*limit)
	return w.overloaded > 0 || w.samples >= enough || (age >= windowMax && w.samples >= leastSamples)
}

func (l *limiter) close() {
	if l.window.overloaded > 0 {
		l.trial = trial{}
		l.limit *= overloadCut
		l.clamp()
		return
	}
	own, running := l.window.means()
	if l.trial.active {
		l.endTrial(own, running)
		return
	}
	l.adjust(own, running)
}

func (l *limiter) adjust(own, running float64) {
	if l.baseline == 0 || own < l.baseline {
		l.baseline = own
	}
	inDemand := l.window.queued || l.window.peak >= l.current()
	slow := own > tolerance*l.baseline || (inDemand && !l.verified)
	// The first slow window also holds requests from before the change. A trial compares with one that doesn't.
	confirmed := slow && l.slow
	l.slow = slow && !confirmed
	switch {
	case confirmed && running < leastRunning:
		l.baseline = own
	case confirmed:
		l.startTrial(own, running)
	case slow:
	case inDemand:
		l.limit += max(1, l.limit*growth)
		l.clamp()
	}
}

func (l *limiter) startTrial(own, running float64) {
	l.trial = trial{active: true, own: own, running: running, formerLimit: l.limit}
	l.limit = trialShare * min(l.limit, running)
	l.clamp()
}

// endTrial keeps the smaller limit if, in two windows in succession, the own time has come at least half of the way from
// no change to a fall in proportion to the concurrency. The means of two windows differ by about 14% by chance, so that one
// window alone would keep a smaller limit without reason in one trial of ten.
func (l *limiter) endTrial(own, running float64) {
	t := l.trial
	improved := own/t.own <= (1+running/t.running)/2
	if improved && !t.improved {
		l.trial.improved = true
		return
	}
	l.trial = trial{}
	if improved {
		return
	}
	l.limit = t.formerLimit
	l.baseline = own
	l.verified = true
	l.clamp()
}

func (l *limiter) clamp() {
	floor := max(float64(l.max)*floorShare, 1)
	l.limit = min(max(l.limit, floor), float64(l.max))
}
