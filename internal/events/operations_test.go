package events

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// writtenEvents returns the numbers of the events that the daemon's code logs.
func writtenEvents(t *testing.T) map[int]bool {
	catalogue, err := os.ReadFile("catalogue.go")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("../daemon/*.go")
	if err != nil {
		t.Fatal(err)
	}
	var code strings.Builder
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.HasSuffix(name, "_test.go") {
			code.Write(data)
		}
	}
	written := make(map[int]bool)
	for _, m := range regexp.MustCompile(`(?m)^\t(\w+) += (?:define|limited|decision)\((\d+),`).FindAllStringSubmatch(string(catalogue), -1) {
		number, _ := strconv.Atoi(m[2]) // the pattern has digits only
		written[number] = regexp.MustCompile(`events\.` + m[1] + `\b`).MatchString(code.String())
	}
	if len(written) != len(All()) {
		t.Fatalf("%d events were read from the catalogue, want %d", len(written), len(All()))
	}
	return written
}

// Guards against an operations page that refers to an event that no daemon writes.
func TestOperationsPageUsesWrittenEvents(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	written := writtenEvents(t)
	cited := 0
	for _, m := range regexp.MustCompile(`(?m)(?:^|[ |])([1-6]0\d\d)(?:[ ,.;:|]|$)`).FindAllStringSubmatch(string(page), -1) {
		number, _ := strconv.Atoi(m[1]) // the pattern has digits only
		cited++
		if !written[number] {
			t.Errorf("docs/OPERATIONS.md uses event %d, which the daemon doesn't write", number)
		}
	}
	if cited < 20 {
		t.Errorf("only %d events were found on the page", cited)
	}
}
