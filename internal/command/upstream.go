package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"
)

func upstreamCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "upstream",
		Usage:       "shows upstream instances",
		Description: example("cicadabarrow upstream list"),
		Commands: []*cli.Command{{
			Name:        "list",
			Usage:       "lists the upstream instances",
			Description: example("cicadabarrow upstream list"),
			Flags:       serverFlags(),
			Action: commandAction(stdout, 0, func(ctx context.Context, cmd *cli.Command) (result, error) {
				server, err := newClient(cmd)
				if err != nil {
					return result{}, err
				}
				all, err := server.Upstreams(ctx)
				if err != nil {
					return result{}, err
				}
				return result{JSON: all, Text: func(w io.Writer) {
					row(w, "NAME", "SERVICE", "DATA CENTRE", "OWNER", "STATE", "RUNNING", "SLOTS")
					for _, u := range all {
						row(w, u.Name, u.Service, u.DataCentre, u.Owner, u.State, u.Running, u.Slots)
					}
				}}, nil
			}),
		}},
	}
}
