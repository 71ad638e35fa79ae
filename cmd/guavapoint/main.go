// Command guavapoint is the overload control daemon and the operators' tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"guavapoint.example/guavapoint/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // a second signal ends the process at once
	program := cli.Program{Stdout: os.Stdout, Stderr: os.Stderr}
	os.Exit(int(program.Run(ctx, os.Args)))
}
