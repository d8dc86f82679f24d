package standin

import (
	"slices"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// TaskRun is one stretch of time in which a worker ran an attempt.
type TaskRun struct {
	Worker  string
	Attempt platform.Attempt
	Epoch   uint64
	Size    job.Size
	Start   time.Time
	// End is the zero time while the attempt runs.
	End time.Time
	// State is TaskRunning while the attempt runs. A run that a restart or a
	// freeze of its worker cut off ends as TaskLapsed.
	State platform.TaskState
	// Resumed is set for the run that follows a freeze of the worker.
	Resumed bool
}

// RequestRun is one run of a request by an upstream instance.
type RequestRun struct {
	Upstream       string
	ID             string
	IdempotencyKey string
	Idempotent     bool
	Start          time.Time
	// Running and Connections are the slots and connections in use with
	// this request.
	Running     int
	Connections int
	// LeavingFor is how long the instance had been leaving.
	LeavingFor time.Duration
}

// Journal records what workers and upstreams really ran.
type Journal struct {
	mu       sync.Mutex
	tasks    []TaskRun
	requests []RequestRun
}

// NewJournal returns an empty journal.
func NewJournal() *Journal { return &Journal{} }

// beginTask records the start of a run and returns its place in the journal.
func (j *Journal) beginTask(run TaskRun) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	run.State = platform.TaskRunning
	j.tasks = append(j.tasks, run)
	return len(j.tasks) - 1
}

// endTask records the endTask of a run.
func (j *Journal) endTask(place int, at time.Time, state platform.TaskState) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tasks[place].End, j.tasks[place].State = at, state
}

func (j *Journal) addRequest(run RequestRun) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests = append(j.requests, run)
}

// Tasks returns a copy of all runs of attempts, in the order of recording.
func (j *Journal) Tasks() []TaskRun {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.tasks)
}

// Requests returns a copy of all runs of requests, in the order of recording.
func (j *Journal) Requests() []RequestRun {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.requests)
}
