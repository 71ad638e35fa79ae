package cli

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// Version is the version of the program.
const Version = "0.1.0-dev"

// buildInfo is the result of the version command.
type buildInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Modified bool   `json:"modified"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:        "version",
		Usage:       "print the version",
		Description: "Examples:\n\nguavapoint version\nguavapoint version --output json",
		Flags:       []cli.Flag{outputFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if err := noArgs(cmd); err != nil {
				return err
			}
			b := readBuildInfo()
			return writeResult(cmd, b, b.writeTable)
		},
	}
}

// readBuildInfo reads the revision from the version control data that the go command embeds in the binary.
func readBuildInfo() buildInfo {
	b := buildInfo{Version: Version, Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
	return b
}

func (b buildInfo) writeTable(w io.Writer) error {
	revision := b.Revision
	switch {
	case revision == "":
		revision = "unknown"
	case b.Modified:
		revision += " with changes"
	}
	_, err := fmt.Fprintf(w, "version   %s\nrevision  %s\ngo        %s\nplatform  %s\n", b.Version, revision, b.Go, b.Platform)
	return err
}
