package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"guavapoint.example/guavapoint/internal/standin/load"
)

func overheadCommand() *cli.Command {
	return &cli.Command{
		Name:  "overhead",
		Usage: "measure the latency that the daemons add to a call, and their CPU time per call",
		Description: "Makes the same call alternately to a backend server directly and through the daemons, one call at a time.\n" +
			"examples/local/thin-path.sh starts the processes. Example:\n\n" +
			"guavapoint-standin overhead --direct 127.0.0.1:21144 --entry 127.0.0.1:21112 --service docstore \\\n" +
			"  --path /documents/d1 --admin 127.0.0.1:21113 --admin 127.0.0.1:21143",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "direct", Required: true, Usage: "`IP:PORT` of the backend server"},
			&cli.StringFlag{Name: "entry", Required: true, Usage: "call address `IP:PORT` of an entry daemon"},
			&cli.StringFlag{Name: "service", Required: true, Usage: "`NAME` of the service"},
			&cli.StringFlag{Name: "path", Required: true, Usage: "`PATH` of an idempotent GET operation"},
			&cli.IntFlag{Name: "count", Value: 5000, Usage: "number of direct calls, and of calls through the daemons"},
			&cli.IntFlag{Name: "warmup", Value: 500, Usage: "number of calls of each kind before the measurement"},
			&cli.StringSliceFlag{Name: "admin", Usage: "admin address `IP:PORT` of a daemon whose CPU time is measured; repeatable"},
			outputFlag(),
		},
		Action: runOverhead,
	}
}

func runOverhead(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	result, err := load.MeasureOverhead(ctx, load.OverheadOptions{
		Direct: cmd.String("direct"), Entry: cmd.String("entry"), Service: cmd.String("service"), Path: cmd.String("path"),
		Count: cmd.Int("count"), Warmup: cmd.Int("warmup"), Admins: cmd.StringSlice("admin"),
	})
	if err != nil {
		return err
	}
	return writeResult(cmd, result, result.WriteTable)
}
