package cell

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Overview is the state of a cell as shown to an operator.
type Overview struct {
	// Manifest is the version of the current manifest.
	Manifest uint64
	Backlog  Backlog
	// Settling is set while runs may exist that this owner does not know.
	Settling bool
	Workers  []WorkerView
	Waves    []WaveView
	// Interference is the zero value if the mode is Off.
	Interference InterferenceView
	// Accounts has the client accounts; it is empty without any.
	Accounts []AccountView
}

// WorkerState tells whether a worker gets starts, and if not, why.
type WorkerState string

const (
	// WorkerReady workers get starts.
	WorkerReady WorkerState = "Ready"
	// WorkerSilent workers do not answer.
	WorkerSilent WorkerState = "Silent"
	// WorkerLeaving workers have been told to leave.
	WorkerLeaving WorkerState = "Leaving"
	// WorkerMaintenance workers are drained for the maintenance of their
	// machine.
	WorkerMaintenance WorkerState = "Maintenance"
	// WorkerQuarantined workers have failed runs or stragglers and temporarily
	// get no starts.
	WorkerQuarantined WorkerState = "Quarantined"
	// WorkerIsolated workers run a task that may have crashed a worker, and get
	// no other starts.
	WorkerIsolated WorkerState = "Isolated"
	// WorkerRestarted workers have reported an incarnation that is not the registered
	// one, so their labels and capacity are not known yet.
	WorkerRestarted WorkerState = "Restarted"
	// WorkerUnlisted workers are not in the list of workers.
	WorkerUnlisted WorkerState = "Unlisted"
)

// WorkerView is the state of a worker as shown to an operator.
type WorkerView struct {
	ID       WorkerID
	Rack     string
	State    WorkerState
	Runs     int
	Capacity job.Size
	Free     job.Size
	// Slowness is how many times as long as elsewhere tasks took here, minus 1.
	Slowness float64
}

// WaveView is the progress of a maintenance wave.
type WaveView struct {
	Wave     int
	Machines int
	Ordered  int
	Settled  int
	Done     bool
}

// JobView is the state of a job as shown to an operator.
type JobView struct {
	ID    workload.JobID
	Queue string
	State workload.State
	// Cause tells why the job has failed.
	Cause workload.Cause
	// Age is how long this owner has known the job.
	Age   time.Duration
	Steps []StepView
}

// StepView is the progress of one occurrence of a step.
type StepView struct {
	ID      workload.StepID
	Ready   bool
	Tasks   int
	Waiting int
	Done    int
	Runs    []RunView
}

// RunView is a run that may be on a worker.
type RunView struct {
	Task    workload.TaskID
	Run     int
	Worker  WorkerID
	Percent int
	// Pace is the percentage of full speed that the run is limited to; a
	// negative value means that it is unknown.
	Pace     int
	Stopping bool
}

// Overview returns the state of the cell for an operator.
func (c *Cell) Overview(now time.Time) Overview {
	out := Overview{
		Backlog: c.Backlog(now), Settling: c.awaitingWorkers(), Interference: c.interferenceView(now), Accounts: c.Accounts(now),
	}
	if c.manifest != nil {
		out.Manifest = c.manifest.Version
	}
	for _, w := range c.sortedWorkers {
		out.Workers = append(out.Workers, WorkerView{
			ID: w.id, Rack: w.registration.Rack(), State: c.workerState(now, w), Runs: w.runs.len(),
			Capacity: w.registration.Capacity, Free: w.freeCapacity(), Slowness: w.health.currentSlowness(now),
		})
	}
	for _, number := range sortedKeys(c.waves) {
		w := c.waves[number]
		rec := w.record()
		out.Waves = append(out.Waves, WaveView{
			Wave: number, Machines: len(w.wave.Machines), Ordered: len(rec.Ordered), Settled: len(rec.Settled), Done: w.done,
		})
	}
	return out
}

func (c *Cell) workerState(now time.Time, w *worker) WorkerState {
	switch {
	case !w.listed && now.Sub(w.unlistedAt) >= unlistedGrace:
		return WorkerUnlisted
	case !c.inContact(now, w):
		return WorkerSilent
	case w.registration.Leaving:
		return WorkerLeaving
	case !w.registered():
		return WorkerRestarted
	case w.cordonedBy != nil || c.mayGoDown(w.registration.Machine):
		return WorkerMaintenance
	case w.health.quarantined(now):
		return WorkerQuarantined
	case w.isolated != nil:
		return WorkerIsolated
	}
	return WorkerReady
}

// Job returns the state of a job for an operator, and false if the job is
// unknown.
func (c *Cell) Job(now time.Time, id workload.JobID) (JobView, bool) {
	j, known := c.jobs[id]
	if !known {
		return JobView{}, false
	}
	out := JobView{ID: id, Queue: j.job.Queue, State: j.visibleState, Cause: c.FailureCause(id), Age: now.Sub(j.acceptedAt)}
	for _, steps := range j.occurrences {
		for _, s := range steps {
			out.Steps = append(out.Steps, s.view())
		}
	}
	return out, true
}

func (s *stepState) view() StepView {
	out := StepView{ID: s.id, Ready: s.ready, Tasks: len(s.tasks), Waiting: s.waiting, Done: s.done}
	for _, t := range s.tasks {
		if r := t.current; r != nil {
			out.Runs = append(out.Runs, RunView{
				Task: t.id, Run: r.number, Worker: r.worker.id, Percent: r.percent, Pace: r.pace, Stopping: r.stopping,
			})
		}
	}
	return out
}
