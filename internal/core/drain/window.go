package drain

import "time"

// answerTime is the time between the end of a request and the exit in which its answer is delivered.
const answerTime = 100 * time.Millisecond

// Window is the time that a stopping process has left for requests. The zero Window is that of a process that isn't
// stopping.
type Window struct {
	// LastStart is the time from which on only work that has started before goes on.
	LastStart time.Time
	// Exit is the latest time at which the process ends. Requests that are in flight then are interrupted.
	Exit time.Time
}

// Start describes a request that is about to start.
type Start struct {
	// Deadline is when the request is answered in any case; zero means never.
	Deadline time.Time
	// Expected is a time within which most such requests end; 0 if it is unknown.
	Expected time.Duration
	// Continues means that the request belongs to work that has started: it is a retry, or a call of a running request. Its
	// refusal would waste that work.
	Continues bool
}

// MayStart reports whether a request that starts now ends before the exit, as far as that is known. One that doesn't is
// better refused: its caller can send it elsewhere, whereas the caller of an interrupted one doesn't know whether it ran.
func (w Window) MayStart(now time.Time, s Start) bool {
	if w.Exit.IsZero() {
		return true
	}
	end := w.Exit.Add(-answerTime)
	switch {
	case !s.Deadline.IsZero() && !s.Deadline.After(end):
		return true
	case !s.Continues && !now.Before(w.LastStart):
		return false
	default:
		return !now.Add(s.Expected).After(end)
	}
}
