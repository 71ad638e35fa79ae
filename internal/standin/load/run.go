package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds of one run. They keep a mistyped option from exhausting the machine.
const (
	MaxRate     = 20_000 // requests/s
	MaxCount    = 1_000_000
	MaxInFlight = 10_000
	MaxDuration = 10 * time.Minute
	MaxTimeout  = 10 * time.Minute
	MaxResends  = 10
)

// Options describe one run.
type Options struct {
	// Entries are call addresses (ip:port), used in turn.
	Entries []string
	Mix     []Operation
	// Rate is the number of requests started per second, whether or not earlier ones have ended.
	Rate float64
	// Duration or Count ends the run; where both are set, the first to be reached.
	Duration time.Duration
	Count    int
	// MaxInFlight bounds the requests at once. Requests beyond it are counted as skipped.
	MaxInFlight int
	// Timeout is the time that each caller waits for one attempt.
	Timeout time.Duration
	// Resends is the number of times that a caller resends a request that was not answered.
	Resends int
	// Seed fixes the order of operations. KeyPrefix makes the keys of different runs different.
	Seed      uint64
	KeyPrefix string
	// Record receives one JSON line per Result, or is nil.
	Record io.Writer
}

// Validate reports all options out of range.
func (o *Options) Validate() error {
	var errs []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	require(len(o.Entries) > 0, "no entry is given")
	require(o.Rate > 0 && o.Rate <= MaxRate, "rate is %g, allowed is above 0 to %d requests/s", o.Rate, MaxRate)
	require(o.Duration > 0 || o.Count > 0, "neither duration nor count is given")
	require(o.Duration >= 0 && o.Duration <= MaxDuration, "duration is %v, allowed is up to %v", o.Duration, MaxDuration)
	require(o.Count >= 0 && o.Count <= MaxCount, "count is %d, allowed is up to %d", o.Count, MaxCount)
	require(o.MaxInFlight > 0 && o.MaxInFlight <= MaxInFlight, "max-in-flight is %d, allowed is 1 to %d",
		o.MaxInFlight, MaxInFlight)
	require(o.Timeout >= time.Millisecond && o.Timeout <= MaxTimeout, "timeout is %v, allowed is 1ms to %v",
		o.Timeout, MaxTimeout)
	require(o.Resends >= 0 && o.Resends <= MaxResends, "resends is %d, allowed is 0 to %d", o.Resends, MaxResends)
	errs = append(errs, validateMix(o.Mix))
	return errors.Join(errs...)
}

// Run sends requests until the duration or count is reached or ctx ends, waits for those in flight and returns the
// report. The error concerns the options or the record, never the outcomes.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	r := &runner{options: o, client: newClient(o), inFlight: make(chan struct{}, o.MaxInFlight), report: newReport()}
	defer r.client.http.CloseIdleConnections()
	start := time.Now()
	r.startRequests(ctx, start)
	r.wg.Wait()
	r.report.finish(time.Since(start))
	return r.report, r.recordErr
}

type runner struct {
	options  Options
	client   *client
	inFlight chan struct{}
	wg       sync.WaitGroup

	mu        sync.Mutex
	report    *Report
	recordErr error
}

func (r *runner) startRequests(ctx context.Context, start time.Time) {
	o := r.options
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	for n := 0; o.Count == 0 || n < o.Count; n++ {
		offset := time.Duration(float64(n) / o.Rate * float64(time.Second))
		if o.Duration > 0 && offset >= o.Duration {
			return
		}
		sleep(ctx, time.Until(start.Add(offset)))
		if ctx.Err() != nil {
			return
		}
		r.startRequest(ctx, pickOperation(o.Mix, rng), n)
	}
}

func (r *runner) startRequest(ctx context.Context, op Operation, n int) {
	select {
	case r.inFlight <- struct{}{}:
	default:
		r.mu.Lock()
		r.report.Skipped++
		r.mu.Unlock()
		return
	}
	r.wg.Go(func() {
		res := r.client.do(ctx, op, fmt.Sprintf("%s%d", r.options.KeyPrefix, n), n)
		r.add(res)
		<-r.inFlight
	})
}

func (r *runner) add(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.add(res)
	if r.options.Record == nil {
		return
	}
	if err := json.NewEncoder(r.options.Record).Encode(res); err != nil {
		r.recordErr = fmt.Errorf("can't write the record: %w", err)
	}
}
