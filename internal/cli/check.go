package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/settings"
)

// Kinds of files that the check command accepts.
const (
	kindSettings = "settings"
	kindDocument = "configuration"
)

// checkResult is the result of check for one file.
type checkResult struct {
	File     string         `json:"file"`
	Kind     string         `json:"kind"`
	Valid    bool           `json:"valid"`
	Problems []checkProblem `json:"problems"`
}

// checkProblem is one problem of a file. Field is empty if the problem concerns the whole file.
type checkProblem struct {
	Field   string `json:"field,omitempty"`
	Found   string `json:"found"`
	Allowed string `json:"allowed,omitempty"`
}

func (p checkProblem) String() string {
	text := "found " + p.Found
	if p.Field != "" {
		text = p.Field + ": " + text
	}
	if p.Allowed != "" {
		text += "; allowed: " + p.Allowed
	}
	return text
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check settings files and configuration documents without side effects",
		ArgsUsage: "FILE...",
		Description: "Reports all problems of all files and exits with 2 if there are any. Nothing is started, sent or " +
			"written. A JSON object with the field \"presets\" or \"services\" is checked as a configuration document, any " +
			"other file as settings.\n\nExamples:\n\n" +
			"guavapoint check /etc/guavapoint/settings.json\n" +
			"guavapoint check --output json examples/registry/config.json",
		Flags:  []cli.Flag{outputFlag()},
		Action: runCheck,
	}
}

func runCheck(_ context.Context, cmd *cli.Command) error {
	if !cmd.Args().Present() {
		return usageError(eris.Errorf("no file is named; see %s --help", cmd.FullName()))
	}
	var results checkResults
	invalid := 0
	for _, name := range cmd.Args().Slice() {
		r := checkFile(name)
		if !r.Valid {
			invalid++
		}
		results = append(results, r)
	}
	if err := writeResult(cmd, results, results.writeTable); err != nil {
		return err
	}
	if invalid > 0 {
		return usageError(eris.Errorf("%d of %d files are invalid", invalid, len(results)))
	}
	return nil
}

func checkFile(name string) checkResult {
	data, err := readLimited(name)
	if err != nil {
		return newCheckResult(name, "unknown", []checkProblem{
			{Found: fmt.Sprintf("an error (%v)", err), Allowed: "a readable file"},
		})
	}
	if isDocument(data) {
		_, err := config.Parse(data)
		return newCheckResult(name, kindDocument, documentProblems(err))
	}
	_, err = settings.Load(name)
	return newCheckResult(name, kindSettings, settingsProblems(err))
}

// readLimited reads at most one byte more than the largest valid file has, so that the parsers can report a file that
// is too large.
func readLimited(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, max(config.MaxSize, settings.MaxFileSize)+1))
}

// isDocument reports whether a file is to be checked as a configuration document. It returns false for malformed JSON,
// which is then reported as a problem of a settings file.
func isDocument(data []byte) bool {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return false
	}
	return fields["presets"] != nil || fields["services"] != nil
}

func newCheckResult(name, kind string, problems []checkProblem) checkResult {
	if problems == nil {
		problems = []checkProblem{} // an empty array in JSON, not null
	}
	return checkResult{File: name, Kind: kind, Valid: len(problems) == 0, Problems: problems}
}

func settingsProblems(err error) []checkProblem {
	var invalid *settings.InvalidError
	if !errors.As(err, &invalid) {
		return fileProblem(err)
	}
	var problems []checkProblem
	for _, p := range invalid.Problems {
		problems = append(problems, checkProblem{Field: p.Field, Found: p.Found, Allowed: p.Allowed})
	}
	return problems
}

func documentProblems(err error) []checkProblem {
	var invalid *config.InvalidError
	if !errors.As(err, &invalid) {
		return fileProblem(err)
	}
	var problems []checkProblem
	for _, p := range invalid.Problems {
		problems = append(problems, checkProblem{Field: p.Field, Found: p.Found, Allowed: p.Allowed})
	}
	return problems
}

// fileProblem returns err as a problem of the whole file, and no problem if err is nil.
func fileProblem(err error) []checkProblem {
	if err == nil {
		return nil
	}
	return []checkProblem{{Found: fmt.Sprintf("an error (%v)", err)}}
}

// countNoun returns a number followed by its noun, which gets a plural s unless n is 1.
func countNoun(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// checkResults holds the results of all files in the order of the arguments.
type checkResults []checkResult

func (rs checkResults) writeTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "file\tkind\tresult")
	for _, r := range rs {
		result := "valid"
		if !r.Valid {
			result = countNoun(len(r.Problems), "problem")
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", r.File, r.Kind, result)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range rs {
		for _, p := range r.Problems {
			if _, err := fmt.Fprintf(w, "%s: %s\n", r.File, p); err != nil {
				return err
			}
		}
	}
	return nil
}
