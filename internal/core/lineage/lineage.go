// Package lineage infers to which running request of a backend server one of its calls belongs, where the calls don't
// name it. Without that, a call that an important request depends on can't be told from one of an unimportant request.
//
// Two observations are used:
//
//   - A backend server that makes calls one after the other sends the next one right after the answer to the last one, on
//     the same connection. These calls are a Sequence.
//   - A call expires no later than the request that makes it. Where the caller passes on its own deadline, both are the
//     same up to rounding. Calls of some routes have deadlines of their own, which are near that of a request by chance.
//     They match no more often than with a deadline that is a little earlier.
//
// Which routes are those of calls is learned from the sequences that end right before a request is answered, because that
// request most likely made their calls. Requests from outside arrive among the calls and end right before an answer by
// chance only.
//
// The results can be wrong. They order work and account for retries; no guarantee depends on them.
package lineage

import (
	"slices"
	"time"
)

const (
	// maxEarlier and maxLater bound how much earlier or later than the deadline of a request that of its call is. Each of
	// the two timeouts is rounded down to a millisecond, and the messages take time.
	maxEarlier = 5 * time.Millisecond
	maxLater   = 500 * time.Microsecond
	// sequenceGap is the longest time between the end of a call and what follows it: the next call of its sequence, or the
	// answer to the request that made the calls. A longer one would let chance decide: a busy VM has some hundred requests
	// per second.
	sequenceGap = time.Millisecond
	// minRouteShare is the share of a route's recent sequences that must have ended right before an answer, and
	// sequenceWeight the weight of one sequence in it.
	minRouteShare  = 0.5
	sequenceWeight = 0.1
	// controlShift is the difference to a call's deadline with which matches by chance are counted. It is well above
	// maxEarlier.
	controlShift = 20 * time.Millisecond
	// A route's calls have the deadline of their requests if their share of matches exceeds minMatchFactor times that by
	// chance plus minMatchExcess. matchWeight is the weight of one call in these shares.
	minMatchFactor = 1.5
	minMatchExcess = 0.1
	matchWeight    = 0.05
	// maxRoutes is the number of routes at which all that was learned is dropped. The routes of a configuration change
	// over the life of a daemon.
	maxRoutes = 4096
)

// Request describes a running request.
type Request struct {
	// Started is the time at which the backend server received the request.
	Started time.Time
	// Deadline is the one that the backend server was given.
	Deadline time.Time
}

// Call describes a request that may be a call of a running one.
type Call struct {
	// Route identifies similar calls.
	Route    string
	Deadline time.Time
}

// Sequence is the state of one connection, on which at most one call is in progress at a time. The zero value is ready
// for use with one Matcher.
type Sequence struct {
	route     string
	parent    uint64 // request to which the calls were attributed, 0 if unknown
	completed int    // calls that have succeeded
	waiting   bool   // in Matcher.ended
	startedAt time.Time
	endedAt   time.Time
}

// matchShares are the shares of a route's recent calls that match a request by their deadline, and by chance.
type matchShares struct {
	real, chance float64
}

// Matcher attributes calls to running requests. It is not safe for concurrent use.
type Matcher struct {
	running     map[uint64]Request
	matches     map[string]*matchShares // by route
	routeShares map[string]float64      // share of recent sequences that ended right before an answer, by route
	ended       []*Sequence             // sequences whose call has ended and that may continue, oldest first
}

// NewMatcher returns a Matcher without running requests.
func NewMatcher() *Matcher {
	return &Matcher{
		running:     make(map[uint64]Request),
		matches:     make(map[string]*matchShares),
		routeShares: make(map[string]float64),
	}
}

// Add records that a request is running. The ID isn't 0.
func (m *Matcher) Add(id uint64, r Request) {
	m.running[id] = r
}

// Remove records that a request has been answered. Further calls have no effect.
func (m *Matcher) Remove(now time.Time, id uint64) {
	r, ok := m.running[id]
	if !ok {
		return
	}
	delete(m.running, id)
	m.takeEnded(now, r.Started)
}

// IsCall reports whether the requests of a route are usually calls.
func (m *Matcher) IsCall(route string) bool {
	return m.routeShares[route] >= minRouteShare
}

// takeEnded removes the sequence whose call ended last, if that was within sequenceGap, and counts it as one of calls
// unless it began before the request that was answered now.
func (m *Matcher) takeEnded(now, requestStarted time.Time) {
	m.expire(now)
	last := len(m.ended) - 1
	if last < 0 || m.ended[last].startedAt.Before(requestStarted) {
		return
	}
	s := m.ended[last]
	m.ended = m.ended[:last]
	s.waiting, s.completed = false, 0
	m.recordRoute(s.route, 1)
}

// expire removes the sequences whose call ended more than sequenceGap ago.
func (m *Matcher) expire(now time.Time) {
	for len(m.ended) > 0 && now.Sub(m.ended[0].endedAt) > sequenceGap {
		s := m.ended[0]
		s.waiting, s.completed = false, 0
		m.recordRoute(s.route, 0)
		m.ended = m.ended[1:]
	}
}

// Begin records the start of a call on the connection of s. completed is the number of calls of the same sequence that
// have succeeded before. parent is the ID of the request to which the call most likely belongs, 0 if that can't be told.
func (m *Matcher) Begin(now time.Time, s *Sequence, c Call) (parent uint64, completed int) {
	m.expire(now)
	m.forget(s)
	if s.completed > 0 && (s.parent == 0 || m.isRunning(s.parent)) {
		return s.parent, s.completed
	}
	*s = Sequence{route: c.Route, startedAt: now}
	candidate := m.matchDeadline(c.Deadline)
	m.recordMatch(c, candidate != 0)
	if m.IsCall(c.Route) && m.inherits(c.Route) {
		s.parent = candidate
	}
	return s.parent, 0
}

func (m *Matcher) isRunning(id uint64) bool {
	_, ok := m.running[id]
	return ok
}

// End records the end of the call on the connection of s. One that didn't succeed ends the sequence, because the request
// that made it has most likely failed.
func (m *Matcher) End(now time.Time, s *Sequence, succeeded bool) {
	m.expire(now)
	s.endedAt = now
	if succeeded {
		s.completed++
	} else {
		s.completed = 0
	}
	s.waiting = true
	m.ended = append(m.ended, s)
}

// forget removes a sequence that continues from the list of ended ones.
func (m *Matcher) forget(s *Sequence) {
	if !s.waiting {
		return
	}
	s.waiting = false
	m.ended = slices.DeleteFunc(m.ended, func(e *Sequence) bool { return e == s })
}

// matchDeadline returns the request whose deadline is nearest to that of a call, or 0 if none is near enough.
func (m *Matcher) matchDeadline(deadline time.Time) uint64 {
	nearestID, nearest := uint64(0), time.Duration(0)
	for id, r := range m.running {
		if !sameDeadline(r.Deadline, deadline) {
			continue
		}
		diff := r.Deadline.Sub(deadline).Abs()
		if nearestID == 0 || diff < nearest || (diff == nearest && id < nearestID) {
			nearestID, nearest = id, diff
		}
	}
	return nearestID
}

// sameDeadline reports whether a call may have inherited its deadline from a request.
func sameDeadline(request, call time.Time) bool {
	earlier := request.Sub(call)
	return earlier <= maxEarlier && earlier >= -maxLater
}

// recordMatch updates how often calls of a route match a request, and how often they would by chance: with a deadline
// that is controlShift earlier.
func (m *Matcher) recordMatch(c Call, matched bool) {
	s := m.matches[c.Route]
	if s == nil {
		s = &matchShares{}
		m.matches[c.Route] = s
	}
	s.real += matchWeight * (indicator(matched) - s.real)
	byChance := m.matchDeadline(c.Deadline.Add(-controlShift)) != 0
	s.chance += matchWeight * (indicator(byChance) - s.chance)
}

// indicator returns 1 for true and 0 for false.
func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// inherits reports whether calls of a route have the deadline of the request that makes them clearly more often than by
// chance.
func (m *Matcher) inherits(route string) bool {
	s := m.matches[route]
	return s != nil && s.real > minMatchFactor*s.chance+minMatchExcess
}

// recordRoute updates the share of a route by a sequence: 1 if it ended right before an answer, otherwise 0.
func (m *Matcher) recordRoute(route string, value float64) {
	if len(m.routeShares) >= maxRoutes {
		clear(m.routeShares)
		clear(m.matches)
	}
	m.routeShares[route] += sequenceWeight * (value - m.routeShares[route])
}
