package cli

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"guavapoint.example/guavapoint/internal/core/call"
)

// maxLogLine bounds the length of a log line in bytes. The lines of daemons are far shorter.
const maxLogLine = 1 << 20

// logLine holds the fields of a daemon's log line that the trace of a request shows.
type logLine struct {
	Time    string `json:"time"`
	Daemon  string `json:"daemon"`
	Event   int    `json:"event"`
	Name    string `json:"name"`
	Request string `json:"request_id"`
	Reason  string `json:"reason"`
	// Details lists the other fields as name=value, sorted by name.
	Details string `json:"details"`
}

// commonFields are the fields left out of the details: those with a column of their own, and those that don't describe
// the request.
var commonFields = []string{"time", "daemon", "event", "name", "request_id", "reason", "msg", "level", "service", "zone", "region", "suppressed"}

// requestTrace is the trace of one request in the logs of the daemons, ordered by time.
type requestTrace struct {
	Request string    `json:"request_id"`
	Lines   []logLine `json:"lines"`
	Cause   string    `json:"cause"`
}

// runTrace writes the trace of one request from the log files that the arguments name.
func runTrace(cmd *cli.Command, request string) error {
	t := requestTrace{Request: request}
	for _, name := range cmd.Args().Slice() {
		lines, err := readLog(name, request)
		if err != nil {
			return usageError(err)
		}
		t.Lines = append(t.Lines, lines...)
	}
	if len(t.Lines) == 0 {
		return &Error{Code: ExitRefused, Err: eris.Errorf("the logs have no line for request %q; daemons write at most 20 lines per "+
			"second for each event, and log served requests only at level debug", request)}
	}
	slices.SortStableFunc(t.Lines, func(a, b logLine) int { return cmp.Compare(a.Time, b.Time) })
	t.Cause = findCause(t.Lines)
	return writeResult(cmd, t, func(w io.Writer) error { return writeTrace(w, t) })
}

// readLog returns the lines about a request in a log file. It skips lines that are no log lines of a daemon.
func readLog(name, request string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var found []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if line, ok := parseLogLine(scanner.Text(), request); ok {
			found = append(found, line)
		}
	}
	return found, eris.Wrapf(scanner.Err(), "read %s", name)
}

// parseLogLine parses a line that may have a prefix before its JSON, such as the name of the VM. It returns false
// unless the line is about the request.
func parseLogLine(text, request string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 || !strings.Contains(text, request) {
		return logLine{}, false
	}
	var line logLine
	var fields map[string]any
	data := []byte(text[start:])
	if json.Unmarshal(data, &line) != nil || json.Unmarshal(data, &fields) != nil || line.Request != request {
		return logLine{}, false
	}
	line.Details = formatDetails(fields)
	return line, true
}

// formatDetails returns the fields that are neither common nor empty as name=value, sorted by name.
func formatDetails(fields map[string]any) string {
	var parts []string
	for name, v := range fields {
		if v != nil && v != "" && !slices.Contains(commonFields, name) {
			parts = append(parts, fmt.Sprintf("%s=%v", name, v))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// Numbers of the events that end a request, as logged by the upstream's daemon and by the entry daemon. The upstream's
// daemon knows more about the cause.
var (
	upstreamFinalEvents = []int{4017, 4018}
	entryFinalEvents    = []int{4015, 4016} // the first is a refusal by the entry itself
)

// findCause describes the last decision of an upstream's daemon on the request. It describes that of the entry daemon
// instead if no upstream's daemon logged one, or if the entry refused the request for a reason of its own.
func findCause(lines []logLine) string {
	// last returns the last line with one of the events, nil if there is none.
	last := func(events []int) *logLine {
		for i := len(lines) - 1; i >= 0; i-- {
			if slices.Contains(events, lines[i].Event) {
				return &lines[i]
			}
		}
		return nil
	}
	entry := last(entryFinalEvents)
	final := last(upstreamFinalEvents)
	switch {
	case entry == nil && final == nil:
		return "the request was served, or its outcome was not logged"
	case final == nil || entry != nil && entry.Reason != final.Reason && entry.Event == entryFinalEvents[0]:
		final = entry
	}
	if final.Reason == "" {
		return fmt.Sprintf("%s: the backend server responded with an error of its own, or a child call that it needed failed (%s)", final.Daemon, final.Details)
	}
	return fmt.Sprintf("%s: %s: %s", final.Daemon, final.Reason, reasonTexts[call.Reason(final.Reason)].meaning)
}

func writeTrace(w io.Writer, trace requestTrace) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "time\tdaemon\tevent\treason\tdetails")
	for _, l := range trace.Lines {
		fmt.Fprintf(t, "%s\t%s\t%d %s\t%s\t%s\n", l.Time, l.Daemon, l.Event, l.Name, orDash(l.Reason), l.Details)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", trace.Cause)
	return err
}
