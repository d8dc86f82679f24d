package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/experiment"
)

const (
	flagLoad           = "load"
	flagOrder          = "order"
	flagFit            = "fit"
	flagPlots          = "plots"
	flagProgress       = "progress"
	flagSeed           = "seed"
	flagNoPreempt      = "no-preemption"
	flagNoReschedule   = "no-moves"
	flagWaitForRecords = "wait-for-records"
	flagNoAccounts     = "no-accounts"
)

func experimentCommand(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "simulates the scheduler's decisions on a load in virtual time",
		Description: example("cicadabarrow experiment --load examples/loads/full-cell.json --seed 1") +
			"\nThe same load, seed and policy give the same result. The flags on order, fit, preemption, moves and" +
			"\nrecords select baselines to compare the scheduler with.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagLoad, Usage: "the load, a `FILE` in JSON", Required: true},
			&cli.Uint64Flag{Name: flagSeed, Usage: "the `NUMBER` that seeds all random choices", Value: 1},
			&cli.StringFlag{Name: flagOrder, Usage: "how waiting steps are ordered: due or arrival", Value: "due"},
			&cli.StringFlag{Name: flagFit, Usage: "how a worker is chosen: best, first or random", Value: "best"},
			&cli.BoolFlag{Name: flagNoPreempt, Usage: "never stop a run for an urgent step"},
			&cli.BoolFlag{Name: flagNoReschedule, Usage: "never move a run that makes too little progress"},
			&cli.BoolFlag{Name: flagWaitForRecords, Usage: "delay each start until its record is durable, however slow the store is"},
			&cli.BoolFlag{Name: flagNoAccounts, Usage: "accept the jobs of accounts as jobs without an account"},
			&cli.StringFlag{Name: flagPlots, Usage: "write plots of waiting time and packing to a `FOLDER`"},
			&cli.BoolFlag{Name: flagProgress, Usage: "report the progress on standard error"},
			formatFlag(),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			options, err := experimentOptions(cmd, stderr)
			if err != nil {
				return err
			}
			if err := runExperiment(ctx, cmd, options, stdout); err != nil {
				return &failure{err: err, format: cmd.String(flagFormat)}
			}
			return nil
		},
	}
}

func experimentOptions(cmd *cli.Command, stderr io.Writer) (experiment.Options, error) {
	orders := map[string]cell.Order{"due": cell.OrderDue, "arrival": cell.OrderArrival}
	fits := map[string]cell.Fit{"best": cell.FitBest, "first": cell.FitFirst, "random": cell.FitRandom}
	order, known := orders[cmd.String(flagOrder)]
	if !known {
		return experiment.Options{}, usageError(cmd, "--%s is %q; due or arrival are allowed", flagOrder, cmd.String(flagOrder))
	}
	fit, known := fits[cmd.String(flagFit)]
	if !known {
		return experiment.Options{}, usageError(cmd, "--%s is %q; best, first or random are allowed", flagFit, cmd.String(flagFit))
	}
	options := experiment.Options{
		Seed: cmd.Uint64(flagSeed), WaitForRecords: cmd.Bool(flagWaitForRecords), IgnoreAccounts: cmd.Bool(flagNoAccounts),
		Policy: cell.Policy{Order: order, Fit: fit, NoPreemption: cmd.Bool(flagNoPreempt), NoReschedule: cmd.Bool(flagNoReschedule)},
	}
	if cmd.Bool(flagProgress) {
		options.Progress = func(share float64) { _, _ = fmt.Fprintf(stderr, "%3.0f%%\n", 100*share) }
	}
	return options, nil
}

func runExperiment(ctx context.Context, cmd *cli.Command, options experiment.Options, stdout io.Writer) error {
	file, err := os.Open(cmd.String(flagLoad))
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	load, err := experiment.ReadLoad(file)
	if err != nil {
		return fmt.Errorf("%s: %w", cmd.String(flagLoad), err)
	}
	result, err := experiment.Simulate(ctx, load, options)
	if err != nil {
		return err
	}
	if folder := cmd.String(flagPlots); folder != "" {
		if err := result.Plot(folder); err != nil {
			return err
		}
	}
	if cmd.String(flagFormat) == formatJSON {
		return result.WriteJSON(stdout)
	}
	return result.WriteText(stdout)
}
