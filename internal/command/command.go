// Package command implements the command line of cicadabarrow.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/urfave/cli/v3"

	"cicadabarrow.example/cicadabarrow/internal/api"
)

const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// Run runs the command line and returns the exit status: 0 for success, 1 for a
// failure, 2 for a usage error.
func Run(ctx context.Context, signals *Signals, args []string, stdout, stderr io.Writer) int {
	err := newRoot(signals, stdout, stderr).Run(ctx, args)
	if err == nil {
		return exitDone
	}
	if errors.Is(err, errFindings) {
		return exitFailed
	}
	var failed *failure
	if !errors.As(err, &failed) {
		_, _ = fmt.Fprintln(stderr, "cicadabarrow:", err)
		return exitUsage
	}
	if failed.format != formatJSON {
		_, _ = fmt.Fprintln(stderr, "cicadabarrow:", failed.err)
		return exitFailed
	}
	encoder := json.NewEncoder(stderr)
	if err := encoder.Encode(failed.body()); err != nil {
		_, _ = fmt.Fprintln(stderr, "cicadabarrow:", err)
	}
	return exitFailed
}

func newRoot(signals *Signals, stdout, stderr io.Writer) *cli.Command {
	servers := []*cli.Command{serveCommand(signals), hostCommand(signals), standinCommand(signals)}
	others := []*cli.Command{
		settingsCommand(stdout),
		keyCommand(stdout),
		planCommand(stdout),
		manifestCommand(stdout),
		jobCommand(stdout),
		workerCommand(stdout),
		upstreamCommand(stdout),
		reportCommand(stdout),
		cellCommand(stdout),
		logCommand(stdout),
		demoCommand(stdout),
		experimentCommand(stdout, stderr),
		versionCommand(stdout),
	}
	for _, cmd := range others {
		cmd.Before = restoreDefaults(signals.stops, signals.hangups)
	}
	root := &cli.Command{
		Name:           "cicadabarrow",
		Usage:          "schedules services, batch and all-at-once jobs on the same hosts",
		Description:    example("cicadabarrow plan get --team payments --out payments.json"),
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands:       slices.Concat(servers, others),
	}
	setUsageErrors(root)
	return root
}

// setUsageErrors makes a command and its subcommands report usage errors, without
// printing the whole help text. A command group needs one of its subcommands.
func setUsageErrors(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		return usageError(cmd, "%w", err)
	}
	if len(cmd.Commands) > 0 {
		cmd.Action = func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usageError(cmd, "there is no command %q", cmd.Args().First())
			}
			return usageError(cmd, "a command is missing")
		}
	}
	for _, inner := range cmd.Commands {
		setUsageErrors(inner)
	}
}

// example returns a description that shows how a command is used.
func example(line string) string { return "Example:\n  " + line }

// usageError returns an error that leads to exit status 2.
func usageError(cmd *cli.Command, format string, args ...any) error {
	return fmt.Errorf("%w; see %s --help", fmt.Errorf(format, args...), cmd.FullName())
}

// failure is an error that leads to exit status 1. It is printed as text or as
// JSON, as format says.
type failure struct {
	err    error
	format string
}

func (f *failure) Error() string { return f.err.Error() }

func (f *failure) Unwrap() error { return f.err }

// body returns what is printed to standard error in JSON: the failure in the form
// of an error response of the HTTP API.
func (f *failure) body() api.Error {
	body := api.Error{Kind: "failed", Message: f.err.Error()}
	fillErrorBody(f.err, &body)
	return body
}
