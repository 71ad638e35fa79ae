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

// Upper limits of the options. They keep a mistyped option from exhausting the machine.
const (
	MaxRate     = 20_000 // requests/s
	MaxCount    = 1_000_000
	MaxInFlight = 10_000
	MaxDuration = 10 * time.Minute
	MaxTimeout  = 10 * time.Minute
	MaxResends  = 10
)

// Options configure one run.
type Options struct {
	// Entries are the call addresses (ip:port) of the entry daemons, used in turn.
	Entries []string
	// Mix holds the operations; each request picks one at random by weight.
	Mix []Operation
	// Rate is the number of requests started per second, independent of the requests in flight.
	Rate float64
	// No requests are started after Duration, or after Count requests (skipped ones included), whichever comes first.
	// 0 means no limit; at least one of them must be set.
	Duration time.Duration
	Count    int
	// MaxInFlight limits the requests in flight. A request that is due at the limit is skipped and counted.
	MaxInFlight int
	// Timeout is the time that each caller waits for one attempt.
	Timeout time.Duration
	// Resends is the largest number of times that a caller resends a request that was not answered.
	Resends int
	// Seed is the seed for picking operations: the same seed and mix give the same sequence. KeyPrefix precedes the
	// index in each request's key; runs that are verified together need different prefixes.
	Seed      uint64
	KeyPrefix string
	// Record receives each Result as a JSON line. It may be nil.
	Record io.Writer
}

// Validate returns an error that lists all options out of range, or nil.
func (o *Options) Validate() error {
	var errs []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	require(len(o.Entries) > 0, "no entry address is given")
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
// report. It returns an error without a report for invalid options, and an error beside the report if a result could
// not be written to the record. Requests that fail are counted in the report and are no error.
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

// runner is the state of one run.
type runner struct {
	options  Options
	client   *client
	inFlight chan struct{} // holds one element per request in flight; its capacity is MaxInFlight
	wg       sync.WaitGroup

	mu        sync.Mutex // guards the fields below and writes to options.Record
	report    *Report
	recordErr error
}

// startRequests starts request n at n/Rate seconds after start, whether or not earlier requests have ended.
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

// startRequest sends request n in a goroutine, or counts it as skipped if MaxInFlight requests are in flight.
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

// add counts a result and writes it to the record. Of several write errors the last one is kept.
func (r *runner) add(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.add(res)
	if r.options.Record == nil {
		return
	}
	if err := json.NewEncoder(r.options.Record).Encode(res); err != nil {
		r.recordErr = fmt.Errorf("write the result of request %q to the record: %w", res.Key, err)
	}
}
