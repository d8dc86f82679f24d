package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// JobView is the state of an open job as callers see it.
type JobView struct {
	Spec    job.Spec
	State   job.State
	Waiting int
	Running int
	Ended   int
}

// Job returns an open job.
func (p *Pool) Job(id string) (JobView, bool) {
	j, ok := p.jobs[id]
	if !ok {
		return JobView{}, false
	}
	return viewOf(j), true
}

// Jobs returns the open jobs in the order of their acceptance.
func (p *Pool) Jobs() []JobView {
	out := make([]JobView, 0, len(p.jobs))
	for _, j := range p.sortedJobs() {
		out = append(out, viewOf(j))
	}
	return out
}

func viewOf(j *openJob) JobView {
	v := JobView{Spec: j.spec, State: j.state(), Ended: j.endedTasks}
	for _, t := range j.tasks {
		if t.holdsCapacity() {
			v.Running++
		}
	}
	v.Waiting = len(j.tasks) - v.Running - v.Ended
	return v
}

// WorkerView is the state of a worker as operators see it.
type WorkerView struct {
	Name        string
	Rack        string
	Capacity    job.Size
	Used        job.Size
	Tasks       int
	Schedulable bool
	Leaving     bool
	Cordoned    bool
	// Quarantined is set while the worker gets no work because jobs failed
	// there, or at an operator's request.
	Quarantined bool
	// UnreachableFor is how long the worker has not answered. It is zero while the
	// worker answers.
	UnreachableFor time.Duration
}

// Workers returns the workers ordered by name.
func (p *Pool) Workers(now time.Time) []WorkerView {
	out := make([]WorkerView, 0, len(p.sortedWorkers))
	for _, w := range p.sortedWorkers {
		v := WorkerView{
			Name: w.host.Name, Rack: w.host.Rack, Capacity: w.host.Capacity, Used: w.used,
			Tasks: len(w.tasks) + len(w.orphans), Schedulable: w.schedulable(),
			Leaving: w.leaving || w.host.Leaving, Cordoned: w.cordoned, Quarantined: w.health.quarantined,
		}
		if !w.unreachableSince.IsZero() {
			v.UnreachableFor = now.Sub(w.unreachableSince)
		}
		out = append(out, v)
	}
	return out
}

// OpenTasks returns the number of tasks of all open jobs.
func (p *Pool) OpenTasks() int { return p.openTasks }

// Free returns the free capacity of all schedulable workers.
func (p *Pool) Free() job.Size {
	var sum job.Size
	for _, w := range p.sortedWorkers {
		if w.schedulable() {
			sum = sum.Add(w.free())
		}
	}
	return sum
}
