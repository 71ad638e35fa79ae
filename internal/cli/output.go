package cli

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

// Values of the output flag.
const (
	formatTable = "table"
	formatJSON  = "json"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "output", Value: formatTable, Usage: "`FORMAT` of the result: table or json",
		Validator: func(s string) error {
			if s != formatTable && s != formatJSON {
				return fmt.Errorf("%q is neither table nor json", s)
			}
			return nil
		},
	}
}

// writeResult writes v as JSON, or by calling table if the output flag is "table".
func writeResult(cmd *cli.Command, v any, table func(io.Writer) error) error {
	w := cmd.Root().Writer
	if cmd.String("output") == formatTable {
		return eris.Wrap(table(w), "write the result")
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return eris.Wrap(enc.Encode(v), "write the result")
}
