package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"guavapoint.example/guavapoint/internal/standin/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send a mix of requests at a bounded rate and report the outcomes that the callers received",
		Description: "Example:\n\n" +
			"guavapoint-standin load --entry 127.0.0.1:21112 --mix examples/registry/mix.json \\\n" +
			"  --rate 200 --duration 10s --record calls.jsonl",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "call address `IP:PORT` of an entry daemon; repeatable"},
			&cli.StringFlag{Name: "mix", Required: true, Usage: "JSON `FILE` with the operations"},
			&cli.FloatFlag{Name: "rate", Value: 10, Usage: "requests per second"},
			&cli.DurationFlag{Name: "duration", Usage: "`TIME` during which requests are started"},
			&cli.IntFlag{Name: "count", Usage: "number of requests"},
			&cli.IntFlag{Name: "max-in-flight", Value: 1000, Usage: "requests in flight at once; further ones are skipped and counted"},
			&cli.DurationFlag{Name: "timeout", Value: 2 * time.Second, Usage: "`TIME` that a caller waits for the answer to one attempt"},
			&cli.IntFlag{Name: "resends", Usage: "number of times that a caller resends a request that was not answered"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the random order of the operations"},
			&cli.StringFlag{Name: "key-prefix", Usage: "prefix of the request keys; random by default"},
			&cli.StringFlag{Name: "record", Usage: "`FILE` to which each result is appended as a JSON line"},
			outputFlag(),
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	options, err := loadOptions(cmd)
	if err != nil {
		return err
	}
	if name := cmd.String("record"); name != "" {
		record, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return usagef("can't open the record: %w", err)
		}
		defer record.Close()
		options.Record = record
	}
	report, err := load.Run(ctx, options)
	if report == nil {
		return err
	}
	return errors.Join(err, writeResult(cmd, report, report.WriteTable))
}

// loadOptions reads the mix file and returns the validated options of the flags, without the record.
func loadOptions(cmd *cli.Command) (load.Options, error) {
	name := cmd.String("mix")
	data, err := os.ReadFile(name)
	if err != nil {
		return load.Options{}, usagef("can't read the mix: %w", err)
	}
	mix, err := load.ParseMix(data)
	if err != nil {
		return load.Options{}, usagef("%s: %w", name, err)
	}
	o := load.Options{
		Entries: cmd.StringSlice("entry"), Mix: mix,
		Rate: cmd.Float("rate"), Duration: cmd.Duration("duration"), Count: cmd.Int("count"),
		MaxInFlight: cmd.Int("max-in-flight"), Timeout: cmd.Duration("timeout"), Resends: cmd.Int("resends"),
		Seed: cmd.Uint64("seed"), KeyPrefix: cmd.String("key-prefix"),
	}
	if o.KeyPrefix == "" {
		o.KeyPrefix = rand.Text()[:8] + "-"
	}
	if err := o.Validate(); err != nil {
		return load.Options{}, &usageError{err: err}
	}
	return o, nil
}

func verifyCommand() *cli.Command {
	return &cli.Command{
		Name:  "verify",
		Usage: "compare the outcomes that callers received with the requests that backend servers ran",
		Description: "Exits with code 1 if it finds a violation: a request reported as not-run that ran, a non-idempotent request that " +
			"ran more than once, a request reported as answered successfully that didn't run, or a wrong answer. Example:\n\n" +
			"guavapoint-standin verify --record calls.jsonl --run-log lookup-1.log --run-log docstore-1.log",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "record", Required: true, Usage: "`FILE` written by load; repeatable"},
			&cli.StringSliceFlag{Name: "run-log", Required: true, Usage: "`FILE` written by backend; repeatable"},
			outputFlag(),
		},
		Action: runVerify,
	}
}

func runVerify(_ context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	var results []load.Result
	err := readFiles(cmd.StringSlice("record"), func(r io.Reader) error {
		more, err := load.ReadRecord(r)
		results = append(results, more...)
		return err
	})
	if err != nil {
		return err
	}
	runs := make(load.RunCounts)
	if err := readFiles(cmd.StringSlice("run-log"), runs.AddLog); err != nil {
		return err
	}
	v := load.Verify(results, runs)
	if err := writeResult(cmd, v, v.WriteTable); err != nil {
		return err
	}
	if n := len(v.Violations); n > 0 {
		return fmt.Errorf("found %d violations", n)
	}
	return nil
}

// readFiles calls read with each of the named files. All errors are usage errors.
func readFiles(names []string, read func(io.Reader) error) error {
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return &usageError{err: err}
		}
		err = read(f)
		_ = f.Close() // can't lose data, because the file is open only for reading
		if err != nil {
			return usagef("%s: %w", name, err)
		}
	}
	return nil
}

// writeResult writes v as JSON, or by calling table if the output flag is "table".
func writeResult(cmd *cli.Command, v any, table func(io.Writer) error) error {
	w := cmd.Root().Writer
	if cmd.String("output") == "table" {
		return table(w)
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
