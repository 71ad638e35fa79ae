package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"guavapoint.example/guavapoint/internal/settings"
)

// DaemonFunc runs a daemon. When ctx ends, the daemon shuts down gracefully and the function returns nil once nothing
// is in flight. An *Error in the chain of the returned error sets the exit code.
type DaemonFunc func(ctx context.Context, s *settings.Settings) error

// Program is the guavapoint program.
type Program struct {
	// Daemon runs the daemon. If it is nil, the program has no daemon command.
	Daemon DaemonFunc
	// Stdout and Stderr receive results and messages.
	Stdout, Stderr io.Writer
}

// Run executes the command line args, of which the first is the program's name, and returns the exit code.
func (p *Program) Run(ctx context.Context, args []string) ExitCode {
	err := p.root().Run(ctx, args)
	var exitCoder cli.ExitCoder
	if errors.As(err, &exitCoder) {
		err = usageError(err) // urfave/cli returns an ExitCoder only when help on an unknown command is requested
	}
	if err != nil {
		fmt.Fprintf(p.Stderr, "guavapoint: %v\n", err)
	}
	return exitCode(err)
}

func (p *Program) root() *cli.Command {
	root := &cli.Command{
		Name:            "guavapoint",
		Usage:           "overload control for service call graphs",
		Description:     exitCodeHelp,
		HideHelpCommand: true,
		Commands:        p.commands(),
		Action:          showHelp,
		Writer:          p.Stdout,
		ErrWriter:       p.Stderr,
		ExitErrHandler:  func(context.Context, *cli.Command, error) {}, // the default would exit the process; Run returns the code
	}
	setUsageErrors(root)
	return root
}

func (p *Program) commands() []*cli.Command {
	commands := []*cli.Command{
		checkCommand(), presetCommand(), configCommand(), batchCommand(), membersCommand(), stateCommand(), drainCommand(),
		quarantineCommand(), explainCommand(), versionCommand(),
	}
	if p.Daemon != nil {
		commands = append([]*cli.Command{p.daemonCommand()}, commands...)
	}
	return commands
}

// showHelp is the action of the root command: it prints the help, or returns a usage error for an unknown subcommand.
func showHelp(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usageError(eris.Errorf("unknown command %q; see %s --help", cmd.Args().First(), cmd.FullName()))
	}
	return cli.ShowRootCommandHelp(cmd)
}

// setUsageErrors makes cmd and its subcommands report flag errors of urfave/cli as usage errors.
func setUsageErrors(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		return usageError(eris.Errorf("%v; see %s --help", err, cmd.FullName()))
	}
	for _, sub := range cmd.Commands {
		setUsageErrors(sub)
	}
}

// noArgs rejects positional arguments, most of which are flags that were typed without dashes.
func noArgs(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usageError(eris.Errorf("unexpected argument %q; see %s --help", cmd.Args().First(), cmd.FullName()))
	}
	return nil
}
