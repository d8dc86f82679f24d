package experiment

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// Load says what an experiment plays: the workers, what is handed in, and how
// slow the services around the owner are.
type Load struct {
	// Duration is for how long jobs are handed in. The play goes on for half as
	// long, so that they can end.
	Duration time.Duration
	// AdviceHosts is how many hosts ask the advice service.
	AdviceHosts int
	// CommitTime is how long a commit of records takes, and CallTime a call to
	// a worker.
	CommitTime time.Duration
	CallTime   time.Duration
	Workers    Workers
	Queues     []Queue
	Bursts     []Burst
}

// Workers describes the machines that run tasks.
type Workers struct {
	Count int
	Capacity  job.Size
	// PerRack is how many workers stand in a rack.
	PerRack int
	// SlowShare of the workers take SlowFactor times as long for all that they
	// run.
	SlowShare  float64
	SlowFactor float64
	// FailingShare of the workers fail all that they start.
	FailingShare float64
}

// Queue describes the jobs of one queue.
type Queue struct {
	Queue manifest.Queue
	// PerSecond is how many jobs are handed in each second.
	PerSecond float64
	// MeanSteps and MeanTasks are the mean number of steps of a job, one after
	// the other, and of tasks of a step.
	MeanSteps float64
	MeanTasks float64
	// Size is what a task needs, and RunTime the mean time that it runs.
	Size    job.Size
	RunTime time.Duration
	// EstimateError is by which factor an estimate may be wrong, either way.
	EstimateError float64
	// Checkpoints means that tasks save their progress.
	Checkpoints bool
	// FailShare of the runs fail. HopelessShare of the jobs fail always, and
	// CancelShare are cancelled a second after they were handed in.
	FailShare     float64
	HopelessShare float64
	CancelShare   float64
	// AllowedShare of the workers may run a step, by the advice service.
	AllowedShare float64
}

// Burst multiplies the jobs of a queue for a while.
type Burst struct {
	Queue string
	At    time.Duration
	For   time.Duration
	Factor float64
}
