package telemetry

import (
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"

	"guavapoint.example/guavapoint/internal/core/call"
)

const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

func newTelemetry(t *testing.T, cfg Config) *Telemetry {
	tel, err := New(context.Background(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	return tel
}

// Guards against metrics that are missing, have a wrong name or label, or are counted wrongly.
func TestMetricsAreServed(t *testing.T) {
	tel := newTelemetry(t, Config{})
	err := tel.RegisterGauges(func() Gauges {
		return Gauges{Limit: 9, InFlight: 2, Waiting: 1, Cutoff: 5, Members: map[string]int{"serving": 3}, ConfigEpoch: 1, ConfigRevision: 7}
	})
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		tel.RecordCall(Call{
			Service: "lookup", Class: call.ClassHigh, Outcome: call.OutcomeNotRun, Reason: call.ReasonOverload,
			Latency: time.Second, AddedLatency: 300 * time.Microsecond,
		})
	}
	tel.CountRetry("lookup")
	tel.CountRefused(call.ReasonLeaving)
	page := httptest.NewRecorder()
	tel.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`guavapoint_calls_total{class="high",outcome="not-run",reason="overload",service="lookup"} 2`,
		`guavapoint_retries_total{service="lookup"} 1`,
		`guavapoint_refused_total{reason="leaving"} 1`,
		`guavapoint_call_duration_seconds_bucket{service="lookup",le="0.5"} 0`,
		`guavapoint_call_duration_seconds_bucket{service="lookup",le="1"} 2`,
		`guavapoint_added_duration_seconds_bucket{service="lookup",le="0.0002"} 0`,
		`guavapoint_added_duration_seconds_bucket{service="lookup",le="0.00037"} 2`,
		`guavapoint_limit 9`, `guavapoint_in_flight 2`, `guavapoint_waiting 1`, `guavapoint_cutoff_rank 5`,
		`guavapoint_members{state="serving"} 3`, `guavapoint_config_epoch 1`, `guavapoint_config_revision 7`,
	} {
		if !strings.Contains(page.Body.String(), want+"\n") {
			t.Errorf("metrics lack %s:\n%s", want, page.Body)
		}
	}
}

// Guards against spans that are not part of the caller's trace, and spans that are not exported before the shutdown
// ends.
func TestSpansJoinTheTrace(t *testing.T) {
	received := make(chan *collector.ExportTraceServiceRequest, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := gzip.NewReader(r.Body)
		data, _ := io.ReadAll(body)
		m := &collector.ExportTraceServiceRequest{}
		if err := proto.Unmarshal(data, m); err != nil {
			t.Error(err)
		}
		received <- m
	}))
	defer server.Close()
	tel := newTelemetry(t, Config{OTLPURL: server.URL + "/v1/traces"})
	entry := tel.StartSpan("entry", parent, "lookup", call.ClassHigh)
	upstream := tel.StartSpan("upstream", entry.TraceParent(), "lookup", call.ClassHigh)
	if !strings.HasPrefix(upstream.TraceParent(), parent[:36]) || upstream.TraceParent() == entry.TraceParent() {
		t.Fatalf("parent %s, entry %s, upstream %s", parent, entry.TraceParent(), upstream.TraceParent())
	}
	upstream.End(call.OutcomeAnswered, call.ReasonNone)
	entry.End(call.OutcomeAnswered, call.ReasonNone)
	if err := tel.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	if len(received) == 0 {
		t.Fatal("no spans were exported before the end of the shutdown")
	}
	spans := (<-received).ResourceSpans[0].ScopeSpans[0].Spans
	if len(spans) != 2 || string(spans[0].ParentSpanId) != string(spans[1].SpanId) {
		t.Fatalf("spans: %v", spans)
	}
}

// Guards against a failed export that is not reported, or that makes Shutdown return an error.
func TestExportErrorIsReported(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	var reported error
	tel := newTelemetry(t, Config{OTLPURL: server.URL, OnExportError: func(err error) { reported = err }})
	tel.StartSpan("entry", "", "lookup", call.ClassHigh).End(call.OutcomeUnknown, call.ReasonTimeout)
	if err := tel.Shutdown(context.Background()); err != nil || reported == nil {
		t.Fatalf("shutdown: %v, reported: %v", err, reported)
	}
}

// Guards against spans that are recorded although no URL is configured, and a traceparent that is then changed or
// generated.
func TestWithoutURLTraceparentPassesThrough(t *testing.T) {
	tel := newTelemetry(t, Config{})
	for in, want := range map[string]string{parent: parent, "": "", "00-zz": ""} {
		s := tel.StartSpan("entry", in, "lookup", call.ClassHigh)
		s.Event("dispatched", time.Now())
		s.End(call.OutcomeAnswered, call.ReasonNone)
		if got := s.TraceParent(); got != want {
			t.Errorf("traceparent %q became %q", in, got)
		}
	}
	if tel.spans != nil {
		t.Error("spans are recorded")
	}
}
