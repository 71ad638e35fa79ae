package telemetry

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Bucket boundaries in seconds. Those of the latency range from a lookup within the zone to the longest ordinary
// timeout. Those of the time that the daemon adds include its target of 0.37 ms (docs/design.md, section 1.6).
var (
	latencyBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}
	addedBuckets   = []float64{0.00005, 0.0001, 0.0002, 0.00037, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.05, 0.1}
)

// Call describes one finished call. Service must be a name from the configuration, not one that a caller sent, since
// each combination of labels creates a time series.
type Call struct {
	Service string
	Class   call.Class
	Outcome call.Outcome
	Reason  call.Reason
	// Latency is the time from the arrival of the request to the end of the response.
	Latency time.Duration
	// AddedLatency is the part of Latency that the daemon itself added, without the time in the queue.
	AddedLatency time.Duration
}

// Gauges holds the values of the gauges, which are read at each scrape.
type Gauges struct {
	Limit, InFlight, Waiting int
	// Sent is the number of requests that were sent to the backend server.
	Sent uint64
	// RateLimit is the rate limit that the backend server states. It is exported as infinite while there is none.
	RateLimit call.RateLimit
	Cutoff    call.Rank
	// Members is the number of known daemons by state.
	Members map[string]int
	// ConfigEpoch and ConfigRevision are the version of the configuration in effect.
	ConfigEpoch, ConfigRevision uint64
	// LinkBalance and LinkUploadDebt are the state of the byte budget on the region link, in bytes.
	LinkBalance, LinkUploadDebt int64
	// ClientConnections and ClientBytes are what clients make the daemon hold.
	ClientConnections int
	ClientBytes       int64
}

// instruments are the metrics of one daemon.
type instruments struct {
	meter   metric.Meter
	calls   metric.Int64Counter
	retries metric.Int64Counter
	refused metric.Int64Counter
	latency metric.Float64Histogram
	added   metric.Float64Histogram
	// labels caches label sets, which are costly to build. The keys are a Call with zero durations, a service name
	// (string) or a call.Reason.
	labels sync.Map
}

// create creates all instruments except the gauges, which RegisterGauges creates.
func (i *instruments) create(m metric.Meter) error {
	i.meter = m
	var errs [5]error
	i.calls, errs[0] = m.Int64Counter("calls", metric.WithDescription("Finished calls."))
	i.retries, errs[1] = m.Int64Counter("retries", metric.WithDescription("Retries that this daemon made."))
	i.refused, errs[2] = m.Int64Counter("refused", metric.WithDescription("Calls that this daemon refused."))
	i.latency, errs[3] = m.Float64Histogram("call.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of the request to the end of the response."),
		metric.WithExplicitBucketBoundaries(latencyBuckets...))
	i.added, errs[4] = m.Float64Histogram("added.duration", metric.WithUnit("s"),
		metric.WithDescription("Time that the daemon added to a call."),
		metric.WithExplicitBucketBoundaries(addedBuckets...))
	return errors.Join(errs[:]...)
}

// RecordCall records a finished call.
func (i *instruments) RecordCall(c Call) {
	ctx := context.Background()
	latency, added := c.Latency.Seconds(), c.AddedLatency.Seconds()
	c.Latency, c.AddedLatency = 0, 0
	labels := i.labelSet(c, func() []attribute.KeyValue {
		return []attribute.KeyValue{
			attribute.String("service", c.Service), attribute.String("class", c.Class.String()),
			attribute.String("outcome", c.Outcome.String()), attribute.String("reason", string(c.Reason)),
		}
	})
	i.calls.Add(ctx, 1, labels)
	service := i.serviceLabel(c.Service)
	i.latency.Record(ctx, latency, service)
	i.added.Record(ctx, added, service)
}

// CountRetry counts a retry that this daemon made to the given service.
func (i *instruments) CountRetry(service string) {
	i.retries.Add(context.Background(), 1, i.serviceLabel(service))
}

// CountRefused counts a call that this daemon itself refused.
func (i *instruments) CountRefused(reason call.Reason) {
	i.refused.Add(context.Background(), 1, i.labelSet(reason, func() []attribute.KeyValue {
		return []attribute.KeyValue{attribute.String("reason", string(reason))}
	}))
}

func (i *instruments) serviceLabel(service string) metric.MeasurementOption {
	return i.labelSet(service, func() []attribute.KeyValue {
		return []attribute.KeyValue{attribute.String("service", service)}
	})
}

// labelSet returns the cached label set of a key. On first use it builds and caches the set.
func (i *instruments) labelSet(key any, build func() []attribute.KeyValue) metric.MeasurementOption {
	if known, ok := i.labels.Load(key); ok {
		return known.(metric.MeasurementOption)
	}
	option := metric.WithAttributeSet(attribute.NewSet(build()...))
	i.labels.Store(key, option)
	return option
}

// RegisterGauges creates the gauges and registers f, which returns their values at each scrape. It must be called only
// once. f must be safe for concurrent use.
func (i *instruments) RegisterGauges(f func() Gauges) error {
	var errs []error
	gauge := func(name, description string) metric.Int64ObservableGauge {
		g, err := i.meter.Int64ObservableGauge(name, metric.WithDescription(description))
		errs = append(errs, err)
		return g
	}
	limit := gauge("limit", "Largest number of running requests.")
	inFlight := gauge("in_flight", "Running requests.")
	waiting := gauge("waiting", "Requests in the queue.")
	cutoff := gauge("cutoff_rank", "Rank below which calls are refused; the class is in the top 8 of 32 bits.")
	members := gauge("members", "Known daemons by state.")
	epoch := gauge("config_epoch", "Epoch of the configuration in effect.")
	revision := gauge("config_revision", "Revision of the configuration in effect.")
	linkBalance := gauge("link_balance_bytes", "Byte budget on the region link that may be used at once; negative while it recovers.")
	linkDebt := gauge("link_upload_debt_bytes", "Size of earlier uploads over the region link that delays the next one.")
	clientConnections := gauge("client_connections", "Open connections of clients.")
	clientBytes := gauge("client_held_bytes", "Bytes that connections of clients and requests in flight hold of their budget.")
	rateLimit, err := i.meter.Float64ObservableGauge("rate_limit",
		metric.WithDescription("Requests per second that the backend server takes, by its own statement."))
	errs = append(errs, err)
	sent, err := i.meter.Int64ObservableCounter("sent", metric.WithDescription("Requests sent to the backend server."))
	if err := errors.Join(append(errs, err)...); err != nil {
		return err
	}
	_, err = i.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		g := f()
		o.ObserveInt64(limit, int64(g.Limit))
		o.ObserveInt64(inFlight, int64(g.InFlight))
		o.ObserveInt64(waiting, int64(g.Waiting))
		o.ObserveInt64(cutoff, int64(g.Cutoff))
		o.ObserveInt64(sent, int64(g.Sent))
		perSecond := math.Inf(1)
		if g.RateLimit.Limited() {
			perSecond = g.RateLimit.PerSecond()
		}
		o.ObserveFloat64(rateLimit, perSecond)
		o.ObserveInt64(epoch, int64(g.ConfigEpoch))
		o.ObserveInt64(revision, int64(g.ConfigRevision))
		o.ObserveInt64(linkBalance, g.LinkBalance)
		o.ObserveInt64(linkDebt, g.LinkUploadDebt)
		o.ObserveInt64(clientConnections, int64(g.ClientConnections))
		o.ObserveInt64(clientBytes, g.ClientBytes)
		for state, n := range g.Members {
			o.ObserveInt64(members, int64(n), metric.WithAttributes(attribute.String("state", state)))
		}
		return nil
	}, limit, inFlight, waiting, cutoff, sent, rateLimit, members, epoch, revision, linkBalance, linkDebt,
		clientConnections, clientBytes)
	return err
}
