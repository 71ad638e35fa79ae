package main

import (
	"context"
	"crypto/rand"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"guavapoint.example/guavapoint/internal/standin/load"
)

func callCommand() *cli.Command {
	return &cli.Command{
		Name:      "call",
		Usage:     "send a request and print each response",
		ArgsUsage: "METHOD SERVICE/PATH",
		Description: "Uses the token that the daemon issues. With --times, the same request is sent repeatedly with the same " +
			"token, through the entry daemons in turn.\nExits with code 1 unless all answers are complete, successful and " +
			"identical. Example:\n\n" +
			"guavapoint-standin call --entry 127.0.0.1:21112 --entry 127.0.0.1:21212 --times 2 \\\n" +
			"  --body-bytes 300 POST holdership/transfers/t1",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "call address `IP:PORT` of an entry daemon; repeatable"},
			&cli.IntFlag{Name: "times", Value: 1, Usage: "number of times that the request is sent"},
			&cli.IntFlag{Name: "body-bytes", Usage: "size of the request body in bytes"},
			&cli.BoolFlag{Name: "upload", Usage: "expect the SHA-256 of the body in the answer"},
			&cli.StringFlag{Name: "key", Usage: "request `KEY`; random by default"},
			&cli.DurationFlag{Name: "timeout", Value: 2 * time.Second, Usage: "`TIME` that the caller waits for an answer"},
			outputFlag(),
		},
		Action: runCall,
	}
}

func runCall(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return usagef("a method and SERVICE/PATH are needed; see %s --help", cmd.FullName())
	}
	service, path, ok := strings.Cut(cmd.Args().Get(1), "/")
	if !ok {
		return usagef("%q is not SERVICE/PATH", cmd.Args().Get(1))
	}
	op := load.Operation{
		Service: service, Method: cmd.Args().Get(0), Path: "/" + path,
		BodyBytes: cmd.Int("body-bytes"), Upload: cmd.Bool("upload"),
	}
	key := cmd.String("key")
	if key == "" {
		key = rand.Text()[:12]
	}
	options := load.Options{Entries: cmd.StringSlice("entry"), Timeout: cmd.Duration("timeout")}
	e, err := load.SendRequest(ctx, options, op, key, cmd.Int("times"))
	if err != nil {
		return &usageError{err: err}
	}
	if err := writeResult(cmd, e, e.WriteTable); err != nil {
		return err
	}
	return e.Check()
}
