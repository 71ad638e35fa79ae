// Command guavapoint is the overload control daemon and the command line tool of its operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"guavapoint.example/guavapoint/internal/cli"
	"guavapoint.example/guavapoint/internal/daemon"
	"guavapoint.example/guavapoint/internal/settings"
)

func main() {
	// A SIGHUP that arrives before the daemon installs its handler, or during its shutdown, must not end the process.
	signal.Ignore(syscall.SIGHUP)
	program := cli.Program{Daemon: runDaemon, Stdout: os.Stdout, Stderr: os.Stderr}
	os.Exit(int(program.Run(contextUntilSignal(), os.Args)))
}

// contextUntilSignal returns a context that ends with the first SIGTERM or SIGINT. Further SIGTERMs have no effect,
// because a service manager may repeat them while requests are being finished; a second SIGINT ends the process at
// once.
func contextUntilSignal() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		signal.Reset(os.Interrupt)
		cancel()
	}()
	return ctx
}

// runDaemon runs a daemon that logs to standard output, from which the users' platform collects the log.
func runDaemon(ctx context.Context, s *settings.Settings) error {
	return daemon.Main(ctx, s, os.Stdout)
}
