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

// Report sums up the results of a run.
type Report struct {
	Elapsed time.Duration `json:"elapsed_ns"`
	// Skipped requests were not sent because MaxInFlight was reached.
	Skipped int `json:"skipped"`
	// Classes holds the classes that occurred, the most important first.
	Classes []*ClassReport `json:"classes"`
	// Problems are the first wrong answers.
	Problems []string `json:"problems,omitempty"`
}

// ClassReport sums up the results of one importance class.
type ClassReport struct {
	Class string `json:"class"`
	Sent  int    `json:"sent"`
	// Succeeded, Failed (an answer with status 400 or above) and Wrong are the answered requests.
	Succeeded int `json:"succeeded"`
	Failed    int `json:"failed"`
	Wrong     int `json:"wrong"`
	NotRun    int `json:"not_run"`
	Unknown   int `json:"unknown"`
	Resent    int `json:"resent"`
	// Reasons counts "outcome/reason" of the requests that were not answered and "status/N" of the failed ones.
	Reasons map[string]int `json:"reasons"`
	// Latency holds percentiles of the succeeded requests, from the first attempt on.
	Latency Percentiles `json:"latency"`

	latencies []time.Duration
}

// Percentiles are latencies by the nearest-rank method.
type Percentiles struct {
	P50 time.Duration `json:"p50_ns"`
	P90 time.Duration `json:"p90_ns"`
	P99 time.Duration `json:"p99_ns"`
	Max time.Duration `json:"max_ns"`
}

// maxProblems bounds the wrong answers that a report describes.
const maxProblems = 10

func newReport() *Report {
	return &Report{}
}

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

// percentiles needs sorted latencies.
func percentiles(sorted []time.Duration) Percentiles {
	if len(sorted) == 0 {
		return Percentiles{}
	}
	nearestRank := func(percent int) time.Duration {
		return sorted[max((len(sorted)*percent+99)/100-1, 0)]
	}
	return Percentiles{P50: nearestRank(50), P90: nearestRank(90), P99: nearestRank(99), Max: sorted[len(sorted)-1]}
}

// WriteTable prints the report for people.
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
