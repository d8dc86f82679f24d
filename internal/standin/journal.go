package standin

import (
	"slices"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// TaskRun is an interval in which a worker ran an attempt.
type TaskRun struct {
	Worker  string
	Attempt platform.Attempt
	Epoch   uint64
	Size    job.Size
	Start   time.Time
	// End is the zero time while the attempt runs.
	End time.Time
	// State is TaskRunning while the attempt runs. A run that ends because its
	// worker restarts or freezes ends as TaskLapsed.
	State platform.TaskState
	// Resumed is set if the run continues an attempt after a freeze of the worker.
	Resumed bool
}

// RequestRun is one run of a request by an upstream instance.
type RequestRun struct {
	Upstream       string
	ID             string
	IdempotencyKey string
	Idempotent     bool
	Start          time.Time
	// Running and Connections are the numbers of slots and connections in use,
	// including those of this request.
	Running     int
	Connections int
	// LeavingFor is the time for which the instance had been leaving.
	LeavingFor time.Duration
}

// Journal records the runs of attempts on workers and of requests on upstreams.
type Journal struct {
	mu       sync.Mutex
	tasks    []TaskRun
	requests []RequestRun
}

// NewJournal returns an empty journal.
func NewJournal() *Journal { return &Journal{} }

// beginTask records the start of a run and returns its index in the journal.
func (j *Journal) beginTask(run TaskRun) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	run.State = platform.TaskRunning
	j.tasks = append(j.tasks, run)
	return len(j.tasks) - 1
}

// endTask records the end of a run.
func (j *Journal) endTask(index int, at time.Time, state platform.TaskState) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tasks[index].End, j.tasks[index].State = at, state
}

func (j *Journal) addRequest(run RequestRun) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests = append(j.requests, run)
}

// Tasks returns a copy of all runs of attempts, in the order in which they
// were recorded.
func (j *Journal) Tasks() []TaskRun {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.tasks)
}

// Requests returns a copy of all runs of requests, in the order in which they
// were recorded.
func (j *Journal) Requests() []RequestRun {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.requests)
}
