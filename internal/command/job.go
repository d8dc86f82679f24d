package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/client"
	"cicadabarrow.example/cicadabarrow/internal/job"
)

const (
	flagName     = "name"
	flagState    = "state"
	flagSelector = "selector"
)

func jobCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "job",
		Usage:       "submits, shows and cancels jobs",
		Description: example("cicadabarrow job submit --file settlement.json --key-file payments.key"),
		Commands: []*cli.Command{
			jobSubmitCommand(stdout),
			jobStatusCommand(stdout),
			jobListCommand(stdout),
			jobCancelCommand(stdout),
		},
	}
}

func jobSubmitCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "submit",
		Usage:       "submits a job; a repeat with the same ID does not submit it again",
		Description: example("cicadabarrow job submit --file settlement.json --key-file payments.key"),
		Flags:       serverFlags(&cli.StringFlag{Name: flagFile, Usage: "`FILE` with a job in JSON", Required: true}),
		Action: commandAction(stdout, 0, func(ctx context.Context, cmd *cli.Command) (result, error) {
			spec, err := readJob(cmd.String(flagFile))
			if err != nil {
				return result{}, err
			}
			server, err := newClient(cmd)
			if err != nil {
				return result{}, err
			}
			status, err := server.Submit(ctx, spec)
			if err != nil {
				return result{}, err
			}
			return result{JSON: status, Text: func(w io.Writer) { showJobs(w, status) }}, nil
		}),
	}
}

func readJob(name string) (job.Spec, error) {
	file, err := os.Open(name)
	if err != nil {
		return job.Spec{}, err
	}
	defer func() { _ = file.Close() }()
	spec, err := api.DecodeJob(file)
	if err != nil {
		return job.Spec{}, fmt.Errorf("%s: %w", name, err)
	}
	return spec, nil
}

func jobStatusCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "shows the status of a job",
		ArgsUsage:   "ID",
		Description: example("cicadabarrow job status settlement-2027-01-15"),
		Flags:       serverFlags(),
		Action: commandAction(stdout, 1, func(ctx context.Context, cmd *cli.Command) (result, error) {
			server, err := newClient(cmd)
			if err != nil {
				return result{}, err
			}
			status, err := server.Job(ctx, cmd.Args().First())
			if err != nil {
				return result{}, err
			}
			return result{JSON: status, Text: func(w io.Writer) { showJobs(w, status) }}, nil
		}),
	}
}

func jobListCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "list",
		Usage:       "lists jobs",
		Description: example("cicadabarrow job list --team payments --state Accepted"),
		Flags: serverFlags(teamFlag(false),
			&cli.StringFlag{Name: flagName, Usage: "`NAME` of the jobs"},
			&cli.StringFlag{Name: flagState, Usage: "`STATE`: Accepted, Done, Failed, Cancelled or Parked", Validator: checkState}),
		Action: commandAction(stdout, 0, func(ctx context.Context, cmd *cli.Command) (result, error) {
			server, err := newClient(cmd)
			if err != nil {
				return result{}, err
			}
			jobs, err := server.Jobs(ctx, client.JobFilter{
				Team: cmd.String(flagTeam), Name: cmd.String(flagName), State: cmd.String(flagState),
			})
			if err != nil {
				return result{}, err
			}
			return result{JSON: jobs, Text: func(w io.Writer) {
				showJobs(w, jobs.Jobs...)
				showUnreached(w, jobs.Unreached)
			}}, nil
		}),
	}
}

func checkState(text string) error {
	switch job.State(text) {
	case job.StateAccepted, job.StateDone, job.StateFailed, job.StateCancelled, job.StateParked:
		return nil
	default:
		return fmt.Errorf("state is %q; allowed is Accepted, Done, Failed, Cancelled or Parked", text)
	}
}

func showJobs(w io.Writer, jobs ...api.JobStatus) {
	row(w, "ID", "TEAM", "NAME", "KIND", "STATE", "TASKS", "RUNNING", "DONE", "FAILED", "MESSAGE")
	for _, j := range jobs {
		row(w, j.ID, j.Team, j.Name, j.Kind, j.State, j.Tasks, j.Running, j.Done, j.Failed, j.Message)
	}
}

func jobCancelCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "cancel",
		Usage:       "cancels one job, or all that a selector matches",
		ArgsUsage:   "ID or --selector",
		Description: example("cicadabarrow job cancel --selector team=payments,name=settlement --key-file payments.key"),
		Flags:       serverFlags(&cli.StringFlag{Name: flagSelector, Usage: "`SELECTOR` such as team=payments,name=settlement"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cancel, err := parseCancel(cmd)
			if err != nil {
				return err
			}
			return commandAction(stdout, cmd.Args().Len(), func(ctx context.Context, cmd *cli.Command) (result, error) {
				server, err := newClient(cmd)
				if err != nil {
					return result{}, err
				}
				done, err := server.Cancel(ctx, cancel)
				if err != nil {
					return result{}, err
				}
				return result{JSON: done, Text: func(w io.Writer) {
					row(w, fmt.Sprintf("cancelled %d jobs", done.Jobs))
					showUnreached(w, done.Unreached)
				}}, nil
			})(ctx, cmd)
		},
	}
}

// parseCancel parses the arguments of a cancel: either an ID or a selector.
func parseCancel(cmd *cli.Command) (api.Cancel, error) {
	text := cmd.String(flagSelector)
	if (text == "") != (cmd.Args().Len() == 1) || cmd.Args().Len() > 1 {
		return api.Cancel{}, usageError(cmd, "either one ID or --selector has to be given")
	}
	if text == "" {
		return api.Cancel{ID: cmd.Args().First()}, nil
	}
	selector := &api.Selector{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch {
		case name == "team" && value != "" && selector.Team == "":
			selector.Team = value
		case name == "name" && value != "" && selector.Name == "":
			selector.Name = value
		default:
			return api.Cancel{}, usageError(cmd, "selector has %q; allowed is team=NAME and name=NAME, each once", pair)
		}
	}
	if selector.Team == "" {
		return api.Cancel{}, usageError(cmd, "selector is %q; allowed is one with a team", text)
	}
	return api.Cancel{Selector: selector}, nil
}
