package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Report summarizes the results of a run.
type Report struct {
	Elapsed time.Duration `json:"elapsed_ns"`
	// Skipped counts the requests that were not sent because MaxInFlight was reached.
	Skipped int `json:"skipped"`
	// Classes holds one entry per class of the requests sent, the most important class first.
	Classes []*ClassReport `json:"classes"`
	// Problems describes the first wrong answers, at most maxProblems.
	Problems []string `json:"problems,omitempty"`
}

// ClassReport summarizes the results of one importance class.
type ClassReport struct {
	Class string `json:"class"`
	Sent  int    `json:"sent"`
	// Succeeded, Failed (status 400 or above) and Wrong (see Result.WrongAnswer) count the answered requests.
	Succeeded int `json:"succeeded"`
	Failed    int `json:"failed"`
	Wrong     int `json:"wrong"`
	NotRun    int `json:"not_run"`
	Unknown   int `json:"unknown"`
	// Resent counts the requests with more than one attempt, whatever their outcome.
	Resent int `json:"resent"`
	// Reasons counts the requests that were not answered by "outcome/reason", and the failed ones by "status/N".
	Reasons map[string]int `json:"reasons"`
	// Latency holds percentiles of Result.Latency over the succeeded requests.
	Latency Percentiles `json:"latency"`

	latencies []time.Duration
}

// Percentiles holds latency percentiles by the nearest-rank method.
type Percentiles struct {
	P50 time.Duration `json:"p50_ns"`
	P90 time.Duration `json:"p90_ns"`
	P99 time.Duration `json:"p99_ns"`
	Max time.Duration `json:"max_ns"`
}

// maxProblems is the largest number of wrong answers that a report describes.
const maxProblems = 10

func newReport() *Report {
	return &Report{}
}

// classReport returns the entry of a class and adds an empty one if there is none.
func (r *Report) classReport(name string) *ClassReport {
	for _, c := range r.Classes {
		if c.Class == name {
			return c
		}
	}
	c := &ClassReport{Class: name, Reasons: make(map[string]int)}
	r.Classes = append(r.Classes, c)
	return c
}

// add counts one result.
func (r *Report) add(res Result) {
	c := r.classReport(res.Class)
	c.Sent++
	if res.Attempts > 1 {
		c.Resent++
	}
	switch {
	case res.Succeeded():
		c.Succeeded++
		c.latencies = append(c.latencies, res.Latency)
	case res.Outcome == OutcomeAnswered && res.WrongAnswer != "":
		c.Wrong++
		if len(r.Problems) < maxProblems {
			r.Problems = append(r.Problems, res.Key+": "+res.WrongAnswer)
		}
	case res.Outcome == OutcomeAnswered:
		c.Failed++
		c.Reasons[fmt.Sprintf("status/%d", res.Status)]++
	case res.Outcome == OutcomeNotRun:
		c.NotRun++
		c.Reasons[res.Outcome+"/"+res.Reason]++
	default:
		c.Unknown++
		c.Reasons[OutcomeUnknown+"/"+res.Reason]++
	}
}

// finish sets the elapsed time, sorts the classes by importance and computes the latency percentiles.
func (r *Report) finish(elapsed time.Duration) {
	r.Elapsed = elapsed
	slices.SortFunc(r.Classes, func(a, b *ClassReport) int {
		return slices.Index(Classes, a.Class) - slices.Index(Classes, b.Class)
	})
	for _, c := range r.Classes {
		slices.Sort(c.latencies)
		c.Latency = percentiles(c.latencies)
	}
}

// percentiles returns the percentiles of latencies in ascending order, or zeros if there are none.
func percentiles(sorted []time.Duration) Percentiles {
	if len(sorted) == 0 {
		return Percentiles{}
	}
	nearestRank := func(percent int) time.Duration {
		return sorted[max((len(sorted)*percent+99)/100-1, 0)]
	}
	return Percentiles{P50: nearestRank(50), P90: nearestRank(90), P99: nearestRank(99), Max: sorted[len(sorted)-1]}
}

// WriteTable prints the report as text.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tsent\tsucceeded\tfailed\twrong\tnot-run\tunknown\tresent\tp50\tp90\tp99\tmax\t")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", c.Class, c.Sent, c.Succeeded, c.Failed, c.Wrong, c.NotRun,
			c.Unknown, c.Resent)
		l := c.Latency
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t\n", millis(l.P50), millis(l.P90), millis(l.P99), millis(l.Max))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, c := range r.Classes {
		if len(c.Reasons) > 0 {
			fmt.Fprintf(w, "%s: %s\n", c.Class, reasonList(c.Reasons))
		}
	}
	for _, p := range r.Problems {
		fmt.Fprintf(w, "wrong answer: %s\n", p)
	}
	_, err := fmt.Fprintf(w, "elapsed %.1f s, %d requests skipped\n", r.Elapsed.Seconds(), r.Skipped)
	return err
}

func millis(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

func reasonList(reasons map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(reasons)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, reasons[name]))
	}
	return strings.Join(parts, ", ")
}
