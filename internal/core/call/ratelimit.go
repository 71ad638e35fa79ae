package call

import "strconv"

// RateLimit is the number of requests per second that a backend server takes from all daemons together, as it states in
// its responses. The zero value means that it states none.
type RateLimit struct {
	Limited bool
	// PerSecond is 0 or more, and 0 if Limited is false.
	PerSecond float64
}

// String returns the limit in requests per second, or "none".
func (l RateLimit) String() string {
	if !l.Limited {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'g', 4, 64)
}
