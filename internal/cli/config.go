package cli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"guavapoint.example/guavapoint/internal/core/config"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "show or replace the configuration document", HideHelpCommand: true, Action: showGroupHelp,
		Commands: []*cli.Command{
			{
				Name:  "show",
				Usage: "show the configuration",
				Description: "Shows the platform's configuration, or that of the named daemons if the platform was restored from " +
					"an older copy.\nThe JSON output is the document itself, for editing and for config put.\n\nExamples:\n\n" +
					"guavapoint config show --platform http://10.0.0.1:2379\n" +
					"guavapoint config show --platform http://10.0.0.1:2379 --output json >config.json",
				Flags:  platformFlags(),
				Action: runConfigShow,
			},
			{
				Name:      "put",
				Usage:     "replace the configuration with a file",
				ArgsUsage: "FILE",
				Description: "Validates FILE, shows the difference to the configuration in effect and writes it. FILE must be " +
					"based on the configuration in effect,\nthat is, have the same change_id. Otherwise it could undo another " +
					"operator's change unnoticed; nothing is written then, and the command exits with 4.\n" +
					"The fields epoch, change_id and changed_by are replaced.\n\n" +
					"Examples:\n\n" +
					"guavapoint config put --platform http://10.0.0.1:2379 --daemon 10.0.1.1:7003 --dry-run config.json\n" +
					"guavapoint config put --platform http://10.0.0.1:2379 --daemon 10.0.1.1:7003 config.json\n" +
					"guavapoint config put --platform http://10.0.0.1:2379 --replace examples/registry/config.json",
				Flags: changeFlags(&cli.BoolFlag{
					Name: "replace", Usage: "write FILE even if it is not based on the configuration in effect",
				}),
				Action: runConfigPut,
			},
		},
	}
}

func runConfigShow(ctx context.Context, cmd *cli.Command) error {
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
	return writeResult(cmd, doc, func(w io.Writer) error { return writeDocument(w, e.base.Version, doc) })
}

// writeDocument writes the fields of doc as a table. The active preset is on a line of its own.
func writeDocument(w io.Writer, v config.Version, doc *config.Document) error {
	fmt.Fprintf(w, "version %v by %s, change id %s\nactive preset: %s\n", v, doc.ChangedBy, doc.ChangeID, doc.ActivePresetName)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, c := range config.Diff(nil, doc) {
		if c.Field != "active_preset" {
			fmt.Fprintf(t, "%s\t%s\n", c.Field, c.After)
		}
	}
	return t.Flush()
}

func runConfigPut(ctx context.Context, cmd *cli.Command) error {
	name, err := oneArg(cmd, "FILE")
	if err != nil {
		return err
	}
	next, err := readDocument(name)
	if err != nil {
		return usageError(err)
	}
	e, err := openForChange(ctx, cmd)
	if err != nil {
		return err
	}
	if e.isStale(next) && !cmd.Bool("replace") {
		return e.refuseStale(next)
	}
	return e.change(ctx, next)
}

// isStale reports whether next is based on another configuration than the one in effect and differs from it in content.
// A file that was written before has the same content, so writing it again is no error.
func (e *editor) isStale(next *config.Document) bool {
	d := e.base.Document
	return d != nil && d.ChangeID != next.ChangeID && len(config.Diff(d, next)) > 0
}

// readDocument reads and validates the configuration document in the named file.
func readDocument(name string) (*config.Document, error) {
	data, err := readLimited(name)
	if err != nil {
		return nil, eris.Wrap(err, "can't read the document")
	}
	doc, err := config.Parse(data)
	return doc, eris.Wrap(err, name)
}

// refuseStale writes the result for a file that is based on another configuration than the one in effect, and returns
// the error with the exit code.
func (e *editor) refuseStale(next *config.Document) error {
	d := e.base.Document
	r := &changeResult{
		Outcome: outcomeLostRace, Version: e.base.Version.String(), Difference: fieldChanges(config.Diff(d, next)),
		Winner: &winner{
			Version: e.base.Version.String(), ChangedBy: d.ChangedBy, Difference: fieldChanges(config.Diff(next, d)),
		},
	}
	if err := writeResult(e.cmd, r, r.writeTable); err != nil {
		return err
	}
	return &Error{Code: ExitLostRace, Err: eris.Errorf(
		"the file is based on change %s, but change %s is in effect; nothing was written; use --replace to write it anyway",
		next.ChangeID, d.ChangeID)}
}

// oneArg returns the only positional argument. Errors call it by the name what.
func oneArg(cmd *cli.Command, what string) (string, error) {
	switch args := cmd.Args(); args.Len() {
	case 0:
		return "", usageError(eris.Errorf("%s is missing; see %s --help", what, cmd.FullName()))
	case 1:
		return args.First(), nil
	default:
		return "", usageError(eris.Errorf("unexpected argument %q; see %s --help", args.Get(1), cmd.FullName()))
	}
}

// showGroupHelp is the action of a command below the root that only groups subcommands: it prints the help, or returns
// a usage error for an unknown subcommand.
func showGroupHelp(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usageError(eris.Errorf("unknown command %q; see %s --help", cmd.Args().First(), cmd.FullName()))
	}
	return cli.ShowSubcommandHelp(cmd)
}
