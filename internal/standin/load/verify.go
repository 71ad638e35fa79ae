package load

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// VerifyReport is the result of comparing the outcomes that callers received with the runs of the backend servers.
type VerifyReport struct {
	Requests int `json:"requests"`
	// Runs is the number of runs in all run logs, child calls included.
	Runs int `json:"runs"`
	// UnknownRun and UnknownNotRun count the requests with the outcome "unknown" that ran and that did not.
	UnknownRun    int `json:"unknown_run"`
	UnknownNotRun int `json:"unknown_not_run"`
	// Violations describes each violated guarantee. It is empty, not nil, if there is none: JSON has [] then, not null.
	Violations []string `json:"violations"`
}

// ReadRecord reads the JSON lines that Run wrote to Options.Record.
func ReadRecord(r io.Reader) ([]Result, error) {
	dec := json.NewDecoder(r)
	var results []Result
	for {
		var res Result
		err := dec.Decode(&res)
		if errors.Is(err, io.EOF) {
			return results, nil
		}
		if err != nil {
			return nil, fmt.Errorf("decode result %d of the record: %w", len(results)+1, err)
		}
		results = append(results, res)
	}
}

// RunCounts holds the number of runs by run log line ("METHOD key"), over the run logs of all backend servers. A run
// is one execution of a request by a backend server.
type RunCounts map[string]int

// AddLog adds the runs of one run log. An incomplete last line, left by a killed process, counts as a run. It returns
// an error if reading fails or a line is too long for bufio.Scanner.
func (c RunCounts) AddLog(r io.Reader) error {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		c[lines.Text()]++
	}
	return lines.Err()
}

// linesByRoot maps the key of each root request to the run log lines of the request and its child calls. The key of
// a child call is the root request's key followed by "/" and more.
func (c RunCounts) linesByRoot() map[string][]string {
	roots := make(map[string][]string)
	for line := range c {
		_, key, _ := strings.Cut(line, " ")
		root, _, _ := strings.Cut(key, "/")
		roots[root] = append(roots[root], line)
	}
	return roots
}

// Verify checks that no request reported as not-run ran, that each request reported as answered successfully ran, that
// no answer was wrong, and that non-idempotent requests and their child calls by POST ran at most once. Keys must be
// unique across the results.
func Verify(results []Result, runs RunCounts) VerifyReport {
	v := VerifyReport{Requests: len(results), Violations: []string{}}
	for _, n := range runs {
		v.Runs += n
	}
	roots := runs.linesByRoot()
	for _, res := range results {
		v.checkResult(res, roots[res.Key], runs)
	}
	return v
}

// checkResult checks one result against the run log lines of the request and its child calls.
func (v *VerifyReport) checkResult(res Result, logLines []string, runs RunCounts) {
	rootRuns := 0 // runs of the request itself, without child calls
	for _, line := range logLines {
		method, key, _ := strings.Cut(line, " ")
		if key == res.Key {
			rootRuns += runs[line]
		}
		if !res.Idempotent && runs[line] > 1 && (key == res.Key || method == http.MethodPost) {
			v.addViolation("%s: %q ran %d times, although it is not idempotent", res.Key, line, runs[line])
		}
	}
	switch {
	case res.WrongAnswer != "":
		v.addViolation("%s: %s", res.Key, res.WrongAnswer)
	case res.Outcome == OutcomeNotRun && rootRuns > 0:
		v.addViolation("%s: reported as not-run (%s), but ran %d times", res.Key, res.Reason, rootRuns)
	case res.Succeeded() && rootRuns == 0:
		v.addViolation("%s: reported as answered, but didn't run", res.Key)
	case res.Outcome == OutcomeUnknown && rootRuns > 0:
		v.UnknownRun++
	case res.Outcome == OutcomeUnknown:
		v.UnknownNotRun++
	}
}

func (v *VerifyReport) addViolation(format string, args ...any) {
	v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
}

// WriteTable prints the report as text.
func (v VerifyReport) WriteTable(w io.Writer) error {
	for _, text := range v.Violations {
		fmt.Fprintf(w, "violation: %s\n", text)
	}
	_, err := fmt.Fprintf(w, "%d requests, %d runs, %d violations; of the unknown outcomes %d ran and %d did not\n",
		v.Requests, v.Runs, len(v.Violations), v.UnknownRun, v.UnknownNotRun)
	return err
}
