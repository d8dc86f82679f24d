package api

import (
	"io"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/document"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
)

// Kind is the kind of an error of DecodeJob.
type Kind string

const (
	// KindInvalid means that the body has faults; the error wraps
	// document.Faults.
	KindInvalid Kind = "invalid"
	// KindUnreadable means that the body could not be read.
	KindUnreadable Kind = "unreadable"
)

const (
	// MaxJobBytes is the maximum size of a job in JSON.
	MaxJobBytes = 64 << 10
	// DefaultMaxAttempts is the maximum number of attempts of each task of a job
	// without MaxAttempts.
	DefaultMaxAttempts = 3
)

// Job is a job as a team submits it.
type Job struct {
	ID          string `validate:"name"`
	Team        string `validate:"name"`
	Name        string `validate:"name"`
	Kind        string `validate:"oneof=Service Batch AllAtOnce"`
	Priority    string `validate:"omitempty,oneof=Normal Urgent"`
	Tasks       int    `validate:"number=1:10000"`
	Size        Size
	RunTime     string `json:",omitempty" validate:"omitempty,duration=1ms:720h"`
	DataCentre  string `json:",omitempty" validate:"omitempty,name"`
	Replayable  bool
	MaxAttempts *int `json:",omitempty" validate:"omitnil,number=1:100"`
}

// JobStatus is the status of a job.
type JobStatus struct {
	ID    string
	Team  string
	Name  string
	Kind  string
	State string
	// Tasks is the number of all tasks, Running of those that run, and Done of
	// those that have ended, also if they failed. The gateway does not set Failed.
	Tasks   int
	Running int
	Done    int
	Failed  int
	// Message explains the state, if it needs an explanation.
	Message string `json:",omitempty"`
}

// NewJob converts a job specification to its JSON form.
func NewJob(s job.Spec) Job {
	j := Job{
		ID:          s.ID,
		Team:        s.Team,
		Name:        s.Name,
		Kind:        string(s.Kind),
		Priority:    string(s.Priority),
		Tasks:       s.Tasks,
		Size:        Size(s.Size),
		DataCentre:  s.DataCentre,
		Replayable:  s.Replayable,
		MaxAttempts: &s.MaxAttempts,
	}
	if s.RunTime > 0 {
		j.RunTime = s.RunTime.String()
	}
	return j
}

// DecodeJob decodes a job in JSON. An error of KindInvalid wraps document.Faults
// with every fault found.
func DecodeJob(r io.Reader) (job.Spec, error) {
	var j Job
	faults, err := document.Decode(r, MaxJobBytes, &j)
	if err != nil {
		return job.Spec{}, fault.New("decode", KindUnreadable, "%w", err)
	}
	if job.Size(j.Size).IsZero() {
		faults.Add("Size", "nothing", "some of at least one resource")
	}
	if (job.Kind(j.Kind) == job.KindService) != (j.RunTime == "") {
		faults.Add("RunTime", j.RunTime, "a duration for Batch and AllAtOnce, and none for Service")
	}
	if len(faults) > 0 {
		return job.Spec{}, fault.New("decode", KindInvalid, "%w", faults)
	}
	return j.spec(), nil
}

func (j *Job) spec() job.Spec {
	s := job.Spec{
		ID:          j.ID,
		Team:        j.Team,
		Name:        j.Name,
		Kind:        job.Kind(j.Kind),
		Priority:    job.Priority(j.Priority),
		Tasks:       j.Tasks,
		Size:        job.Size(j.Size),
		DataCentre:  j.DataCentre,
		Replayable:  j.Replayable,
		MaxAttempts: DefaultMaxAttempts,
	}
	if j.Priority == "" {
		s.Priority = job.PriorityNormal
	}
	if j.MaxAttempts != nil {
		s.MaxAttempts = *j.MaxAttempts
	}
	if runTime, err := time.ParseDuration(j.RunTime); err == nil {
		s.RunTime = runTime
	}
	return s
}
