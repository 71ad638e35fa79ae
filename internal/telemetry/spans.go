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

// traceParentKey is the name of the W3C Trace Context header.
const traceParentKey = "traceparent"

// startSpans sets up the tracer and the export of its spans to cfg.OTLPURL.
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
		otlptracehttp.WithCompression(otlptracehttp.GzipCompression), // traffic between regions is billed by volume
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

// reportingExporter passes export errors to onError, so that the daemon can log them. OpenTelemetry would pass them to
// a global handler.
type reportingExporter struct {
	sdktrace.SpanExporter
	onError func(error)
}

// ExportSpans exports spans. It passes an error to onError and returns nil, so that the global handler isn't called.
func (e *reportingExporter) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	if err := e.SpanExporter.ExportSpans(ctx, spans); err != nil && e.onError != nil {
		e.onError(err)
	}
	return nil
}

// Span is the part of one call that one daemon handles. The methods of a nil *Span do nothing.
type Span struct {
	span   trace.Span // nil if no spans are recorded
	parent string     // the caller's traceparent, used if span is nil
}

// StartSpan starts a span for one hop of a call. name is the role of the daemon, for example "entry" or "upstream".
// traceparent is the W3C header value from the caller; an empty or malformed value starts a new trace. service is the
// called service.
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

// Event adds an event to the span, for example "retry" or "dispatched".
func (s *Span) Event(name string, at time.Time) {
	if s != nil && s.span != nil {
		s.span.AddEvent(name, trace.WithTimestamp(at))
	}
}

// End ends the span with the call's outcome and reason. Every outcome but an answer sets the error status.
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

// encodeTraceParent returns the W3C header value of the context's span, or "" if it has none.
func encodeTraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceParentKey]
}
