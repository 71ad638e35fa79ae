// Command guavapoint-standin provides stand-ins for the systems that the users run around guavapoint: backend servers,
// callers and the platform's key-value service. With them, guavapoint can be tried on one machine. It is not part of
// the product.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitFailed = 1 // an internal error, or a check that failed, such as a violation found by verify
	exitUsage  = 2 // invalid flags or input files
	exitCrash  = 3 // a request made the backend server crash on purpose
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // a second signal ends the process at once
	err := newRoot().Run(ctx, os.Args)
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "guavapoint-standin: %v\n", err)
	var usage *usageError
	if errors.As(err, &usage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

// usageError reports invalid flags or input files.
type usageError struct {
	err error
}

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

// usagef returns a *usageError with a formatted text.
func usagef(format string, args ...any) error {
	return &usageError{err: fmt.Errorf(format, args...)}
}

func newRoot() *cli.Command {
	root := &cli.Command{
		Name:            "guavapoint-standin",
		Usage:           "stand-in backend servers, callers and platform for trials of guavapoint",
		HideHelpCommand: true,
		Commands:        []*cli.Command{backendCommand(), callCommand(), loadCommand(), verifyCommand(), overheadCommand(), kvCommand(), certsCommand()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usagef("unknown command %q; see guavapoint-standin --help", cmd.Args().First())
			}
			return cli.ShowRootCommandHelp(cmd)
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // the default would exit the process; main sets the code
	}
	onUsageError := func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		return usagef("%w; see %s --help", err, cmd.FullName())
	}
	root.OnUsageError = onUsageError
	for _, cmd := range root.Commands {
		cmd.OnUsageError = onUsageError
	}
	return root
}

// noArgs rejects positional arguments, most of which are flags that were typed without dashes.
func noArgs(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usagef("unexpected argument %q; see %s --help", cmd.Args().First(), cmd.FullName())
	}
	return nil
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "output", Value: "table", Usage: "`FORMAT` of the result: table or json",
		Validator: func(s string) error {
			if s != "table" && s != "json" {
				return fmt.Errorf("%q is neither table nor json", s)
			}
			return nil
		},
	}
}
