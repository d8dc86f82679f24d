package wire

import (
	"fmt"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// Attempt is the wire form of a platform.Attempt.
type Attempt struct {
	Job    string
	Index  int
	Number int
}

// Start is the wire form of a platform.Start.
type Start struct {
	Attempt Attempt
	Epoch   uint64
	Size    Size
	RunTime string
	Until   string
}

// Starts is the request to start attempts.
type Starts struct{ Starts []Start }

// Started is the response to Starts. It holds one Error for each start, which is
// the zero Error if the start was accepted.
type Started struct{ Errors []Error }

// Renewal is the wire form of a platform.Renewal.
type Renewal struct {
	Attempt Attempt
	Until   string
}

// ReportRequest is the wire form of a platform.ReportRequest.
type ReportRequest struct {
	Renewals []Renewal
	Since    string
}

// TaskReport is the wire form of a platform.TaskReport.
type TaskReport struct {
	Attempt Attempt
	State   string
	Size    Size
	Until   string
	Usage   Size
	Message string
}

// Report is the wire form of a platform.Report.
type Report struct {
	Now     string
	Boot    string
	Leaving bool
	Tasks   []TaskReport
}

// Stop is the wire form of a platform.Stop.
type Stop struct {
	Attempt    Attempt
	Checkpoint bool
}

// Stops is the request to stop attempts.
type Stops struct{ Stops []Stop }

func fromAttempt(a platform.Attempt) Attempt {
	return Attempt{Job: a.Task.Job, Index: a.Task.Index, Number: a.Number}
}

func (a Attempt) domain() platform.Attempt {
	return platform.Attempt{Task: job.TaskID{Job: a.Job, Index: a.Index}, Number: a.Number}
}

// FromStarts converts starts to their wire form.
func FromStarts(starts []platform.Start) Starts {
	out := make([]Start, 0, len(starts))
	for _, s := range starts {
		out = append(out, Start{
			Attempt: fromAttempt(s.Attempt), Epoch: s.Epoch, Size: FromSize(s.Size),
			RunTime: s.RunTime.String(), Until: formatTime(s.Until),
		})
	}
	return Starts{Starts: out}
}

// Domain converts starts from their wire form.
func (s Starts) Domain(op string) ([]platform.Start, error) {
	out := make([]platform.Start, 0, len(s.Starts))
	for i, start := range s.Starts {
		runTime, err := parseDuration(fmt.Sprintf("Starts[%d].RunTime", i), start.RunTime)
		if err != nil {
			return nil, invalid(op, "%w", err)
		}
		until, err := parseTime(fmt.Sprintf("Starts[%d].Until", i), start.Until)
		if err != nil {
			return nil, invalid(op, "%w", err)
		}
		out = append(out, platform.Start{
			Attempt: start.Attempt.domain(), Epoch: start.Epoch, Size: start.Size.Domain(),
			RunTime: runTime, Until: until,
		})
	}
	return out, nil
}

// FromErrors converts the outcome of each start to its wire form.
func FromErrors(errs []error) Started {
	out := make([]Error, len(errs))
	for i, err := range errs {
		if err != nil {
			out[i] = FromError(err)
		}
	}
	return Started{Errors: out}
}

// Domain converts the outcome of each start from its wire form.
func (s Started) Domain(op string) []error {
	out := make([]error, len(s.Errors))
	for i, e := range s.Errors {
		out[i] = e.Err(op)
	}
	return out
}

// FromReportRequest converts a report request to its wire form.
func FromReportRequest(r platform.ReportRequest) ReportRequest {
	out := ReportRequest{Since: formatTime(r.Since)}
	for _, renewal := range r.Renewals {
		out.Renewals = append(out.Renewals, Renewal{
			Attempt: fromAttempt(renewal.Attempt), Until: formatTime(renewal.Until),
		})
	}
	return out
}

// Domain converts a report request from its wire form.
func (r ReportRequest) Domain(op string) (platform.ReportRequest, error) {
	since, err := parseTime("Since", r.Since)
	if err != nil {
		return platform.ReportRequest{}, invalid(op, "%w", err)
	}
	out := platform.ReportRequest{Since: since}
	for i, renewal := range r.Renewals {
		until, err := parseTime(fmt.Sprintf("Renewals[%d].Until", i), renewal.Until)
		if err != nil {
			return platform.ReportRequest{}, invalid(op, "%w", err)
		}
		out.Renewals = append(out.Renewals, platform.Renewal{Attempt: renewal.Attempt.domain(), Until: until})
	}
	return out, nil
}

// FromReport converts a report to its wire form.
func FromReport(r platform.Report) Report {
	out := Report{Now: formatTime(r.Now), Boot: r.BootID, Leaving: r.Leaving}
	for _, t := range r.Tasks {
		out.Tasks = append(out.Tasks, TaskReport{
			Attempt: fromAttempt(t.Attempt), State: string(t.State), Size: FromSize(t.Size),
			Until: formatTime(t.Until),
			Usage: FromSize(t.Usage), Message: t.Message,
		})
	}
	return out
}

// Domain converts a report from its wire form.
func (r Report) Domain(op string) (platform.Report, error) {
	now, err := parseTime("Now", r.Now)
	if err != nil {
		return platform.Report{}, invalid(op, "%w", err)
	}
	out := platform.Report{Now: now, BootID: r.Boot, Leaving: r.Leaving}
	for i, t := range r.Tasks {
		task, err := t.domain(op, i)
		if err != nil {
			return platform.Report{}, err
		}
		out.Tasks = append(out.Tasks, task)
	}
	return out, nil
}

func (t TaskReport) domain(op string, i int) (platform.TaskReport, error) {
	until, err := parseTime(fmt.Sprintf("Tasks[%d].Until", i), t.Until)
	if err != nil {
		return platform.TaskReport{}, invalid(op, "%w", err)
	}
	state := platform.TaskState(t.State)
	switch state {
	case platform.TaskRunning, platform.TaskDone, platform.TaskFailed, platform.TaskStopped, platform.TaskLapsed:
	default:
		return platform.TaskReport{}, invalid(op, "Tasks[%d].State is %q, which is not a known state", i, t.State)
	}
	return platform.TaskReport{
		Attempt: t.Attempt.domain(), State: state, Size: t.Size.Domain(), Until: until,
		Usage: t.Usage.Domain(), Message: t.Message,
	}, nil
}

// FromStops converts stops to their wire form.
func FromStops(stops []platform.Stop) Stops {
	out := make([]Stop, 0, len(stops))
	for _, s := range stops {
		out = append(out, Stop{Attempt: fromAttempt(s.Attempt), Checkpoint: s.Checkpoint})
	}
	return Stops{Stops: out}
}

// Domain converts stops from their wire form.
func (s Stops) Domain() []platform.Stop {
	out := make([]platform.Stop, 0, len(s.Stops))
	for _, stop := range s.Stops {
		out = append(out, platform.Stop{Attempt: stop.Attempt.domain(), Checkpoint: stop.Checkpoint})
	}
	return out
}
