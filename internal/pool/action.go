package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// Action is something that the pool wants done.
type Action interface{ action() }

// PersistRecords asks for records to be made durable, after which the pool wants to
// be told by Durable. Records of a smaller Token come first.
type PersistRecords struct {
	BatchID uint64
	Records []Record
}

// StartTasks sends attempts to a worker; the outcome goes to Started.
type StartTasks struct {
	Worker platform.Host
	Starts []platform.Start
	// Unjournaled is set when the intents are not durable yet. The starts may
	// then be sent only while every possible successor knows of that.
	Unjournaled bool
}

// RequestReport renews the leases on a worker and asks for news; the outcome goes
// to Reported or Unreachable.
type RequestReport struct {
	Worker  platform.Host
	Request platform.ReportRequest
}

// StopTasks asks a worker to stop attempts. Room comes back only when a report
// says that they ended.
type StopTasks struct {
	Worker platform.Host
	Stops  []platform.Stop
}

func (PersistRecords) action() {}

// FirstStart tells that a task runs for the first time.
type FirstStart struct {
	Team string
	// Name is that of the job.
	Name string
	// Wait is how long the task waited here.
	Wait time.Duration
}

func (FirstStart) action()    {}
func (StartTasks) action()    {}
func (RequestReport) action() {}
func (StopTasks) action()     {}
