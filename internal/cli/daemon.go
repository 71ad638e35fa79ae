package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"guavapoint.example/guavapoint/internal/settings"
)

func (p *Program) daemonCommand() *cli.Command {
	return &cli.Command{
		Name:  "daemon",
		Usage: "run the daemon beside a backend server",
		Description: "Runs until SIGTERM or SIGINT, then refuses new work, finishes all requests in flight within drain_limit " +
			"and exits with 0.\nA second SIGINT ends the process at once; further SIGTERMs have no effect.\n\n" +
			"Example:\n\nguavapoint daemon --settings /etc/guavapoint/settings.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE` in JSON"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := noArgs(cmd); err != nil {
				return err
			}
			s, err := settings.Load(cmd.String("settings"))
			if err != nil {
				return usageError(err)
			}
			return p.Daemon(ctx, s)
		},
	}
}
