package config

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/route"
)

const presetText = `{"retry_budget": 3, "retry_ratio": 0.1, "default_timeout": "2s", "slot_share": 1.0,
 "reserved_share": 0.1, "queue_delay": "50ms", "lowest_class": "low", "link_bytes_per_second": 400000,
 "link_upload_share": 0.5}`

const documentText = `{"format": 1, "epoch": 1, "change_id": "c1", "changed_by": "an operator",
 "active_preset": "ordinary",
 "presets": {"ordinary": ` + presetText + `, "peak": ` + presetText + `, "maintenance": ` + presetText + `},
 "services": {"lookup": {"operations": [
  {"name": "lookup", "method": "GET", "path": "/blocks/{id}", "class": "normal", "idempotent": true, "upload": false},
  {"name": "transfer", "method": "GET", "path": "/blocks/{id}/transfer", "class": "critical", "idempotent": false, "upload": false},
  {"name": "all", "method": "GET", "path": "/blocks/all", "class": "low", "idempotent": true, "upload": false},
  {"name": "files", "method": "PUT", "path": "/files/{name...}", "class": "high", "idempotent": true, "upload": true}
 ]}},
 "batches": [{"name": "public", "services": ["lookup"], "contract": {"number": "C-1", "expires": "2027-03-31"}}]}`

func mustParse(t testing.TB, text string) *Document {
	t.Helper()
	d, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a document that changes or becomes invalid when it is encoded and parsed again, for example because
// empty lists are encoded as null, as they once were.
func TestEncodeParseRoundTrip(t *testing.T) {
	empty := strings.Replace(documentText, `["lookup"]`, `[]`, 1)
	empty = strings.Replace(empty, `"services": {`, `"services": {"other": {"operations": []}, `, 1)
	for _, text := range []string{documentText, empty} {
		d := mustParse(t, text)
		b, err := d.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if diff := Diff(d, mustParse(t, string(b))); len(diff) != 0 {
			t.Fatalf("round trip changed %v", diff)
		}
	}
}

// Guards against an invalid document that is accepted, or whose problem is reported without its field.
func TestParseReportsProblem(t *testing.T) {
	for _, c := range []struct{ old, new, field string }{
		{`"format": 1`, `"format": 2`, "format"},
		{`"epoch": 1`, `"epoch": -1`, "epoch"},
		{`"epoch": 1`, `"epoch": 1, "epoch": 2`, "epoch"},
		{`"epoch": 1`, `"epoch": 1, "color": 2`, "color"},
		{`"changed_by": "an operator",`, ``, "changed_by"},
		{`"active_preset": "ordinary"`, `"active_preset": "night"`, "active_preset"},
		{`"retry_ratio": 0.1`, `"retry_ratio": 0.5`, "presets.ordinary.retry_ratio"},
		{`"queue_delay": "50ms"`, `"queue_delay": 50`, "presets.ordinary.queue_delay"},
		{`"default_timeout": "2s"`, `"default_timeout": "2"`, "presets.ordinary.default_timeout"},
		{`"class": "normal"`, `"class": "Normal"`, "services.lookup.operations[0].class"},
		{`"method": "GET"`, `"method": "get"`, "services.lookup.operations[0].method"},
		{`/blocks/{id}"`, `blocks"`, "services.lookup.operations[0].path"},
		{`/blocks/all`, `/blocks/{other}`, "services.lookup.operations[2].path"},
		{`"name": "all"`, `"name": "lookup"`, "services.lookup.operations[2].name"},
		{`["lookup"]`, `["unknown"]`, "batches[0].services[0]"},
		{`["lookup"]`, `["lookup", "lookup"]`, "batches[0].services[1]"},
		{`2027-03-31`, `2027-02-30`, "batches[0].contract.expires"},
		{`"idempotent": true`, `"idempotent": "yes"`, "services.lookup.operations[0].idempotent"},
	} {
		text := strings.Replace(documentText, c.old, c.new, 1)
		_, err := Parse([]byte(text))
		var invalid *InvalidError
		if !errors.As(err, &invalid) {
			t.Errorf("%s -> %s: %v", c.old, c.new, err)
			continue
		}
		p := invalid.Problems[0]
		if len(invalid.Problems) != 1 || p.Field != c.field || p.Found == "" || p.Allowed == "" {
			t.Errorf("%s -> %s: %v", c.old, c.new, invalid)
		}
	}
}

// Guards against a parser that reports only the first problem.
func TestParseReportsAllProblems(t *testing.T) {
	text := strings.NewReplacer(`"class"`, `"klass"`, `"epoch": 1`, `"epoch": 0`).Replace(documentText)
	_, err := Parse([]byte(text))
	var invalid *InvalidError
	if !errors.As(err, &invalid) || len(invalid.Problems) != 9 {
		t.Fatalf("want 1 problem of the epoch and 2 of each operation, got %v", err)
	}
}

// Guards against a request that is matched to another operation and gets its class or idempotence.
func TestOperation(t *testing.T) {
	d := mustParse(t, documentText)
	for path, want := range map[string]string{
		"/blocks/7":               "lookup",
		"/blocks/7?x=/transfer":   "lookup",
		"/blocks/all":             "all",
		"/blocks/%61ll":           "all",
		"/blocks/192.0.2.0%2F24":  "lookup",
		"/blocks/7/transfer":      "transfer",
		"/blocks/7/%74ransfer":    "transfer",
		"/blocks/7%2Ftransfer":    "",
		"/blocks/":                "",
		"/blocks/../blocks/7":     "",
		"/blocks/%2e%2e":          "",
		"/blocks/7%2":             "",
		"/blocks/7/transfer/more": "",
		"blocks/7":                "",
	} {
		op, err := d.MatchOperation("lookup", "GET", path)
		if op.Name != want || (want == "") != errors.Is(err, ErrUnknownOperation) {
			t.Errorf("%s: got %q, %v, want %q", path, op.Name, err, want)
		}
	}
	if op, err := d.MatchOperation("lookup", "PUT", "/files/a/b"); err != nil || op.Name != "files" {
		t.Errorf("rest pattern: %v %v", op, err)
	}
	if _, err := d.MatchOperation("none", "GET", "/"); !errors.Is(err, ErrUnknownService) {
		t.Errorf("unknown service: %v", err)
	}
}

// Guards against contracts that expire at another time than the end of their date in UTC, and against an expired
// contract that raises a class.
func TestEffective(t *testing.T) {
	d := mustParse(t, documentText)
	end := time.Date(2027, 4, 1, 0, 0, 0, 0, time.UTC)
	east := time.FixedZone("east", 5*3600)
	for _, c := range []struct {
		now   time.Time
		class call.Class
		want  call.Class
	}{
		{end.Add(-time.Nanosecond), call.ClassCritical, call.ClassCritical},
		{end, call.ClassCritical, call.ClassNormal},
		{end.In(east), call.ClassCritical, call.ClassNormal},
		{end.Add(-time.Hour).In(east), call.ClassCritical, call.ClassCritical},
		{end, call.ClassLow, call.ClassLow},
	} {
		if got := d.EffectiveClass(c.now, "lookup", Operation{Class: c.class}); got != c.want {
			t.Errorf("at %v: %v became %v, want %v", c.now, c.class, got, c.want)
		}
	}
	if got := d.EffectiveClass(end, "other", Operation{Class: call.ClassHigh}); got != call.ClassHigh {
		t.Errorf("service without contract: %v", got)
	}
}

// Guards against warnings that are missed or repeated, for any interval between checks.
func TestWarningsOncePerThreshold(t *testing.T) {
	d := mustParse(t, documentText)
	last := time.Date(2027, 2, 1, 0, 0, 0, 0, time.UTC)
	var got []int
	end := last.Add(70 * day)
	for now := last; now.Before(end); now = now.Add(7 * time.Hour) {
		for _, w := range d.Warnings(last, now) {
			got = append(got, w.DaysLeft)
		}
		last = now
	}
	if fmt.Sprint(got) != "[30 7 1 -1]" {
		t.Errorf("warnings at %v days left", got)
	}
	if w := d.Warnings(time.Time{}, time.Date(2027, 3, 28, 1, 0, 0, 0, time.UTC)); len(w) != 1 || w[0].DaysLeft != 3 {
		t.Errorf("at a start 3 days before: %v", w)
	}
}

// Guards against differences that are missed, and against false differences when operations change their order.
func TestDiff(t *testing.T) {
	d := mustParse(t, documentText)
	e := d.Clone()
	ops := e.Services["lookup"].Operations
	ops[0], ops[1] = ops[1], ops[0]
	if diff := Diff(d, e); len(diff) != 0 {
		t.Errorf("reordered operations differ: %v", diff)
	}
	ops[1].Class = call.ClassHigh
	e.ActivePresetName = PresetPeak
	want := "[active_preset: ordinary -> peak services.lookup.operations.lookup.class: normal -> high]"
	if got := fmt.Sprint(Diff(d, e)); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Guards against a configuration that returns to an earlier version, for any order of offers.
func TestHolderNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHolder()
		var highest Version
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			v := Version{rapid.Uint64Range(1, 3).Draw(t, "epoch"), rapid.Uint64Range(1, 5).Draw(t, "revision")}
			d := &Document{Epoch: v.Epoch, ChangeID: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "change")}
			before, old := h.Current()
			changed, err := h.Offer(v, d)
			if highest.Less(v) {
				highest = v
			}
			now, current := h.Current()
			refused := v.Less(before) || (v == before && old.ChangeID != d.ChangeID)
			if now != highest || changed != before.Less(v) || (err != nil) != refused {
				t.Fatalf("offer %v after %v: changed %v, err %v, now %v", v, before, changed, err, now)
			}
			if !changed && current != old {
				t.Fatalf("document replaced at version %v", now)
			}
		}
	})
}

// Guards against a document built from another operator's system that peers reject: encoded with its routes, it must
// parse to the same routes.
func TestDefaultDocumentWithRoutesIsValid(t *testing.T) {
	d := Default("operator", "r7")
	d.Services["lookup"] = Service{Operations: []Operation{}}
	d.Routes = []route.Route{{Name: "r-1", Host: "a.example", Prefix: "/x/", Kind: route.Upload, Timeout: 1500 * time.Millisecond,
		TargetLatency: time.Second, MaxAttempts: 2, Priority: 1, Targets: []route.Target{{Service: "lookup", Weight: 90}, {Service: "other", Weight: 10}}}}
	data, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	if got := parsed.MatchRoute("a.example", "/x/1"); got == nil || !reflect.DeepEqual(*got, d.Routes[0]) {
		t.Fatalf("got %+v, want %+v", got, d.Routes[0])
	}
}
