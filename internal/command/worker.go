package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/client"
)

func workerCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "worker",
		Usage:       "shows, drains and quarantines workers",
		Description: example("cicadabarrow worker list"),
		Commands: []*cli.Command{
			{
				Name:        "list",
				Usage:       "lists the workers",
				Description: example("cicadabarrow worker list"),
				Flags:       serverFlags(),
				Action: commandAction(stdout, 0, func(ctx context.Context, cmd *cli.Command) (result, error) {
					server, err := newClient(cmd)
					if err != nil {
						return result{}, err
					}
					workers, err := server.Workers(ctx)
					if err != nil {
						return result{}, err
					}
					return result{JSON: workers, Text: func(w io.Writer) {
						showWorkers(w, workers.Workers...)
						showUnreached(w, workers.Unreached)
					}}, nil
				}),
			},
			workerChangeCommand(stdout, "drain", "stops new work on a worker and moves its services away", (*client.Client).Drain),
			workerChangeCommand(stdout, "quarantine", "stops new work on a worker until its probes succeed", (*client.Client).Quarantine),
		},
	}
}

func workerChangeCommand(stdout io.Writer, name, usage string,
	change func(*client.Client, context.Context, string) (api.Worker, error),
) *cli.Command {
	return &cli.Command{
		Name:        name,
		Usage:       usage,
		ArgsUsage:   "NAME",
		Description: example("cicadabarrow worker " + name + " kita-hakata-r1-w3 --key-file operator.key"),
		Flags:       serverFlags(),
		Action: commandAction(stdout, 1, func(ctx context.Context, cmd *cli.Command) (result, error) {
			server, err := newClient(cmd)
			if err != nil {
				return result{}, err
			}
			worker, err := change(server, ctx, cmd.Args().First())
			if err != nil {
				return result{}, err
			}
			return result{JSON: worker, Text: func(w io.Writer) { showWorkers(w, worker) }}, nil
		}),
	}
}

func showWorkers(w io.Writer, workers ...api.Worker) {
	row(w, "NAME", "DATA CENTRE", "RACK", "OWNER", "STATE", "TASKS", "RESERVED", "ROOM")
	for _, one := range workers {
		row(w, one.Name, one.DataCentre, one.Rack, one.Owner, one.State, one.Tasks, showSize(one.Reserved), showSize(one.Room))
	}
}

func showSize(s api.Size) string {
	return fmt.Sprintf("%dm/%dMB/%d", s.MilliCores, s.MemoryMB, s.Accelerators)
}
