// Package api defines the HTTP API between an entry host and its callers, teams
// and operators: the JSON types, the headers and the paths.
package api

// HeaderBaseRevision is the header with the revision that an edit of the plan
// was made from.
const HeaderBaseRevision = "Cicadabarrow-Base-Revision"

// Paths of the API for operators and teams.
const (
	PathPlan       = "/v1/plan"
	PathPlanStatus = "/v1/plan-status"
	PathJobs       = "/v1/jobs"
	PathCancel     = "/v1/cancel"
	PathWorkers    = "/v1/workers"
	PathUpstreams  = "/v1/upstreams"
	PathReportBurn = "/v1/report/burn"
)

// Error is the body of every error response.
type Error struct {
	// Kind is the kind of the failure, such as "conflict" or "not run".
	Kind    string
	Message string
	// Field, Value and Allowed describe the first validation error of a malformed
	// body; Message lists all of them.
	Field   string `json:",omitempty"`
	Value   string `json:",omitempty"`
	Allowed string `json:",omitempty"`
	// RetryAfter is a duration after which a retry may succeed.
	RetryAfter string `json:",omitempty"`
}

// Accepted is the response to an accepted edit.
type Accepted struct {
	Team     string
	Revision uint64
}

// Checked is the response to the check of a valid section.
type Checked struct {
	Team  string
	Valid bool
}

// PlanStatus holds the plan revisions in force on each entry host.
type PlanStatus struct {
	Hosts []HostPlan
}

// HostPlan is the plan in force on one entry host.
type HostPlan struct {
	Name       string
	DataCentre string
	// Reachable tells whether the host responded; without a response its
	// revisions are unknown.
	Reachable bool
	// Revisions maps each team to its revision in force.
	Revisions map[string]uint64
}

// Cancel is the request to cancel one job by ID or all jobs that a selector
// matches.
type Cancel struct {
	ID       string    `json:",omitempty"`
	Selector *Selector `json:",omitempty"`
}

// Selector matches jobs. An empty field matches every job.
type Selector struct {
	Team string
	Name string
}

// Cancelled is the response to a cancel.
type Cancelled struct {
	// Jobs is the number of jobs whose cancellation was recorded.
	Jobs int
	// Unreached names the data centres in which nothing was cancelled, since
	// they could not be reached. Cancelling is idempotent and can be retried.
	Unreached []string `json:",omitempty"`
}

// JobList is the response to a request for a list of jobs.
type JobList struct {
	Jobs []JobStatus
	// Unreached names the data centres whose jobs are missing from the list.
	Unreached []string `json:",omitempty"`
}

// WorkerList is the response to a request for a list of workers.
type WorkerList struct {
	Workers []Worker
	// Unreached names the data centres whose workers are missing from the list.
	Unreached []string `json:",omitempty"`
}

// Worker is the state of a worker according to its owner.
type Worker struct {
	Name       string
	DataCentre string
	Rack       string
	// Owner is the entry host that places tasks on the worker. The gateway does
	// not set it: it is always empty.
	Owner string
	// State is Ready, Draining, Quarantined, Leaving or Lost.
	State string
	// Room is the total capacity of the worker, reserved or not.
	Room     Size
	Reserved Size
	// Tasks is the number of tasks that have reserved capacity.
	Tasks int
}

// Upstream is the state of an upstream instance according to its owner.
type Upstream struct {
	Name       string
	Service    string
	DataCentre string
	// Owner and Running are not set by the gateway.
	Owner string
	// State is Ready, Ejected, Leaving or Lost; the gateway sets only Ready and
	// Leaving.
	State   string
	Slots   int
	Running int
}

// Size holds an amount of each resource: the capacity of a worker, or what one
// task of a job needs.
type Size struct {
	MilliCores   int64 `validate:"number=0:1000000000"`
	MemoryMB     int64 `validate:"number=0:1000000000"`
	Accelerators int64 `validate:"number=0:1000000"`
}
