package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
)

// JobFilter selects jobs. An empty field matches every job.
type JobFilter struct {
	Team  string
	Name  string
	State string
}

// Submit submits a job. A repeat with the same ID does not submit it again.
func (c *Client) Submit(ctx context.Context, spec job.Spec) (api.JobStatus, error) {
	body, err := json.Marshal(api.NewJob(spec))
	if err != nil {
		return api.JobStatus{}, fault.New("submit", KindInvalid, "%w", err)
	}
	return doJSON[api.JobStatus](ctx, c, call{op: "submit", method: http.MethodPost, path: api.PathJobs, body: body})
}

// Job returns the status of a job.
func (c *Client) Job(ctx context.Context, id string) (api.JobStatus, error) {
	return doJSON[api.JobStatus](ctx, c, call{op: "job status", method: http.MethodGet, path: api.PathJobs, name: id})
}

// Jobs returns the jobs that a filter matches.
func (c *Client) Jobs(ctx context.Context, filter JobFilter) (api.JobList, error) {
	query := make(url.Values)
	for name, value := range map[string]string{"Team": filter.Team, "Name": filter.Name, "State": filter.State} {
		if value != "" {
			query.Set(name, value)
		}
	}
	return doJSON[api.JobList](ctx, c, call{op: "list jobs", method: http.MethodGet, path: api.PathJobs, query: query})
}

// Cancel cancels one job or all jobs that a selector matches.
func (c *Client) Cancel(ctx context.Context, cancel api.Cancel) (api.Cancelled, error) {
	body, err := json.Marshal(cancel)
	if err != nil {
		return api.Cancelled{}, fault.New("cancel", KindInvalid, "%w", err)
	}
	return doJSON[api.Cancelled](ctx, c, call{op: "cancel", method: http.MethodPost, path: api.PathCancel, body: body})
}

// Workers returns the workers known to the entry hosts.
func (c *Client) Workers(ctx context.Context) (api.WorkerList, error) {
	return doJSON[api.WorkerList](ctx, c, call{op: "list workers", method: http.MethodGet, path: api.PathWorkers})
}

// Drain stops new work on a worker and moves the tasks of its service jobs to
// other workers.
func (c *Client) Drain(ctx context.Context, worker string) (api.Worker, error) {
	return doJSON[api.Worker](ctx, c, call{op: "drain", method: http.MethodPost, path: api.PathWorkers, name: worker, action: "drain"})
}

// Quarantine stops new work on a worker until its probes succeed.
func (c *Client) Quarantine(ctx context.Context, worker string) (api.Worker, error) {
	return doJSON[api.Worker](ctx, c, call{op: "quarantine", method: http.MethodPost, path: api.PathWorkers, name: worker, action: "quarantine"})
}

// Upstreams returns the upstream instances known to the entry hosts.
func (c *Client) Upstreams(ctx context.Context) ([]api.Upstream, error) {
	return doJSON[[]api.Upstream](ctx, c, call{op: "list upstreams", method: http.MethodGet, path: api.PathUpstreams})
}

// BurnReport returns the report on the burn of error budgets. The format is
// text, json or html. It alone decides the type of the response: the Accept header
// is application/json in every call.
func (c *Client) BurnReport(ctx context.Context, format string) ([]byte, error) {
	return c.do(ctx, call{
		op: "burn report", method: http.MethodGet, path: api.PathReportBurn, query: url.Values{"Format": {format}},
	})
}
