package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"guavapoint.example/guavapoint/internal/core/config"
)

func presetCommand() *cli.Command {
	return &cli.Command{
		Name: "preset", Usage: "show or change the active preset", HideHelpCommand: true, Action: showGroupHelp,
		Commands: []*cli.Command{
			{
				Name:  "show",
				Usage: "show the presets and which one is active",
				Description: "Examples:\n\nguavapoint preset show --platform http://10.0.0.1:2379\n" +
					"guavapoint preset show --platform http://10.0.0.1:2379 --output json",
				Flags:  platformFlags(),
				Action: runPresetShow,
			},
			{
				Name:      "set",
				Usage:     "change the active preset",
				ArgsUsage: "NAME",
				Description: "NAME is ordinary, peak or maintenance. The command exits with 0 once the platform has accepted the change;\n" +
					"with --wait, once all named daemons have it in effect. If that takes longer than the limit, it exits with 1,\n" +
					"and the change remains accepted.\n\nExamples:\n\n" +
					"guavapoint preset set --platform http://10.0.0.1:2379 --daemon 10.0.1.1:7003 peak\n" +
					"guavapoint preset set --platform http://10.0.0.1:2379 --daemon 10.0.1.1:7003 --daemon 10.0.2.1:7003 --wait peak",
				Flags: changeFlags(
					&cli.BoolFlag{Name: "wait", Usage: "wait until all daemons named by --daemon have the change in effect"},
					&cli.DurationFlag{Name: "wait-limit", Value: defaultWaitLimit, Usage: "maximum `TIME` to wait"},
				),
				Action: runPresetSet,
			},
		},
	}
}

// presetList is the result of preset show.
type presetList struct {
	Version string                   `json:"version"`
	Active  string                   `json:"active_preset"`
	Presets map[string]config.Preset `json:"presets"`
}

func runPresetShow(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	e, err := openEditor(ctx, cmd)
	if err != nil {
		return err
	}
	doc, err := e.document()
	if err != nil {
		return err
	}
	list := presetList{Version: e.base.Version.String(), Active: doc.ActivePresetName, Presets: doc.Presets}
	return writeResult(cmd, list, list.writeTable)
}

func (l presetList) writeTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	names := config.PresetNames()
	fmt.Fprintf(t, "version %s", l.Version)
	for _, name := range names {
		if name == l.Active {
			name += " (active)"
		}
		fmt.Fprintf(t, "\t%s", name)
	}
	fmt.Fprintln(t)
	row := func(field string, value func(config.Preset) any) {
		fmt.Fprint(t, field)
		for _, name := range names {
			fmt.Fprintf(t, "\t%v", value(l.Presets[name]))
		}
		fmt.Fprintln(t)
	}
	row("retry_budget", func(p config.Preset) any { return p.RetryBudget })
	row("retry_ratio", func(p config.Preset) any { return p.RetryRatio })
	row("default_timeout", func(p config.Preset) any { return p.DefaultTimeout })
	row("slot_share", func(p config.Preset) any { return p.SlotShare })
	row("reserved_share", func(p config.Preset) any { return p.ReservedShare })
	row("queue_delay", func(p config.Preset) any { return p.QueueDelay })
	row("lowest_class", func(p config.Preset) any { return p.LowestClass })
	row("link_bytes_per_second", func(p config.Preset) any { return p.LinkBytesPerSecond })
	row("link_upload_share", func(p config.Preset) any { return p.LinkUploadShare })
	return t.Flush()
}

func runPresetSet(ctx context.Context, cmd *cli.Command) error {
	name, err := oneArg(cmd, "NAME")
	if err != nil {
		return err
	}
	if names := config.PresetNames(); !slices.Contains(names, name) {
		return usageError(eris.Errorf("unknown preset %q; allowed are %q", name, names))
	}
	if cmd.Bool("wait") && len(cmd.StringSlice("daemon")) == 0 {
		return usageError(eris.New("--wait needs at least one --daemon"))
	}
	e, err := openForChange(ctx, cmd)
	if err != nil {
		return err
	}
	next, err := e.document()
	if err != nil {
		return err
	}
	next.ActivePresetName = name
	return e.change(ctx, next)
}
