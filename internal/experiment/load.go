package experiment

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// Load describes what a simulation runs: the workers, the submitted jobs, and
// the latency of the services around the owner.
type Load struct {
	// Duration is how long jobs are submitted. The simulation then continues for
	// half as long again, so that the jobs can end.
	Duration time.Duration
	// AdviceHosts is the number of hosts that ask the advice service.
	AdviceHosts int
	// CommitTime is how long a commit of records takes, and CallTime how long a
	// call to a worker takes.
	CommitTime time.Duration
	CallTime   time.Duration
	Workers    Workers
	Queues     []Queue
	Bursts     []Burst
	// Accounts are the client accounts that submit the jobs of all queues. Without any,
	// the jobs belong to no account.
	Accounts []Account
	// Admission has new jobs refused while the cell cannot keep up. Refused jobs are not
	// submitted again.
	Admission bool
}

// Account describes the jobs of one client account.
type Account struct {
	Terms manifest.Terms
	// Share is the share of the account in the jobs of each queue, relative to the sum
	// over all accounts.
	Share float64
	// TaskFactor multiplies the mean number of tasks of a step.
	TaskFactor float64
}

// Workers describes the machines that run tasks.
type Workers struct {
	Count    int
	Capacity job.Size
	// PerRack is the number of workers in a rack.
	PerRack int
	// SlowShare is the share of workers on which every run takes SlowFactor times
	// as long.
	SlowShare  float64
	SlowFactor float64
	// FailingShare is the share of workers on which every run fails.
	FailingShare float64
}

// Queue describes the jobs of one queue.
type Queue struct {
	Queue manifest.Queue
	// PerSecond is the mean number of jobs submitted each second.
	PerSecond float64
	// MeanSteps is the mean number of steps of a job, which run one after the
	// other. MeanTasks is the mean number of tasks of a step.
	MeanSteps float64
	MeanTasks float64
	// Size is the resources that a task needs, and RunTime its mean run time.
	Size    job.Size
	RunTime time.Duration
	// EstimateError is the largest relative error of an estimate: an estimate is
	// between RunTime/(1+EstimateError) and RunTime*(1+EstimateError).
	EstimateError float64
	// Checkpoints means that tasks save their progress.
	Checkpoints bool
	// FailShare is the share of runs that fail. HopelessShare is the share of jobs
	// of which every run fails, and CancelShare the share of jobs that are
	// cancelled a second after their submission.
	FailShare     float64
	HopelessShare float64
	CancelShare   float64
	// AllowedShare is the share of workers that the advice service allows for a
	// step.
	AllowedShare float64
}

// Burst multiplies the submission rate of a queue by Factor for a while; that of one
// account if Account is set, and of all queues if Queue is empty.
type Burst struct {
	Queue   string
	Account string
	At      time.Duration
	For     time.Duration
	Factor  float64
}
