// Package telemetry holds a daemon's metrics and trace spans. It hides OpenTelemetry from the rest of the program.
//
// Metrics are served in the Prometheus format. Spans are exported with OTLP over HTTP, and only if a URL is
// configured; otherwise none are recorded, and a caller's traceparent is forwarded unchanged. No global state of
// OpenTelemetry is used, so that several daemons can run in one process.
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

const scopeName = "guavapoint.example/guavapoint/internal/telemetry"

// Config identifies the daemon and configures the export of spans.
type Config struct {
	Daemon, Service, Zone, Region string
	// OTLPURL is the full URL to which spans are posted, for example "http://192.0.2.1:4318/v1/traces". If it is
	// empty, no spans are recorded.
	OTLPURL string
	// SampleRatio is the fraction of requests without a traceparent that are traced, above 0 and up to 1; 0 means 1.
	// A request with a traceparent is traced if the sampled flag in it is set.
	SampleRatio float64
	// ExportTimeout bounds one export; 0 means DefaultExportTimeout.
	ExportTimeout time.Duration
	// OnExportError is called after a failed export, whose spans are dropped. It may be nil.
	OnExportError func(error)
}

// DefaultExportTimeout bounds one export of spans.
const DefaultExportTimeout = 5 * time.Second

// Telemetry records the metrics and spans of one daemon. It is safe for concurrent use.
type Telemetry struct {
	instruments
	meters  *metric.MeterProvider
	spans   *sdktrace.TracerProvider // nil if no spans are recorded
	tracer  trace.Tracer             // nil if no spans are recorded
	handler http.Handler
}

// New returns the telemetry of a daemon. It opens no connection; spans are exported in the background. It returns an
// error when the metrics or the trace exporter can't be set up.
func New(ctx context.Context, cfg Config) (*Telemetry, error) {
	res := resource.NewSchemaless(
		attribute.String("service.name", "guavapoint"),
		attribute.String("service.instance.id", cfg.Daemon),
		attribute.String("guavapoint.service", cfg.Service),
		attribute.String("guavapoint.zone", cfg.Zone),
		attribute.String("guavapoint.region", cfg.Region),
	)
	t := &Telemetry{}
	if err := t.startMetrics(res); err != nil {
		return nil, fmt.Errorf("start metrics: %w", err)
	}
	if cfg.OTLPURL == "" {
		return t, nil
	}
	if err := t.startSpans(ctx, cfg, res); err != nil {
		return nil, fmt.Errorf("start trace export to %q: %w", cfg.OTLPURL, err)
	}
	return t, nil
}

func (t *Telemetry) startMetrics(res *resource.Resource) error {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	exporter, err := otelprometheus.New(
		otelprometheus.WithRegisterer(registry),
		otelprometheus.WithNamespace("guavapoint"),
		otelprometheus.WithoutScopeInfo(),
	)
	if err != nil {
		return err
	}
	t.meters = metric.NewMeterProvider(metric.WithReader(exporter), metric.WithResource(res))
	t.handler = promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	return t.instruments.create(t.meters.Meter(scopeName))
}

// Handler serves the metrics in the Prometheus format.
func (t *Telemetry) Handler() http.Handler {
	return t.handler
}

// Shutdown exports the remaining spans and stops the telemetry. It returns at the latest when ctx ends.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	var err error
	if t.spans != nil {
		err = t.spans.Shutdown(ctx)
	}
	return errors.Join(err, t.meters.Shutdown(ctx))
}
