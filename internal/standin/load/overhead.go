package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"guavapoint.example/guavapoint/internal/httpcheck"
)

// OverheadOptions configure a measurement of the latency and CPU time that daemons add to a call.
type OverheadOptions struct {
	// Direct is the address of a backend server, Entry the call address of a daemon in front of it, both ip:port.
	Direct, Entry string
	// Service and Path name an operation that is called by GET and is idempotent. Path begins with "/".
	Service, Path string
	// Count is the number of direct calls and of calls through the daemons that are measured. Warmup calls of each kind
	// come first and aren't measured.
	Count, Warmup int
	// Admins are the admin addresses (ip:port) of the daemons whose CPU time is reported.
	Admins []string
}

// Overhead compares the latencies of direct calls and of calls through the daemons.
type Overhead struct {
	// Count is the number of calls of each kind.
	Count   int         `json:"count"`
	Direct  Percentiles `json:"direct"`
	Daemons Percentiles `json:"daemons"`
	// Difference is Daemons less Direct, percentile by percentile.
	Difference Percentiles `json:"difference"`
	// CPU is the CPU time of each daemon per call, in the order of OverheadOptions.Admins.
	CPU []DaemonCPU `json:"cpu"`
}

// DaemonCPU is the CPU time of a daemon process per call, including its work that doesn't belong to calls.
type DaemonCPU struct {
	Admin   string        `json:"admin"`
	PerCall time.Duration `json:"per_call_ns"`
}

// MeasureOverhead alternates direct calls and calls through the daemons, one at a time, so that both are measured while
// the machine is in the same state. Any call that fails or has a status other than 200 ends the measurement with an
// error.
func MeasureOverhead(ctx context.Context, o OverheadOptions) (*Overhead, error) {
	if o.Count < 1 || o.Count > MaxCount || o.Warmup < 0 || o.Warmup > MaxCount || !strings.HasPrefix(o.Path, "/") {
		return nil, fmt.Errorf("count is %d, allowed is 1 to %d; warmup is %d, allowed is 0 to %d; "+
			"path is %q, allowed is a path that begins with '/'", o.Count, MaxCount, o.Warmup, MaxCount, o.Path)
	}
	c := &http.Client{Transport: httpcheck.Checked(&http.Transport{})}
	defer c.CloseIdleConnections()
	urls := []string{"http://" + o.Direct + o.Path, "http://" + o.Entry + "/call/" + o.Service + o.Path}
	if _, err := timeCalls(ctx, c, urls, o.Warmup); err != nil {
		return nil, fmt.Errorf("warmup: %w", err)
	}
	before, err := cpuSeconds(ctx, c, o.Admins)
	if err != nil {
		return nil, err
	}
	times, err := timeCalls(ctx, c, urls, o.Count)
	if err != nil {
		return nil, fmt.Errorf("measurement: %w", err)
	}
	after, err := cpuSeconds(ctx, c, o.Admins)
	if err != nil {
		return nil, err
	}
	result := &Overhead{Count: o.Count, Direct: percentiles(slices.Sorted(slices.Values(times[0]))), Daemons: percentiles(slices.Sorted(slices.Values(times[1])))}
	result.Difference = result.Daemons.minus(result.Direct)
	for i, admin := range o.Admins {
		perCall := (after[i] - before[i]) / float64(o.Count)
		result.CPU = append(result.CPU, DaemonCPU{admin, time.Duration(perCall * float64(time.Second))})
	}
	return result, nil
}

func (p Percentiles) minus(q Percentiles) Percentiles {
	return Percentiles{P50: p.P50 - q.P50, P90: p.P90 - q.P90, P99: p.P99 - q.P99, Max: p.Max - q.Max}
}

// timeCalls calls each URL count times, alternating between the URLs, and returns the latencies by the index of the
// URL.
func timeCalls(ctx context.Context, c *http.Client, urls []string, count int) ([][]time.Duration, error) {
	times := make([][]time.Duration, len(urls))
	for range count {
		for i, url := range urls {
			start := time.Now()
			if _, err := get(ctx, c, url); err != nil {
				return nil, err
			}
			times[i] = append(times[i], time.Since(start))
		}
	}
	return times, nil
}

// get sends a GET request and returns the response body. A status other than 200 is an error.
func get(ctx context.Context, c *http.Client, url string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	resp, err := c.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize))
	if err != nil {
		err = fmt.Errorf("GET %s: read the response: %w", url, err)
	} else if resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("GET %s: status %d %s", url, resp.StatusCode, resp.Header.Get(headerReason))
	}
	return string(body), err
}

// cpuMetric is the metric of the admin listener with the CPU time of the daemon's process, in seconds.
const cpuMetric = "process_cpu_seconds_total"

// cpuSeconds returns the CPU time of each daemon so far, in seconds, in the order of the admin addresses.
func cpuSeconds(ctx context.Context, c *http.Client, admins []string) ([]float64, error) {
	values := make([]float64, len(admins))
	for i, admin := range admins {
		text, err := get(ctx, c, "http://"+admin+"/metrics")
		if err == nil {
			values[i], err = metricValue(text, cpuMetric)
		}
		if err != nil {
			return nil, fmt.Errorf("read the CPU time of the daemon at %s: %w", admin, err)
		}
	}
	return values, nil
}

// metricValue returns the value of the first sample of the named metric, with or without labels, in the Prometheus text
// format.
func metricValue(text, name string) (float64, error) {
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		rest, ok := strings.CutPrefix(lines.Text(), name)
		if !ok || rest == "" || (rest[0] != ' ' && rest[0] != '{') {
			continue
		}
		return strconv.ParseFloat(rest[strings.LastIndex(rest, " ")+1:], 64)
	}
	return 0, errors.Join(lines.Err(), fmt.Errorf("metric %s is missing", name))
}

// WriteTable prints the comparison as text.
func (o *Overhead) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\tp50\tp90\tp99\tmax\t")
	for _, row := range []struct {
		name string
		p    Percentiles
	}{{"direct", o.Direct}, {"through daemons", o.Daemons}, {"difference", o.Difference}} {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t\n", row.name, micros(row.p.P50), micros(row.p.P90), micros(row.p.P99), micros(row.p.Max))
	}
	ratio := func(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }
	fmt.Fprintf(t, "ratio\t%.2f\t%.2f\t%.2f\t%.2f\t\n", ratio(o.Daemons.P50, o.Direct.P50), ratio(o.Daemons.P90, o.Direct.P90),
		ratio(o.Daemons.P99, o.Direct.P99), ratio(o.Daemons.Max, o.Direct.Max))
	if err := t.Flush(); err != nil {
		return err
	}
	for _, c := range o.CPU {
		fmt.Fprintf(w, "CPU time per call of the daemon at %s: %s\n", c.Admin, micros(c.PerCall))
	}
	_, err := fmt.Fprintf(w, "%d calls of each kind, alternating, one at a time\n", o.Count)
	return err
}

func micros(d time.Duration) string {
	return fmt.Sprintf("%.0fus", float64(d)/float64(time.Microsecond))
}
