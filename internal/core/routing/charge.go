package routing

import (
	"errors"
	"fmt"
	"time"
)

// ErrLinkBudget is what every *LinkBudgetError matches.
var ErrLinkBudget = errors.New("byte budget of the region link exhausted")

// LinkBudgetError reports that only an upstream in another region can serve a call, and that the byte budget of the
// region link doesn't allow it. The call was not sent.
type LinkBudgetError struct {
	// Upload means that the call is an upload. Its budget is empty if State.UploadDebt is above 0.
	Upload bool
	// Since is the time since which all such calls were refused.
	Since time.Time
	State LinkState
}

// Error implements error.
func (e *LinkBudgetError) Error() string {
	return fmt.Sprintf("%v: balance %d bytes, upload debt %d bytes, since %v", ErrLinkBudget, e.State.Balance,
		e.State.UploadDebt, e.Since)
}

// Is reports whether the target is ErrLinkBudget.
func (e *LinkBudgetError) Is(target error) bool {
	return target == ErrLinkBudget
}

// Charge is the use that one call makes of a Link. Its owner reports the bytes that cross, also after End. It doesn't
// depend on the Picker, so that a call settles even if its upstream was removed. A nil Charge is that of a call that
// stays in the region; its methods do nothing. It is safe for concurrent use.
type Charge struct {
	link   *Link
	upload bool

	// The following fields are guarded by the mutex of the link.
	request  float64 // bytes of the request that are charged and have not crossed
	answer   float64 // bytes of the answer that are charged and have not crossed
	received float64 // bytes of the answer that have crossed
	ended    bool
}

// Sent records that bytes of the request have crossed the link.
func (c *Charge) Sent(now time.Time, bytes int) {
	if c == nil {
		return
	}
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	c.link.refill(now)
	ahead := min(float64(bytes), c.request)
	c.request -= ahead
	c.link.addRequestBytes(c.upload, float64(bytes)-ahead)
}

// Received records that bytes of the answer have crossed the link.
func (c *Charge) Received(now time.Time, bytes int) {
	if c == nil {
		return
	}
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	c.link.refill(now)
	ahead := min(float64(bytes), c.answer)
	c.answer -= ahead
	c.received += float64(bytes)
	c.link.balance -= float64(bytes) - ahead
}

// End records that the call has ended, and returns what was charged in advance and has not crossed. Later calls have no
// effect.
func (c *Charge) End(now time.Time) {
	if c == nil {
		return
	}
	l := c.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	l.refill(now)
	l.inFlight--
	l.returnRequestBytes(c.upload, c.request)
	l.balance = min(l.balance+c.answer, l.burst())
	c.request, c.answer = 0, 0
	// A larger sample would not change how many calls may start together, only for how long later ones are refused.
	l.averageAnswer = movingAverage(l.averageAnswer, min(c.received, l.burst()))
}
