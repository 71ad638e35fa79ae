package cli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"guavapoint.example/guavapoint/internal/daemon"
)

func membersCommand() *cli.Command {
	return &cli.Command{
		Name:  "members",
		Usage: "list the daemons that a daemon knows, by region, zone and service",
		Description: "The table is the view of the queried daemon; the views of others may differ for seconds, and for as long as a\n" +
			"network partition lasts.\n\n" +
			"Examples:\n\nguavapoint members --daemon 10.0.1.1:7003\nguavapoint members --daemon 10.0.1.1:7003 --output json",
		Flags: []cli.Flag{daemonFlag(), outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := readState(ctx, cmd)
			if err != nil {
				return err
			}
			return writeResult(cmd, s.Members, func(w io.Writer) error { return writeMembers(w, s.Members) })
		},
	}
}

// readState reads the state of the daemon that the daemon flag names. The command must have no positional arguments.
func readState(ctx context.Context, cmd *cli.Command) (daemon.State, error) {
	if err := noArgs(cmd); err != nil {
		return daemon.State{}, err
	}
	return adminClient{cmd.String("daemon")}.state(ctx)
}

// writeMembers keeps the order in which the admin listener returns the members: by region, zone, service and address.
func writeMembers(w io.Writer, members []daemon.Member) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "region\tzone\tservice\taddress\tstate\tslots")
	states := make(map[string]int)
	for _, m := range members {
		states[m.State]++
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\n", m.Region, m.Zone, m.Service, m.Address, m.State, m.Slots)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%s: %d serving, %d starting, %d leaving, %d suspect, %d down\n", countNoun(len(members), "member"),
		states["serving"], states["starting"], states["leaving"], states["suspect"], states["down"])
	return err
}

func stateCommand() *cli.Command {
	return &cli.Command{
		Name:  "state",
		Usage: "show the state of a daemon",
		Description: "Examples:\n\nguavapoint state --daemon 10.0.1.1:7003\n" +
			"guavapoint state --daemon 10.0.1.1:7003 --output json",
		Flags: []cli.Flag{daemonFlag(), outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := readState(ctx, cmd)
			if err != nil {
				return err
			}
			return writeResult(cmd, s, func(w io.Writer) error { return writeState(w, s) })
		},
	}
}

func writeState(w io.Writer, s daemon.State) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, format string, args ...any) {
		fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("name", "%s", s.Name)
	row("state", "%s", s.State)
	row("service", "%s", s.Service)
	row("region, zone", "%s, %s", s.Region, s.Zone)
	row("peer address", "%s", s.PeerAddress)
	row("call address", "%s", s.CallAddress)
	row("incarnation", "%s", s.Incarnation)
	row("configuration", "%s, preset %s", s.ConfigVersion, orDash(s.ActivePreset))
	row("requests", "%d running of at most %d, %d waiting", s.Load.InFlight, s.Load.Limit, s.Load.Waiting)
	if s.Load.CutoffClass == "" {
		row("cutoff", "none")
	} else {
		row("cutoff", "%d, in class %s: classes below are refused, and a part of this class", s.Load.Cutoff, s.Load.CutoffClass)
	}
	row("known members", "%d", len(s.Members))
	row("quarantine", "%d", len(s.Quarantine))
	return t.Flush()
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "shut a daemon down gracefully, as SIGTERM does",
		Description: "The daemon refuses new work at once, finishes what is in flight and exits, within its drain_limit. The command\n" +
			"returns as soon as the drain has begun. A drain can't be undone.\n\nExample:\n\nguavapoint drain --daemon 10.0.1.1:7003",
		Flags: []cli.Flag{daemonFlag(), outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := noArgs(cmd); err != nil {
				return err
			}
			resp, err := adminClient{cmd.String("daemon")}.drain(ctx)
			if err != nil {
				return commandError(err)
			}
			return writeResult(cmd, resp, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "%s: %s in flight, exits within %s\n", resp.State,
					countNoun(resp.InFlight, "request"), resp.Limit)
				return err
			})
		},
	}
}

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name: "quarantine", Usage: "list and lift quarantined requests", HideHelpCommand: true, Action: showGroupHelp,
		Commands: []*cli.Command{
			{
				Name:  "list",
				Usage: "list suspect and confirmed fingerprints",
				Description: "Requests with a suspect fingerprint run only alone; those with a confirmed fingerprint are refused. The daemons of a\n" +
					"service share the list.\n\n" +
					"Examples:\n\nguavapoint quarantine list --daemon 10.0.1.1:7003\n" +
					"guavapoint quarantine list --daemon 10.0.1.1:7003 --output json",
				Flags: []cli.Flag{daemonFlag(), outputFlag()},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					s, err := readState(ctx, cmd)
					if err != nil {
						return err
					}
					return writeResult(cmd, s.Quarantine, func(w io.Writer) error { return writeQuarantine(w, s.Quarantine) })
				},
			},
			{
				Name:      "lift",
				Usage:     "lift the quarantine of a fingerprint",
				ArgsUsage: "FINGERPRINT",
				Description: "The daemon passes the change on to the other daemons of its service. Lift a quarantine only after the fault in\n" +
					"the backend server is corrected.\n\nExample:\n\nguavapoint quarantine lift --daemon 10.0.1.1:7003 00112233aabbccdd",
				Flags:  []cli.Flag{daemonFlag(), outputFlag()},
				Action: runLift,
			},
		},
	}
}

func writeQuarantine(w io.Writer, list []daemon.Quarantine) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "fingerprint\tstate\tuntil")
	for _, q := range list {
		fmt.Fprintf(t, "%s\t%s\t%s\n", q.Fingerprint, q.State, q.Until.UTC().Format(time.RFC3339))
	}
	return t.Flush()
}

// liftResult is the result of quarantine lift.
type liftResult struct {
	Fingerprint string `json:"fingerprint"`
	Lifted      bool   `json:"lifted"`
}

func runLift(ctx context.Context, cmd *cli.Command) error {
	fingerprint, err := oneArg(cmd, "FINGERPRINT")
	if err != nil {
		return err
	}
	if err := (adminClient{cmd.String("daemon")}).lift(ctx, fingerprint); err != nil {
		return commandError(err)
	}
	return writeResult(cmd, liftResult{fingerprint, true}, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "lifted %s\n", fingerprint)
		return err
	})
}
