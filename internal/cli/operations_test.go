package cli

import (
	"context"
	"io"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
)

// Guards against a command line in docs/OPERATIONS.md that names an unknown command or that the program rejects.
func TestOperationsPageCommands(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	lines := regexp.MustCompile(`(?m)^guavapoint .+$`).FindAllString(string(page), -1)
	if len(lines) < 10 {
		t.Fatalf("only %d commands were found on the page", len(lines))
	}
	for _, line := range lines {
		p := Program{Stdout: io.Discard, Stderr: io.Discard}
		root := p.root()
		reached := ""
		replaceActions(root, func(cmd *cli.Command) { reached = cmd.FullName() })
		if err := root.Run(context.Background(), strings.Fields(line)); err != nil {
			t.Errorf("%s: %v", line, err)
		} else if !strings.HasPrefix(line, reached+" ") || reached == "guavapoint" {
			t.Errorf("%s: runs %q", line, reached)
		}
	}
}

// replaceActions replaces the action of each command without subcommands by a call of f.
func replaceActions(cmd *cli.Command, f func(*cli.Command)) {
	for _, sub := range cmd.Commands {
		replaceActions(sub, f)
	}
	if len(cmd.Commands) == 0 {
		cmd.Action = func(_ context.Context, cmd *cli.Command) error {
			f(cmd)
			return nil
		}
	}
}
