package daemon

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"
)

const (
	// bodyStallTime is how long nothing of a body may arrive while its request keeps others from running.
	bodyStallTime = 2 * time.Second
	// bodyStallCheckInterval is the interval at which that is checked.
	bodyStallCheckInterval = 250 * time.Millisecond
)

// Causes with which arrivingBody cancels a request.
var (
	errBodyBroken  = errors.New("the request's body broke off")
	errBodyStalled = errors.New("the request's body doesn't arrive, and others wait for its slot")
)

// isBodyFault reports whether a request was canceled for its body.
func isBodyFault(cause error) bool {
	return errors.Is(cause, errBodyBroken) || errors.Is(cause, errBodyStalled)
}

// arrivingBody is a request body that is sent to the backend server while it arrives. The backend server can't finish such a
// request without the rest of its body, but would keep a slot for it until its deadline. So the request is canceled when the
// body breaks off, and when nothing of it arrives while all slots are taken.
type arrivingBody struct {
	io.Reader
	now     func() time.Time
	cancel  context.CancelCauseFunc
	waiting atomic.Pointer[time.Time] // begin of the present read, nil between reads
}

// Read implements io.Reader.
func (b *arrivingBody) Read(p []byte) (int, error) {
	began := b.now()
	b.waiting.Store(&began)
	n, err := b.Reader.Read(p)
	b.waiting.Store(nil)
	if err != nil && err != io.EOF {
		b.cancel(errBodyBroken)
	}
	return n, err
}

// stalled reports whether nothing has arrived for bodyStallTime although it is awaited.
func (b *arrivingBody) stalled() bool {
	began := b.waiting.Load()
	return began != nil && b.now().Sub(*began) >= bodyStallTime
}

// watch cancels the request when its body stalls while slotsTaken returns true, until the context ends.
func (b *arrivingBody) watch(ctx context.Context, slotsTaken func() bool) {
	every(ctx, bodyStallCheckInterval, func() { b.check(slotsTaken) })
}

// check cancels the request if its body stalls while all slots are taken.
func (b *arrivingBody) check(slotsTaken func() bool) {
	if b.stalled() && slotsTaken() {
		b.cancel(errBodyStalled)
	}
}
