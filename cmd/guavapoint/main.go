// Command guavapoint is the overload control daemon and the operators' tool.
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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // a second signal ends the process at once
	program := cli.Program{Daemon: runDaemon, Stdout: os.Stdout, Stderr: os.Stderr}
	os.Exit(int(program.Run(ctx, os.Args)))
}

// runDaemon writes the log to standard error, where service managers collect it.
func runDaemon(ctx context.Context, s *settings.Settings) error {
	return daemon.Main(ctx, s, os.Stderr)
}
