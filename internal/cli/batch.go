package cli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"guavapoint.example/guavapoint/internal/core/config"
)

func batchCommand() *cli.Command {
	return &cli.Command{
		Name: "batch", Usage: "show and renew support contracts of batches", HideHelpCommand: true, Action: showGroupHelp,
		Commands: []*cli.Command{
			{
				Name:  "list",
				Usage: "list the batches with their contracts and the days left",
				Description: "A contract expires at the end of its date in UTC. After that, the requests of its batch have at most class normal.\n\n" +
					"Examples:\n\nguavapoint batch list --platform http://10.0.0.1:2379\n" +
					"guavapoint batch list --platform http://10.0.0.1:2379 --output json",
				Flags:  platformFlags(),
				Action: runBatchList,
			},
			{
				Name:        "set-contract",
				Usage:       "set the contract of a batch",
				ArgsUsage:   "BATCH",
				Description: "Example:\n\nguavapoint batch set-contract --platform http://10.0.0.1:2379 --number C-2027-4 --expires 2028-03-31 public",
				Flags: changeFlags(
					&cli.StringFlag{Name: "number", Required: true, Usage: "contract `NUMBER`"},
					&cli.StringFlag{Name: "expires", Required: true, Usage: "last `DATE` of the contract in UTC, YYYY-MM-DD", Validator: checkDate},
				),
				Action: runSetContract,
			},
		},
	}
}

func checkDate(s string) error {
	_, err := config.ParseDate(s)
	return err
}

// batchStatus is one entry of the result of batch list.
type batchStatus struct {
	config.Batch
	DaysLeft int  `json:"days_left"`
	Expired  bool `json:"expired"`
}

func runBatchList(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	e, err := openEditor(ctx, cmd)
	if err != nil {
		return err
	}
	doc, err := e.document()
	if err != nil {
		return err
	}
	now := time.Now()
	list := make([]batchStatus, 0, len(doc.Batches))
	for _, b := range doc.Batches {
		list = append(list, batchStatus{b, b.Contract.DaysLeft(now), b.Contract.Expired(now)})
	}
	return writeResult(cmd, list, func(w io.Writer) error { return writeBatches(w, list) })
}

func writeBatches(w io.Writer, list []batchStatus) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "batch\tservices\tcontract\texpires\tdays left")
	for _, b := range list {
		left := fmt.Sprint(b.DaysLeft)
		if b.Expired {
			left = "expired"
		}
		fmt.Fprintf(t, "%s\t%v\t%s\t%s\t%s\n", b.Name, b.Services, b.Contract.Number, b.Contract.Expires, left)
	}
	return t.Flush()
}

func runSetContract(ctx context.Context, cmd *cli.Command) error {
	name, err := oneArg(cmd, "BATCH")
	if err != nil {
		return err
	}
	expires, err := config.ParseDate(cmd.String("expires"))
	if err != nil {
		return usageError(err)
	}
	e, err := openForChange(ctx, cmd)
	if err != nil {
		return err
	}
	next, err := e.document()
	if err != nil {
		return err
	}
	contract := config.Contract{Number: cmd.String("number"), Expires: expires}
	if err := setContract(next, name, contract); err != nil {
		return usageError(err)
	}
	if contract.Expired(time.Now()) {
		e.warn("the contract has already expired; as soon as the change is in effect, the services of the batch are limited to class normal")
	}
	return e.change(ctx, next)
}

// setContract replaces the contract of the named batch in doc. It returns an error if doc has no such batch.
func setContract(doc *config.Document, name string, c config.Contract) error {
	var known []string
	for i, b := range doc.Batches {
		if b.Name == name {
			doc.Batches[i].Contract = c
			return nil
		}
		known = append(known, b.Name)
	}
	return eris.Errorf("unknown batch %q; the configuration has %q", name, known)
}
