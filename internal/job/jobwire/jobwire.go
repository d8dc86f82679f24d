// Package jobwire converts jobs to and from their msgpack form, which both the
// messages between entry hosts and the journal use.
package jobwire

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// Spec is the msgpack form of a job.Spec. It is encoded as an array, so new
// fields must be added at the end.
type Spec struct {
	_msgpack    struct{} `msgpack:",as_array"`
	ID          string
	Team        string
	Name        string
	Kind        string
	Priority    string
	Tasks       int
	Size        Size
	RunTime     int64
	DataCentre  string
	Replayable  bool
	MaxAttempts int
}

// Size is the msgpack form of a job.Size: processor time in thousandths of a
// core, memory in megabytes, and accelerators.
type Size [3]int64

// EncodeSpec converts a job to its wire type.
func EncodeSpec(s job.Spec) Spec {
	return Spec{
		ID: s.ID, Team: s.Team, Name: s.Name, Kind: string(s.Kind), Priority: string(s.Priority),
		Tasks: s.Tasks, Size: EncodeSize(s.Size), RunTime: int64(s.RunTime), DataCentre: s.DataCentre,
		Replayable: s.Replayable, MaxAttempts: s.MaxAttempts,
	}
}

// DecodeSpec converts a wire type to its job.
func DecodeSpec(w Spec) job.Spec {
	return job.Spec{
		ID: w.ID, Team: w.Team, Name: w.Name, Kind: job.Kind(w.Kind), Priority: job.Priority(w.Priority),
		Tasks: w.Tasks, Size: DecodeSize(w.Size), RunTime: time.Duration(w.RunTime), DataCentre: w.DataCentre,
		Replayable: w.Replayable, MaxAttempts: w.MaxAttempts,
	}
}

// EncodeSize converts a size to its wire type.
func EncodeSize(s job.Size) Size { return Size{s.MilliCores, s.MemoryMB, s.Accelerators} }

// DecodeSize converts a wire type to its size.
func DecodeSize(w Size) job.Size {
	return job.Size{MilliCores: w[0], MemoryMB: w[1], Accelerators: w[2]}
}
