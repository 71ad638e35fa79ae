package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"guavapoint.example/guavapoint/internal/standin/certs"
)

func certsCommand() *cli.Command {
	return &cli.Command{
		Name:      "certs",
		Usage:     "generate a certificate authority, and certificates for daemons on loopback",
		ArgsUsage: "NAME...",
		Description: "Writes authority.pem, NAME.pem and NAME-key.pem. The authority's key is not kept, so all " +
			"daemons of a deployment must be named in one run. Example:\n\n" +
			"guavapoint-standin certs --dir examples/registry/tls kingston-a-lookup kingston-a-holdership",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Required: true, Usage: "`DIRECTORY` to write to; created if needed"},
		},
		Action: runCerts,
	}
}

func runCerts(_ context.Context, cmd *cli.Command) error {
	if !cmd.Args().Present() {
		return usagef("no daemon is named; see %s --help", cmd.FullName())
	}
	authority, err := certs.NewAuthority(cmd.String("dir"))
	if err != nil {
		return fmt.Errorf("can't create the certificate authority: %w", err)
	}
	for _, name := range cmd.Args().Slice() {
		if _, err := authority.Issue(name); err != nil {
			return fmt.Errorf("can't issue the certificate for %s: %w", name, err)
		}
	}
	return nil
}
