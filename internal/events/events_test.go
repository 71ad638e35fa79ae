package events

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	rowStart = regexp.MustCompile(`(?m)^\| *\d`)
	wholeRow = regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| (\S+) \| [^| ][^|]* \| ([^|]*) ?\| [^| ][^|]*?(\\\*)? \|$`)
)

// catalogueRows returns "number|level|name|fields|limited" of each row of docs/events.md.
func catalogueRows(t *testing.T) []string {
	page, err := os.ReadFile("../../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	var rows []string
	for _, m := range wholeRow.FindAllStringSubmatch(string(page), -1) {
		rows = append(rows, fmt.Sprintf("%s|%s|%s|%s|limited %v", m[1], m[2], m[3], strings.TrimSpace(m[4]), m[5] != ""))
	}
	if n := len(rowStart.FindAll(page, -1)); n != len(rows) {
		t.Errorf("%d of %d rows of docs/events.md are incomplete", n-len(rows), n)
	}
	return rows
}

// Guards against an event that docs/events.md lacks, describes differently, or still lists after its removal.
func TestCatalogueMatchesRegistry(t *testing.T) {
	var want []string
	for _, e := range All() {
		fields := strings.Join(e.Fields, ", ")
		want = append(want, fmt.Sprintf("%d|%s|%s|%s|limited %v", e.Number, e.Level, e.Name, fields, e.Limited))
	}
	got := catalogueRows(t)
	for i := range max(len(got), len(want)) {
		if i >= len(got) || i >= len(want) || got[i] != want[i] {
			t.Fatalf("row %d of docs/events.md and the registry differ: %q, want %q", i, got[i:], want[i:])
		}
	}
}

// Guards against two events with one number or name, and fields that overwrite those of every line.
func TestRegistryIsConsistent(t *testing.T) {
	reserved := []string{"event", "name", "level", "msg", "time", "suppressed", "surplus", "daemon", "service", "zone"}
	seen := map[any]bool{}
	for _, e := range All() {
		if seen[e.Number] || seen[e.Name] || e.Number < 1001 || e.Number > 6999 {
			t.Errorf("event %d %s: number or name is taken or out of range", e.Number, e.Name)
		}
		seen[e.Number], seen[e.Name] = true, true
		for i, f := range e.Fields {
			if slices.Contains(reserved, f) || slices.Contains(e.Fields[:i], f) {
				t.Errorf("event %d: field %s is reserved or repeated", e.Number, f)
			}
		}
	}
}

// Guards against lines without an event number, values under the wrong field name, an event that exceeds its rate
// limit, and a lost count of suppressed lines.
func TestLoggerWritesNumberedLines(t *testing.T) {
	var out bytes.Buffer
	l, err := New(&out, "info", map[string]any{"daemon": "d1"})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1_000_000, 0)
	l.clock = func() time.Time { return now }
	l.Log(DrainBegun, "signal", 3, 30*time.Second)
	l.Log(CallFinished, "below the level")
	for range 3 {
		l.Log(ConnectionFailed, "10.0.0.1:1", errors.New("refused"))
	}
	now = now.Add(LimitInterval)
	l.Log(ConnectionFailed, "10.0.0.2:1")
	want := []map[string]any{
		{"event": 1004.0, "name": "drain-begun", "level": "info", "cause": "signal", "in_flight": 3.0, "limit": "30s"},
		{"event": 6001.0, "level": "warning", "address": "10.0.0.1:1", "error": "refused", "suppressed": nil},
		{"event": 6001.0, "address": "10.0.0.2:1", "error": nil, "suppressed": 2.0, "daemon": "d1"},
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != len(want) {
		t.Fatalf("%d lines: %s", len(lines), out.String())
	}
	for i, line := range lines {
		var got map[string]any
		if err := json.Unmarshal([]byte(line), &got); err != nil {
			t.Fatal(err)
		}
		for k, v := range want[i] {
			if got[k] != v {
				t.Errorf("line %d: %s is %v, want %v", i, k, got[k], v)
			}
		}
	}
	if _, err := New(&out, "loud", nil); err == nil {
		t.Error("unknown level accepted")
	}
}
