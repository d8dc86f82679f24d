// Package command is the command line of cicadabarrow.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"cicadabarrow.example/cicadabarrow/internal/api"
)

const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// Run runs the command line and returns the exit status: 0 when it is done, 1
// when it failed, 2 when it was used wrongly.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	err := newRoot(stdout, stderr).Run(ctx, args)
	if err == nil {
		return exitDone
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

func newRoot(stdout, stderr io.Writer) *cli.Command {
	root := &cli.Command{
		Name:           "cicadabarrow",
		Usage:          "schedules services, batch and all-at-once jobs on the same hosts",
		Description:    example("cicadabarrow plan get --team payments --out payments.json"),
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serveCommand(),
			hostCommand(),
			standinCommand(),
			settingsCommand(stdout),
			keyCommand(stdout),
			planCommand(stdout),
			jobCommand(stdout),
			workerCommand(stdout),
			upstreamCommand(stdout),
			reportCommand(stdout),
			cellCommand(stdout),
			logCommand(stdout),
			demoCommand(stdout),
			experimentCommand(stdout, stderr),
			versionCommand(stdout),
		},
	}
	setUsageErrors(root)
	return root
}

// setUsageErrors sets what all commands have in common: a group needs one of its
// commands, and wrong use is an error without the whole help text.
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

// example is the description of a command: how it is used.
func example(line string) string { return "Example:\n  " + line }

// usageError is an error that gives exit status 2.
func usageError(cmd *cli.Command, format string, args ...any) error {
	return fmt.Errorf("%w; see %s --help", fmt.Errorf(format, args...), cmd.FullName())
}

// failure is an error that gives exit status 1.
type failure struct {
	err    error
	format string
}

func (f *failure) Error() string { return f.err.Error() }

func (f *failure) Unwrap() error { return f.err }

// body returns the failure as the HTTP API would answer it.
func (f *failure) body() api.Error {
	body := api.Error{Kind: "failed", Message: f.err.Error()}
	fillErrorBody(f.err, &body)
	return body
}
