package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"cicadabarrow.example/cicadabarrow/internal/logtrace"
)

func logCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "log",
		Usage:       "reads the logs of entry hosts",
		Description: example("cicadabarrow log trace 5c0e7a21d94b36f8 host-1.log host-2.log"),
		Commands: []*cli.Command{{
			Name:  "trace",
			Usage: "collects what the logs of several hosts say about one job, in chronological order",
			Description: example("cicadabarrow log trace 5c0e7a21d94b36f8 host-1.log host-2.log") +
				"\nLines about the owner, and about workers that ran the job, are shown beside it.",
			ArgsUsage: "JOB FILE...",
			Flags:     []cli.Flag{formatFlag()},
			Action: func(_ context.Context, cmd *cli.Command) error {
				if cmd.Args().Len() < 2 {
					return usageError(cmd, "a job and at least one file are needed")
				}
				if err := traceLogs(stdout, cmd.Args().First(), cmd.Args().Tail()); err != nil {
					return &failure{err: err, format: cmd.String(flagFormat)}
				}
				return nil
			},
		}},
	}
}

func traceLogs(stdout io.Writer, job string, files []string) error {
	trace := logtrace.New(job)
	for _, name := range files {
		if err := readLog(trace, name); err != nil {
			return err
		}
	}
	lines := trace.Lines()
	if len(lines) == 0 {
		return fmt.Errorf("no log line mentions job %q", job)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(stdout, line); err != nil {
			return err
		}
	}
	return nil
}

func readLog(trace *logtrace.Trace, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := trace.Read(file); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
