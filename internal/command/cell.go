package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"cicadabarrow.example/cicadabarrow/internal/api"
)

const (
	flagAt = "at"
	// viewTimeout is the timeout for a request for the state of the cell.
	viewTimeout = 10 * time.Second
	// maxViewBytes is the maximum size of the response body.
	maxViewBytes = 64 << 20
)

func cellCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "cell",
		Usage:       "shows the state of the cell on the users' platform, as its owner knows it",
		Description: example("cicadabarrow cell show --at http://10.1.0.13:9464"),
		Commands: []*cli.Command{
			{
				Name:        "show",
				Usage:       "shows the owner, the waiting work, the workers, the maintenance waves and the images that interfere",
				Description: example("cicadabarrow cell show --at http://10.1.0.13:9464"),
				Flags:       []cli.Flag{atFlag(), formatFlag()},
				Action:      commandAction(stdout, 0, showCell),
			},
			{
				Name:        "accounts",
				Usage:       "shows the client accounts: weight, share, use against cap, waiting and refused jobs",
				Description: example("cicadabarrow cell accounts --at http://10.1.0.13:9464"),
				Flags:       []cli.Flag{atFlag(), formatFlag()},
				Action:      commandAction(stdout, 0, showCellAccounts),
			},
			{
				Name:        "job",
				Usage:       "shows the steps of a job and where its tasks run",
				ArgsUsage:   "JOB",
				Description: example("cicadabarrow cell job 5c0e7a21d94b36f8 --at http://10.1.0.13:9464"),
				Flags:       []cli.Flag{atFlag(), formatFlag()},
				Action:      commandAction(stdout, 1, showCellJob),
			},
		},
	}
}

func atFlag() cli.Flag {
	return &cli.StringFlag{Name: flagAt, Usage: "the `URL` of any host's MetricsAddr", Required: true}
}

// fetchView fetches a page for operators, decodes its JSON into a value and
// returns the JSON.
func fetchView(ctx context.Context, cmd *cli.Command, path string, into any) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	url := strings.TrimRight(cmd.String(flagAt), "/") + path
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxViewBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		var failure pageError
		if err := json.Unmarshal(body, &failure); err != nil || failure.Error == "" {
			return nil, fmt.Errorf("%s: status %d", url, response.StatusCode)
		}
		return nil, fmt.Errorf("%s: %s", url, failure.Error)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return nil, fmt.Errorf("%s: %w", url, err)
	}
	return body, nil
}

func showCell(ctx context.Context, cmd *cli.Command) (result, error) {
	var p api.Cell
	document, err := fetchView(ctx, cmd, cellPath, &p)
	if err != nil {
		return result{}, err
	}
	return result{JSON: document, Text: func(w io.Writer) {
		row(w, "Owner", p.Owner, "Epoch", p.Epoch, "Manifest", p.Manifest)
		row(w, "Jobs", p.Jobs, "Waiting steps", p.Steps, "Waiting tasks", p.Tasks)
		if p.Settling {
			row(w, "Runs of the previous owner may be unknown; nothing is started until all workers have reported")
		}
		for _, v := range p.Waves {
			row(w, "Wave", v.Wave, "Machines", v.Machines, "Ordered", v.Ordered, "Settled", v.Settled, "Done", v.Done)
		}
		showInterference(w, p.Interference)
		if len(p.Relays) > 0 {
			row(w, "RELAY", "DATA CENTRE", "CORES", "STATE", "WORKERS")
		}
		for _, v := range p.Relays {
			row(w, v.Addr, v.DataCentre, fmt.Sprintf("%.2f", v.Cores), v.State, v.Workers)
		}
		writeAccounts(w, p.Accounts)
		row(w, "WORKER", "RACK", "STATE", "RUNS", "FREE MILLICORES", "FREE MB", "SLOWNESS", "RELAY")
		for _, v := range p.Workers {
			row(w, v.ID, v.Rack, v.State, v.Runs, v.Free.MilliCores, v.Free.MemoryMB, fmt.Sprintf("%.1f", v.Slowness), v.Relay)
		}
	}}, nil
}

func showCellJob(ctx context.Context, cmd *cli.Command) (result, error) {
	var p api.CellJob
	document, err := fetchView(ctx, cmd, jobPath+cmd.Args().First(), &p)
	if err != nil {
		return result{}, err
	}
	return result{JSON: document, Text: func(w io.Writer) {
		row(w, "Job", p.ID, "Queue", p.Queue, "State", p.State, "Age", p.Age)
		if p.Cause != "" {
			row(w, "Cause", p.Cause)
		}
		for _, s := range p.Steps {
			row(w, "Step", s.Step, "Ready", s.Ready, "Tasks", s.Tasks, "Waiting", s.Waiting, "Done", s.Done)
			for _, r := range s.Runs {
				row(w, "", r.Task, "run", r.Run, "at", r.Worker, fmt.Sprintf("%d%%", r.Percent), paceText(r.Pace))
			}
		}
	}}, nil
}

// paceText formats the pace of a run, which is negative while the owner does not
// know it.
func paceText(pace int) string {
	if pace < 0 {
		return "pace unknown"
	}
	return fmt.Sprintf("pace %d%%", pace)
}
