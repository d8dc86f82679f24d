package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// Action is an effect that the pool asks its caller to carry out.
type Action interface{ action() }

// PersistRecords asks for records to be made durable. Call Durable with the
// BatchID afterwards. Batches are written in the order of their BatchID.
type PersistRecords struct {
	BatchID uint64
	Records []Record
}

// StartTasks sends attempts to a worker. Pass the outcome to Started.
type StartTasks struct {
	Worker platform.Host
	Starts []platform.Start
	// Unjournaled is set when the intents are not durable yet. The starts may
	// then be sent only while every possible successor knows that there may be
	// unjournaled starts.
	Unjournaled bool
}

// RequestReport renews the leases on a worker and requests a report. Pass the
// outcome to Reported or Unreachable.
type RequestReport struct {
	Worker  platform.Host
	Request platform.ReportRequest
}

// StopTasks asks a worker to stop attempts. Their capacity is released only
// when a report says that they have ended.
type StopTasks struct {
	Worker platform.Host
	Stops  []platform.Stop
}

func (PersistRecords) action() {}

// FirstStart reports that a task runs for the first time.
type FirstStart struct {
	Team string
	// Name is the name of the job.
	Name string
	// Wait is how long the task waited at this owner.
	Wait time.Duration
}

func (FirstStart) action()    {}
func (StartTasks) action()    {}
func (RequestReport) action() {}
func (StopTasks) action()     {}
