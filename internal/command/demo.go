package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/demo"
)

const (
	minDemoDuration = time.Second
	maxDemoDuration = 10 * time.Minute
	// maxDemoHosts is the maximum number of hosts of each kind.
	maxDemoHosts = 5000
)

var errViolation = errors.New("a promise was broken; the summary says which")

func demoCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "runs a whole deployment on loopback and checks its invariants",
		Description: example("cicadabarrow demo --deployment tiras --faults --seed 7"),
		Flags: []cli.Flag{
			formatFlag(),
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the load and the faults", Value: 1},
			&cli.DurationFlag{
				Name: "duration", Usage: "how long the load lasts", Value: 10 * time.Second,
				Validator: func(d time.Duration) error {
					if d < minDemoDuration || d > maxDemoDuration {
						return fmt.Errorf("duration is %v; allowed is %v to %v", d, minDemoDuration, maxDemoDuration)
					}
					return nil
				},
			},
			&cli.StringFlag{
				Name: "deployment", Usage: "tsukushi or tiras", Value: "tsukushi",
				Validator: func(name string) error {
					if name != "tsukushi" && name != "tiras" {
						return fmt.Errorf("deployment is %q; allowed is tsukushi or tiras", name)
					}
					return nil
				},
			},
			&cli.BoolFlag{Name: "faults", Usage: "injects faults that are derived from the seed"},
			&cli.BoolFlag{Name: "idle", Usage: "generates no load, to measure the cost of an idle deployment"},
			sizeFlag("workers"), sizeFlag("upstreams"), sizeFlag("entry-hosts"), sizeFlag("data-centres"),
			&cli.BoolFlag{Name: "log", Usage: "shows the entry hosts' logs"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error { return runDemo(ctx, cmd, stdout) },
	}
}

// sizeFlag returns a flag for the number of hosts of one kind.
func sizeFlag(name string) cli.Flag {
	return &cli.IntFlag{
		Name: name, Usage: "number of " + strings.ReplaceAll(name, "-", " ") + "; 0 means the deployment's own number",
		Validator: func(n int) error {
			if n < 0 || n > maxDemoHosts {
				return fmt.Errorf("%s is %d; allowed is 0 to %d", name, n, maxDemoHosts)
			}
			return nil
		},
	}
}

func runDemo(ctx context.Context, cmd *cli.Command, stdout io.Writer) error {
	if cmd.Args().Present() {
		return usageError(cmd, "%d arguments given; allowed is 0", cmd.Args().Len())
	}
	log := zap.NewNop()
	if cmd.Bool("log") {
		var err error
		if log, err = zap.NewDevelopment(); err != nil {
			return &failure{err: err, format: cmd.String(flagFormat)}
		}
	}
	summary, err := demo.Run(ctx, demo.Config{
		Deployment: cmd.String("deployment"), Seed: cmd.Uint64("seed"), Duration: cmd.Duration("duration"),
		Faults: cmd.Bool("faults"), Idle: cmd.Bool("idle"),
		Workers: cmd.Int("workers"), Upstreams: cmd.Int("upstreams"), EntryHosts: cmd.Int("entry-hosts"),
		DataCentres: cmd.Int("data-centres"), Progress: stdout, Log: log,
	})
	if err == nil {
		if cmd.String(flagFormat) == formatJSON {
			err = summary.WriteJSON(stdout)
		} else {
			err = summary.WriteText(stdout)
		}
	}
	if err == nil && summary.HasViolations() {
		err = errViolation
	}
	if err != nil {
		return &failure{err: err, format: formatText}
	}
	return nil
}
