package platform

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// Attempt names one attempt of a task.
type Attempt struct {
	Task job.TaskID
	// Number counts the attempts of the task from 1.
	Number int
}

// Start asks a worker to run an attempt under a lease. The worker stops the
// attempt at the end of its lease, and does not run one that arrives after it.
type Start struct {
	Attempt Attempt
	// Epoch is that of the owner; a worker need not check it.
	Epoch   uint64
	Size    job.Size
	RunTime time.Duration
	// Until is the end of the lease by the worker's own clock.
	Until time.Time
}

// Renewal moves the end of an attempt's lease.
type Renewal struct {
	Attempt Attempt
	// Until is the new end by the worker's own clock.
	Until time.Time
}

// TaskState is what a worker says of an attempt.
type TaskState string

const (
	// TaskRunning means that the attempt runs.
	TaskRunning TaskState = "Running"
	// TaskDone means that the attempt ended well.
	TaskDone TaskState = "Done"
	// TaskFailed means that the attempt ended badly.
	TaskFailed TaskState = "Failed"
	// TaskStopped means that the attempt was told to stop, and has.
	TaskStopped TaskState = "Stopped"
	// TaskLapsed means that the attempt's lease ended before it did.
	TaskLapsed TaskState = "Lapsed"
)

// Ended reports whether the attempt runs no more.
func (s TaskState) Ended() bool { return s != TaskRunning }

// TaskReport is what a worker says of one attempt.
type TaskReport struct {
	Attempt Attempt
	State   TaskState
	// Size is the size with which the attempt was started.
	Size job.Size
	// Until is the end of the lease by the worker's clock.
	Until time.Time
	// Usage is what the attempt used at its last sample, which lags.
	Usage job.Size
	// Message explains a failure.
	Message string
}

// ReportRequest renews leases and asks for news in one exchange.
type ReportRequest struct {
	Renewals []Renewal
	// Since is the Now of the last report received; the zero time asks for
	// every attempt that the worker runs or remembers.
	Since time.Time
}

// Report is the answer of a worker. A worker remembers ended attempts for at
// least ten minutes.
type Report struct {
	// Now is the time by the worker's own clock.
	Now time.Time
	// BootID changes whenever the worker restarts and has forgotten its tasks.
	BootID string
	// Leaving is set when the worker has been told to leave.
	Leaving bool
	// Tasks holds the attempts that changed since ReportRequest.Since.
	Tasks []TaskReport
}

// Stop asks a worker to end an attempt.
type Stop struct {
	Attempt Attempt
	// Checkpoint asks the worker to save the attempt's progress first.
	Checkpoint bool
}
