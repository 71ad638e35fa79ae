package telemetry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"guavapoint.example/guavapoint/internal/core/call"
)

// traceParentKey is the header of the W3C Trace Context recommendation.
const traceParentKey = "traceparent"

func (t *Telemetry) startSpans(ctx context.Context, cfg Config, res *resource.Resource) error {
	timeout := cfg.ExportTimeout
	if timeout <= 0 {
		timeout = DefaultExportTimeout
	}
	ratio := cfg.SampleRatio
	if ratio <= 0 {
		ratio = 1
	}
	exporter, err := otlptracehttp.New(ctx,
		otlptracehttp.WithEndpointURL(cfg.OTLPURL),
		otlptracehttp.WithTimeout(timeout),
		otlptracehttp.WithCompression(otlptracehttp.GzipCompression), // the region link is billed by volume
		// A batch that failed is dropped: retries would delay the batches behind it.
		otlptracehttp.WithRetry(otlptracehttp.RetryConfig{Enabled: false}),
	)
	if err != nil {
		return err
	}
	t.spans = sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(&reportingExporter{SpanExporter: exporter, onError: cfg.OnExportError}),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))),
		sdktrace.WithResource(res),
	)
	t.tracer = t.spans.Tracer(scopeName)
	return nil
}

// reportingExporter hands export errors to the daemon's log. The library's own way is a global handler.
type reportingExporter struct {
	sdktrace.SpanExporter
	onError func(error)
}

// ExportSpans exports spans and reports an error to onError only.
func (e *reportingExporter) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	if err := e.SpanExporter.ExportSpans(ctx, spans); err != nil && e.onError != nil {
		e.onError(err)
	}
	return nil
}

// Span is the part of one call that one daemon handles. The methods of a nil *Span do nothing.
type Span struct {
	span   trace.Span // nil if no spans are recorded
	parent string
}

// StartSpan starts a span for a hop. name says the daemon's part, for example "entry" or "upstream". traceparent is the
// W3C header value of the caller; an empty or malformed one starts a new trace.
func (t *Telemetry) StartSpan(name, traceparent, service string, class call.Class) *Span {
	ctx := propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier{traceParentKey: traceparent})
	if t.tracer == nil {
		return &Span{parent: encodeTraceParent(ctx)}
	}
	_, span := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("guavapoint.target_service", service),
		attribute.String("guavapoint.class", class.String()),
	))
	return &Span{span: span}
}

// TraceParent returns the W3C header value for the next hop. It is empty if no spans are recorded and the caller sent
// no valid traceparent.
func (s *Span) TraceParent() string {
	switch {
	case s == nil:
		return ""
	case s.span == nil:
		return s.parent
	default:
		return encodeTraceParent(trace.ContextWithSpan(context.Background(), s.span))
	}
}

// Event adds a named point in time, for example "retry" or "dispatched".
func (s *Span) Event(name string, at time.Time) {
	if s != nil && s.span != nil {
		s.span.AddEvent(name, trace.WithTimestamp(at))
	}
}

// End finishes the span with the call's outcome.
func (s *Span) End(outcome call.Outcome, reason call.Reason) {
	if s == nil || s.span == nil {
		return
	}
	s.span.SetAttributes(
		attribute.String("guavapoint.outcome", outcome.String()),
		attribute.String("guavapoint.reason", string(reason)),
	)
	if outcome != call.OutcomeAnswered {
		s.span.SetStatus(codes.Error, string(reason))
	}
	s.span.End()
}

func encodeTraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceParentKey]
}
