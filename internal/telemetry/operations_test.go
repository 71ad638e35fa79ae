package telemetry

import (
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"testing"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Guards against a metric that docs/OPERATIONS.md lacks, or lists although no daemon has it.
func TestOperationsPageListsMetrics(t *testing.T) {
	tel := newTelemetry(t, Config{})
	if err := tel.RegisterGauges(func() Gauges { return Gauges{Members: map[string]int{"serving": 1}} }); err != nil {
		t.Fatal(err)
	}
	tel.RecordCall(Call{Service: "lookup"})
	tel.CountRetry("lookup")
	tel.CountRefused(call.ReasonLeaving)
	served := httptest.NewRecorder()
	tel.Handler().ServeHTTP(served, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	want := names(`(?m)^# TYPE (guavapoint_\w+) `, served.Body.String())
	got := names("(?m)^\\| `(guavapoint_\\w+)` \\|", string(page))
	if len(want) == 0 || !slices.Equal(got, want) {
		t.Errorf("docs/OPERATIONS.md lists %q, the daemon serves %q", got, want)
	}
}

func names(pattern, text string) []string {
	var list []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		list = append(list, m[1])
	}
	slices.Sort(list)
	return list
}
