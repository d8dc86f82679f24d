package platform

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// Attempt identifies one attempt of a task, which is one execution of it on a
// worker. The cell of package host calls the same thing a run.
type Attempt struct {
	Task job.TaskID
	// Number counts the attempts of the task from 1.
	Number int
}

// Start asks a worker to run an attempt under a lease. The worker stops the
// attempt when the lease expires, and refuses to start an attempt whose lease has
// already expired when the request arrives.
type Start struct {
	Attempt Attempt
	// Epoch is the epoch of the owner of the pool. It is informative: a worker
	// need not check it.
	Epoch   uint64
	Size    job.Size
	RunTime time.Duration
	// Until is the end of the lease on the worker's own clock.
	Until time.Time
}

// Renewal extends the lease of an attempt.
type Renewal struct {
	Attempt Attempt
	// Until is the new end of the lease on the worker's own clock.
	Until time.Time
}

// TaskState is the state of one attempt of a task, as its worker reports it.
type TaskState string

const (
	// TaskRunning means that the attempt is running.
	TaskRunning TaskState = "Running"
	// TaskDone means that the attempt succeeded.
	TaskDone TaskState = "Done"
	// TaskFailed means that the attempt failed.
	TaskFailed TaskState = "Failed"
	// TaskStopped means that the attempt was stopped on request.
	TaskStopped TaskState = "Stopped"
	// TaskLapsed means that the lease expired before the attempt ended.
	TaskLapsed TaskState = "Lapsed"
)

// Ended reports whether the attempt is no longer running.
func (s TaskState) Ended() bool { return s != TaskRunning }

// TaskReport is a worker's report on one attempt.
type TaskReport struct {
	Attempt Attempt
	State   TaskState
	// Size is the size with which the attempt was started.
	Size job.Size
	// Until is the end of the lease on the worker's clock.
	Until time.Time
	// Usage is the resource usage of the attempt at the worker's last sample. It
	// lags behind the actual usage.
	Usage job.Size
	// Message explains a failure.
	Message string
}

// ReportRequest renews leases and requests a report in one call.
type ReportRequest struct {
	Renewals []Renewal
	// Since is the Now of the last report received. The zero time requests all
	// running attempts and all ended ones that the worker still keeps.
	Since time.Time
}

// Report is the response to a ReportRequest. A worker keeps the reports of ended
// attempts for at least ten minutes.
type Report struct {
	// Now is the time on the worker's own clock.
	Now time.Time
	// BootID changes whenever the worker restarts. A restart ends all attempts on
	// the worker.
	BootID string
	// Leaving is set if the worker has been told to leave.
	Leaving bool
	// Tasks holds one report for each attempt that has changed since
	// ReportRequest.Since.
	Tasks []TaskReport
}

// Stop asks a worker to stop an attempt.
type Stop struct {
	Attempt Attempt
	// Checkpoint asks the worker to save the attempt's progress first.
	Checkpoint bool
}
