package call

import "strconv"

// MaxRateLimit is the number of requests per second from which on a rate limit limits nothing: one backend server would
// have to serve as many as the whole fleet does at its target size. Smaller numbers fit into an int after a
// multiplication by any queue delay or burst time.
const MaxRateLimit = 1e6

// RateLimit is the number of requests per second that a backend server takes from all daemons together, as it states in
// its responses. The zero value means that it limits nothing. Other values are made by NewRateLimit.
type RateLimit struct {
	limited   bool
	perSecond float64 // from 0 to below MaxRateLimit; 0 if limited is false
}

// NewRateLimit returns the rate limit that a number from outside this process stands for. A number of MaxRateLimit or
// more limits nothing, and neither does one below 0 or NaN, which no backend server means.
func NewRateLimit(perSecond float64) RateLimit {
	if !(perSecond >= 0 && perSecond < MaxRateLimit) { // also true for NaN
		return RateLimit{}
	}
	return RateLimit{limited: true, perSecond: perSecond}
}

// Limited reports whether there is a limit.
func (l RateLimit) Limited() bool { return l.limited }

// PerSecond returns the limit in requests per second, from 0 to below MaxRateLimit. Without a limit it is 0.
func (l RateLimit) PerSecond() float64 { return l.perSecond }

// String returns the limit in requests per second, or "none".
func (l RateLimit) String() string {
	if !l.limited {
		return "none"
	}
	return strconv.FormatFloat(l.perSecond, 'g', 4, 64)
}
