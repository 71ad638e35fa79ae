package daemon

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/failrate"
)

// failures is a failrate.Meter of the backend server that is safe for concurrent use.
type failures struct {
	now func() time.Time

	mu    sync.Mutex
	meter failrate.Meter
}

// ended counts the end of a request that was handed to the backend server. One that its caller has given up says nothing.
func (f *failures) ended(ctx context.Context, res *result) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.meter.Ended(f.now(), failedAtBackend(res))
}

// failedAtBackend reports whether the backend server gave no answer, refused to run the request or answered with an error.
func failedAtBackend(res *result) bool {
	return res.outcome != call.OutcomeAnswered || res.status >= http.StatusInternalServerError
}

// percent returns the share of failed requests in percent.
func (f *failures) percent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int(100 * f.meter.Share(f.now()))
}
