package cli

import (
	"context"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"guavapoint.example/guavapoint/docs"
	"guavapoint.example/guavapoint/internal/events"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain a reason code, a log event, or what happened to a request according to the logs",
		ArgsUsage: "[CODE... | --request ID FILE...]",
		Description: "CODE is a reason of the Guavapoint-Reason header, such as overload, or the number or name of a log event.\n" +
			"Without CODE, all codes are listed.\nWith --request, the lines about one request in the logs of several daemons are ordered by time, and the\n" +
			"cause of its failure is named.\n\nExamples:\n\nguavapoint explain incarnation-gone\nguavapoint explain 4009\n" +
			"guavapoint explain --output json\nguavapoint explain --request 9c41d07be2a35f68 a.log b.log",
		Flags:  []cli.Flag{outputFlag(), &cli.StringFlag{Name: "request", Usage: "`ID` of a request"}},
		Action: runExplain,
	}
}

// explanation is the result of explain for one code.
type explanation struct {
	Code string `json:"code"`
	Kind string `json:"kind"`
	// Event and Level are the name and the level of a log event; both are empty for a reason.
	Event   string `json:"event,omitempty"`
	Level   string `json:"level,omitempty"`
	Meaning string `json:"meaning"`
	// Ran says whether the request may have run.
	Ran    string `json:"ran"`
	Action string `json:"action"`
}

func runExplain(_ context.Context, cmd *cli.Command) error {
	if request := cmd.String("request"); request != "" {
		return runTrace(cmd, request)
	}
	all := explanations()
	if !cmd.Args().Present() {
		return writeResult(cmd, all, func(w io.Writer) error { return listExplanations(w, all) })
	}
	found := make([]explanation, 0, cmd.Args().Len())
	for _, code := range cmd.Args().Slice() {
		i := slices.IndexFunc(all, func(e explanation) bool { return e.Code == code || e.Event == code && code != "" })
		if i < 0 {
			return usageError(eris.Errorf("unknown code %q; guavapoint explain lists all", code))
		}
		found = append(found, all[i])
	}
	return writeResult(cmd, found, func(w io.Writer) error { return writeExplanations(w, found) })
}

// explanations returns all reasons sorted by code, followed by all events sorted by number.
func explanations() []explanation {
	var list []explanation
	for code, r := range reasonTexts {
		list = append(list, explanation{Code: string(code), Kind: "reason", Meaning: r.meaning, Ran: r.ran, Action: r.action})
	}
	slices.SortFunc(list, func(a, b explanation) int { return strings.Compare(a.Code, b.Code) })
	texts := eventTexts()
	for _, e := range events.All() {
		ran := ranByEvent[e.Number]
		if ran == "" {
			ran = ranNotApplicable
		}
		list = append(list, explanation{
			Code: strconv.Itoa(e.Number), Kind: "event", Event: e.Name, Level: e.Level.String(),
			Meaning: texts[e.Number].meaning, Ran: ran, Action: texts[e.Number].action,
		})
	}
	return list
}

// eventRow matches a row of docs/events.md. Its groups 1 to 3 are the number, the meaning and the action.
var eventRow = regexp.MustCompile(`(?m)^\| (\d+) \| \w+ \| \S+ \| ([^|]+) \| [^|]* ?\| ([^|]+?)( \\\*)? \|$`)

// eventTexts reads the meaning and the action of each event from the embedded page docs/events.md, by event number.
func eventTexts() map[int]codeText {
	texts := make(map[int]codeText)
	for _, m := range eventRow.FindAllStringSubmatch(docs.Events, -1) {
		number, _ := strconv.Atoi(m[1]) // the pattern has digits only
		texts[number] = codeText{meaning: plainText(m[2]), action: plainText(m[3])}
	}
	return texts
}

// plainText removes the Markdown backticks around code.
func plainText(s string) string {
	return strings.TrimSpace(strings.ReplaceAll(s, "`", ""))
}

func listExplanations(w io.Writer, list []explanation) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "code\tevent\tmeaning")
	for _, e := range list {
		fmt.Fprintf(t, "%s\t%s\t%s\n", e.Code, orDash(e.Event), e.Meaning)
	}
	return t.Flush()
}

func writeExplanations(w io.Writer, list []explanation) error {
	for i, e := range list {
		title := e.Code
		if e.Event != "" {
			title += " " + e.Event + " (" + e.Level + ")"
		}
		if i > 0 {
			fmt.Fprintln(w)
		}
		_, err := fmt.Fprintf(w, "%s\n  meaning: %s\n  has the request run: %s\n  what to do: %s\n", title, e.Meaning, e.Ran, e.Action)
		if err != nil {
			return err
		}
	}
	return nil
}
