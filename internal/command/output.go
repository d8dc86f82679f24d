package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

const (
	flagFormat = "format"
	formatText = "text"
	formatJSON = "json"
)

// result is the result of a command, which is printed as JSON or as text.
type result struct {
	// JSON is the value to encode; a json.RawMessage may hold encoded JSON.
	JSON any
	// Text writes lines whose cells are separated by tabs.
	Text func(w io.Writer)
}

func formatFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  flagFormat,
		Usage: "text or json",
		Value: formatText,
		Validator: func(format string) error {
			if format != formatText && format != formatJSON {
				return fmt.Errorf("format is %q; allowed is text or json", format)
			}
			return nil
		},
	}
}

// commandAction returns the action of a command that prints the result of a
// function. It checks the number of arguments before calling the function. An
// error of the function is a failure and never a usage error.
func commandAction(stdout io.Writer, args int, run func(context.Context, *cli.Command) (result, error)) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if cmd.Args().Len() != args {
			return usageError(cmd, "%d arguments given; allowed is %d", cmd.Args().Len(), args)
		}
		if slices.Contains(cmd.Args().Slice(), "") {
			return usageError(cmd, "an argument is empty")
		}
		format := cmd.String(flagFormat)
		shown, err := run(ctx, cmd)
		if err == nil {
			err = show(stdout, format, shown)
		}
		if err != nil {
			return &failure{err: err, format: format}
		}
		return nil
	}
}

func show(stdout io.Writer, format string, shown result) error {
	if format == formatJSON {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(shown.JSON)
	}
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	shown.Text(table)
	return table.Flush()
}

// showUnreached prints the data centres that are missing from a response.
func showUnreached(w io.Writer, dataCentres []string) {
	for _, name := range dataCentres {
		row(w, "not reached: "+name)
	}
}

// row writes one line of a table; its cells are separated by tabs.
func row(w io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, cell)
	}
	_, _ = fmt.Fprintln(w)
}
