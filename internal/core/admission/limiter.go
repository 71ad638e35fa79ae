package admission

import "time"

const (
	// windowSamples and the two durations bound one measurement window. 100 exponentially distributed samples give the
	// mean with a standard error of 10%, a fifth of what slowdown must exceed.
	windowSamples = 100
	windowMin     = 100 * time.Millisecond
	windowMax     = time.Second

	// tolerance is the ratio of own time to baseline above which a smaller limit is tried. Queueing inside a healthy
	// backend server may double the own time without loss of throughput.
	tolerance = 2.0
	// trialShare is the part of the present concurrency that a trial allows.
	trialShare = 0.7
	// trialGain is the ratio of own times below which a trial counts as a success. It lies halfway between an own time
	// that doesn't depend on concurrency (1) and one proportional to it (trialShare).
	trialGain = 0.85
	// growth is the rise of the limit per window in which it was in demand.
	growth = 0.05
	// overloadCut is applied for a window in which the backend server refused requests for overload.
	overloadCut = 0.9
	// floorShare is the part of the configured slots that the limit never falls below.
	floorShare = 0.1
)

// limiter derives the limit on running requests from own times.
//
// The baseline is the own time at low concurrency. When own times exceed it, a smaller limit is tried. If own times fall
// with it, concurrency was the cause and the smaller limit stays. Otherwise the backend server is slow for another
// reason: the former limit returns and the measured time becomes the baseline. So an overloaded backend server doesn't
// raise the baseline and a slow one doesn't lose its limit.
type limiter struct {
	max      int
	limit    float64
	baseline float64 // seconds
	window   window
	trial    trial
}

type window struct {
	start      time.Time
	samples    int
	sum        float64 // seconds
	overloaded int
	peak       int // running requests
	queued     bool
}

type trial struct {
	active    bool
	start     time.Time
	formerOwn float64 // seconds
	former    float64 // limit
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

// observe records how many requests run and wait.
func (l *limiter) observe(running, queued int) {
	l.window.peak = max(l.window.peak, running)
	l.window.queued = l.window.queued || queued > 0
}

// sample records the end of a request that started at the given time. During a trial, requests that started before it
// ran at the former concurrency and don't count.
func (l *limiter) sample(start time.Time, s Sample) {
	if s.Overloaded {
		l.window.overloaded++
		return
	}
	if l.trial.active && start.Before(l.trial.start) {
		return
	}
	l.window.samples++
	l.window.sum += s.Own.Seconds()
}

// advance closes the window when it is complete.
func (l *limiter) advance(now time.Time) {
	if l.window.start.IsZero() {
		l.window.start = now
	}
	age := now.Sub(l.window.start)
	if age < windowMin || (l.window.samples < windowSamples && age < windowMax) {
		return
	}
	l.close(now)
	l.window = window{start: now}
}

func (l *limiter) close(now time.Time) {
	w := l.window
	if w.overloaded > 0 {
		l.trial = trial{}
		l.limit *= overloadCut
		l.clamp()
		return
	}
	if w.samples == 0 {
		return
	}
	own := w.sum / float64(w.samples)
	if l.trial.active {
		l.endTrial(own)
		return
	}
	l.adjust(now, own)
}

func (l *limiter) adjust(now time.Time, own float64) {
	if l.baseline == 0 || own < l.baseline {
		l.baseline = own
	}
	if own > tolerance*l.baseline {
		l.startTrial(now, own)
		return
	}
	if l.window.queued || l.window.peak >= l.current() {
		l.limit += max(1, l.limit*growth)
		l.clamp()
	}
}

func (l *limiter) startTrial(now time.Time, own float64) {
	l.trial = trial{active: true, start: now, formerOwn: own, former: l.limit}
	l.limit = trialShare * min(l.limit, float64(l.window.peak))
	l.clamp()
}

func (l *limiter) endTrial(own float64) {
	t := l.trial
	l.trial = trial{}
	if own <= trialGain*t.formerOwn {
		return
	}
	l.limit = t.former
	l.baseline = own
	l.clamp()
}

func (l *limiter) clamp() {
	floor := max(float64(l.max)*floorShare, 1)
	l.limit = min(max(l.limit, floor), float64(l.max))
}
