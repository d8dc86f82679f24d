package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"
)

// Version is the version that the version command prints.
const Version = "0.1.0"

func versionCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "version",
		Usage:       "prints the version",
		Description: example("cicadabarrow version"),
		Flags:       []cli.Flag{formatFlag()},
		Action: commandAction(stdout, 0, func(context.Context, *cli.Command) (result, error) {
			return result{
				JSON: struct{ Version string }{Version},
				Text: func(w io.Writer) { row(w, "cicadabarrow "+Version) },
			}, nil
		}),
	}
}
