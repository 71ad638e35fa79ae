package cli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"guavapoint.example/guavapoint/internal/core/config"
)

const (
	// defaultWaitLimit is 2.5 times the 4 s within which a change must be in effect on all daemons.
	defaultWaitLimit = 10 * time.Second
	// pollInterval is the time between two queries of the daemons.
	pollInterval = 200 * time.Millisecond
)

// daemonVersion is the configuration version that one daemon had in effect when the wait ended.
type daemonVersion struct {
	Address  string `json:"address"`
	Version  string `json:"version,omitempty"`
	InEffect bool   `json:"in_effect"`
	Error    string `json:"error,omitempty"`
}

// waitInEffect waits until all daemons of the fleet have version v, or a higher one, in effect. It returns an error,
// and the last versions read, if this takes longer than the wait-limit flag allows or ctx ends.
func (e *editor) waitInEffect(ctx context.Context, v config.Version) ([]daemonVersion, error) {
	limit := e.cmd.Duration("wait-limit")
	deadline := time.Now().Add(limit)
	for {
		daemons, missing := checkInEffect(e.fleet.readConfigs(ctx), v)
		if missing == 0 {
			return daemons, nil
		}
		if !time.Now().Before(deadline) || ctx.Err() != nil {
			return daemons, eris.Errorf("version %v was accepted, but %d of %d daemons didn't have it in effect within %v",
				v, missing, len(daemons), limit)
		}
		_ = sleep(ctx, pollInterval) // the loop checks ctx itself, after one more query
	}
}

// sleep waits for d and returns an error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// checkInEffect compares the version of each daemon with v and counts the daemons that have a lower one or didn't
// respond.
func checkInEffect(configs []daemonConfig, v config.Version) (daemons []daemonVersion, missing int) {
	for _, c := range configs {
		d := daemonVersion{Address: c.address}
		if c.err != nil {
			d.Error = c.err.Error()
		} else {
			d.Version, d.InEffect = c.version.String(), !c.version.Less(v)
		}
		if !d.InEffect {
			missing++
		}
		daemons = append(daemons, d)
	}
	return daemons, missing
}

func writeDaemonVersions(w io.Writer, daemons []daemonVersion) error {
	if len(daemons) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "daemon\tversion\tresult")
	for _, d := range daemons {
		result := "in effect"
		switch {
		case d.Error != "":
			result = d.Error
		case !d.InEffect:
			result = "not in effect"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", d.Address, orDash(d.Version), result)
	}
	return t.Flush()
}

// orDash returns "-" for an empty string, so that a table shows the empty cell.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
