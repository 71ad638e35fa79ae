package cli

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os/user"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"guavapoint.example/guavapoint/internal/control"
	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/platform"
)

// initialBackoff is the wait before the second attempt to write a change; each further wait is twice as long. The four
// waits between five attempts take 3 s in total, which is enough for the platform to elect a new leader.
const initialBackoff = 200 * time.Millisecond

// platformFlags returns the flags that all commands that read the configuration have in common.
func platformFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: "platform", Required: true, Usage: "`URL` of the platform's key-value service; repeatable",
			Validator: checkPlatformURLs,
		},
		&cli.StringSliceFlag{
			Name: "daemon", Validator: checkAdminAddresses,
			Usage: "admin address `IP:PORT` of a daemon to compare with, which detects a platform restored from an older copy; repeatable",
		},
		outputFlag(),
	}
}

// changeFlags returns the flags that all commands that write the configuration have in common, followed by more.
func changeFlags(more ...cli.Flag) []cli.Flag {
	flags := append(platformFlags(),
		&cli.StringFlag{
			Name: "by", Usage: "`NAME` of the operator, recorded in the change (default: the login name)",
			Sources: cli.EnvVars("GUAVAPOINT_OPERATOR"),
		},
		&cli.BoolFlag{Name: "dry-run", Usage: "show the difference and write nothing"},
	)
	return append(flags, more...)
}

func checkPlatformURLs(urls []string) error {
	for _, s := range urls {
		u, err := url.Parse(s)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return fmt.Errorf("%q is not a platform URL; allowed is http://IP:PORT or https://IP:PORT", s)
		}
	}
	return nil
}

func checkAdminAddresses(addresses []string) error {
	for _, a := range addresses {
		if err := checkAdminAddress(a); err != nil {
			return err
		}
	}
	return nil
}

// editor reads and writes the configuration for one command.
type editor struct {
	cmd       *cli.Command
	fleet     *fleet // the daemons that the operator named; may be empty
	publisher *control.Publisher
	base      control.Base // the configuration that the change is based on
}

// openEditor reads the configuration to edit. base.Document is nil if there is no valid configuration.
func openEditor(ctx context.Context, cmd *cli.Command) (*editor, error) {
	store, err := platform.NewClient(cmd.StringSlice("platform"), nil, 0)
	if err != nil {
		return nil, usageError(err)
	}
	e := &editor{cmd: cmd, fleet: newFleet(cmd.StringSlice("daemon"), cmd.Root().ErrWriter)}
	e.publisher = &control.Publisher{Store: store, NewID: rand.Text, Pause: backoff}
	if len(e.fleet.daemons) > 0 {
		e.publisher.Fleet = e.fleet
	}
	if e.base, err = e.publisher.Current(ctx); err != nil {
		return nil, err
	}
	if e.base.Restored {
		e.warn("the platform was restored from an older copy; using version %v, which daemons have in effect",
			e.base.Version)
	}
	return e, nil
}

// openForChange is openEditor for a command that writes. Its error states that nothing was changed.
func openForChange(ctx context.Context, cmd *cli.Command) (*editor, error) {
	e, err := openEditor(ctx, cmd)
	return e, eris.Wrap(err, "nothing was changed")
}

// backoff waits before attempt i > 0 of a write. It implements control.Publisher.Pause.
func backoff(ctx context.Context, i int) error {
	return sleep(ctx, initialBackoff<<(i-1))
}

func (e *editor) warn(format string, args ...any) {
	fmt.Fprintf(e.cmd.Root().ErrWriter, "warning: "+format+"\n", args...)
}

// document returns a copy of the configuration to edit, or an error if there is none.
func (e *editor) document() (*config.Document, error) {
	if e.base.Document == nil {
		return nil, &Error{Code: ExitRefused, Err: eris.Errorf(
			"the platform holds no valid configuration under %s; write one with guavapoint config put", control.ConfigKey)}
	}
	return e.base.Document.Clone(), nil
}

// Outcomes of a change.
const (
	outcomeAccepted  = "accepted"
	outcomeLostRace  = "lost-race"
	outcomeUnknown   = "unknown"
	outcomeUnchanged = "unchanged"
	outcomeDryRun    = "dry-run"
)

// changeResult is the result of a command that writes the configuration.
type changeResult struct {
	Outcome string `json:"outcome"`
	// ChangeID is empty if no write was attempted.
	ChangeID string `json:"change_id,omitempty"`
	// Version is the version of the change if it was accepted, otherwise that of the configuration that it is based on.
	Version string `json:"version"`
	// Confirmed reports that no queried daemon has a higher version in effect, from before a restore of the platform.
	Confirmed bool `json:"confirmed"`
	// Difference lists the changes from the configuration in effect to the one to be written.
	Difference []fieldChange `json:"difference"`
	Winner     *winner       `json:"winner,omitempty"`
	Error      string        `json:"error,omitempty"`
	// Daemons is the result of the wait flag.
	Daemons []daemonVersion `json:"daemons,omitempty"`
}

// winner is the change that took effect instead of the refused one.
type winner struct {
	Version   string `json:"version"`
	ChangedBy string `json:"changed_by"`
	// Difference lists the changes from the refused document to the winner's.
	Difference []fieldChange `json:"difference"`
}

// fieldChange is the change of one field of the configuration. It has the fields of config.Change.
type fieldChange struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

func fieldChanges(changes []config.Change) []fieldChange {
	list := make([]fieldChange, 0, len(changes))
	for _, c := range changes {
		list = append(list, fieldChange(c))
	}
	return list
}

func writeDifference(w io.Writer, list []fieldChange) {
	for _, d := range list {
		fmt.Fprintf(w, "  %s\n", config.Change(d))
	}
}

// change writes next in place of the base configuration, or only validates it if the dry-run flag is set. It writes the
// result and returns the error with the exit code.
func (e *editor) change(ctx context.Context, next *config.Document) error {
	next.ChangedBy = e.operator()
	r := &changeResult{Version: e.base.Version.String(), Difference: fieldChanges(config.Diff(e.base.Document, next))}
	if e.cmd.String("output") == formatTable && len(r.Difference) > 0 {
		fmt.Fprintf(e.cmd.Root().Writer, "difference to version %s:\n", r.Version)
		writeDifference(e.cmd.Root().Writer, r.Difference)
	}
	effective := e.base.Version // the version to wait for
	var exitErr error
	switch {
	case len(r.Difference) == 0 && e.base.Document != nil && !e.base.Restored:
		r.Outcome = outcomeUnchanged
	case e.cmd.Bool("dry-run"):
		return e.dryRun(r, next)
	default:
		published, err := e.publisher.Publish(ctx, e.base, next)
		if err != nil {
			return e.publishError(err)
		}
		exitErr = r.applyResult(published)
		effective = published.Version
	}
	if exitErr == nil && e.cmd.Bool("wait") {
		r.Daemons, exitErr = e.waitInEffect(ctx, effective)
	}
	if err := writeResult(e.cmd, r, r.writeTable); err != nil {
		return err
	}
	return exitErr
}

// dryRun validates the document as Publish would, with placeholders for the epoch and the change id.
func (e *editor) dryRun(r *changeResult, next *config.Document) error {
	next.Epoch, next.ChangeID = max(next.Epoch, 1), "dry-run"
	data, err := next.Encode()
	if err != nil {
		return usageError(err)
	}
	if _, err := config.Parse(data); err != nil {
		return usageError(err)
	}
	r.Outcome = outcomeDryRun
	return writeResult(e.cmd, r, r.writeTable)
}

// publishError returns the error with the exit code for a change of which Publish wrote nothing.
func (e *editor) publishError(err error) error {
	var invalid *config.InvalidError
	if errors.As(err, &invalid) || errors.Is(err, config.ErrTooLarge) {
		return usageError(err)
	}
	return eris.Wrap(err, "nothing was changed")
}

// operator returns the name that is recorded as the author of the change.
func (e *editor) operator() string {
	if name := e.cmd.String("by"); name != "" {
		return name
	}
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "unknown"
}

// applyResult copies the outcome of a change into r and returns the error with the exit code.
func (r *changeResult) applyResult(p control.Result) error {
	r.ChangeID = p.ChangeID
	switch p.Kind {
	case control.Accepted:
		r.Outcome, r.Version, r.Confirmed = outcomeAccepted, p.Version.String(), p.Confirmed
		return nil
	case control.LostRace:
		r.Outcome = outcomeLostRace
		r.Winner = &winner{Version: p.Winner.String(), ChangedBy: p.WinnerBy, Difference: fieldChanges(p.Difference)}
		return &Error{Code: ExitLostRace, Err: eris.New("lost the race against another change; this change is not in effect")}
	default:
		r.Outcome = outcomeUnknown
		if p.Err != nil {
			r.Error = p.Err.Error()
		}
		return &Error{Code: ExitUnknown, Err: eris.Errorf("unknown whether change %s took effect", p.ChangeID)}
	}
}

func (r *changeResult) writeTable(w io.Writer) error {
	switch r.Outcome {
	case outcomeAccepted:
		fmt.Fprintf(w, "accepted: version %s, change id %s\n", r.Version, r.ChangeID)
		if !r.Confirmed {
			fmt.Fprintln(w, "not compared with the daemons; name some with --daemon to detect a platform restored from an older copy")
		}
	case outcomeUnchanged:
		fmt.Fprintf(w, "unchanged: version %s already has this content; nothing was written\n", r.Version)
	case outcomeDryRun:
		fmt.Fprintln(w, "dry run: the document is valid; nothing was written")
	case outcomeLostRace:
		r.writeLostRace(w)
	case outcomeUnknown:
		r.writeUnknown(w)
	}
	return writeDaemonVersions(w, r.Daemons)
}

func (r *changeResult) writeLostRace(w io.Writer) {
	by := r.Winner.ChangedBy
	if by == "" {
		by = "an unknown operator"
	}
	fmt.Fprintf(w, "lost the race: version %s by %s took effect instead\n", r.Winner.Version, by)
	if len(r.Winner.Difference) == 0 {
		fmt.Fprintln(w, "it has the same content; no further action is needed")
		return
	}
	fmt.Fprintln(w, "difference from the refused document to the one in effect:")
	writeDifference(w, r.Winner.Difference)
	fmt.Fprintln(w, "read it with guavapoint config show, and repeat the change on top of it if the change is still wanted")
}

func (r *changeResult) writeUnknown(w io.Writer) {
	fmt.Fprintf(w, "unknown: change id %s may be in effect, now or later\n", r.ChangeID)
	if r.Error != "" {
		fmt.Fprintf(w, "reason: %s\n", r.Error)
	}
	fmt.Fprintln(w, "when the platform responds again, run guavapoint config show: if change_id is this one, the change is in effect; "+
		"otherwise repeat the change if it is still wanted")
}
