package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// worker is a simulated worker.
type worker struct {
	id cell.WorkerID
	// slowdown multiplies the run time of every task on this worker.
	slowdown           float64
	failing            bool
	runs               map[workload.TaskID]*run
	unacknowledgedEnds []cell.Ended
	lastEndNumber      int64
}

// run is one run of a task on a worker.
type run struct {
	task      workload.TaskID
	number    int
	startedAt time.Time
	// duration is the run time of the task on this worker, of which earlier runs
	// have done savedWork.
	duration  time.Duration
	savedWork time.Duration
	fails     bool
	ended     bool
}

// progress returns the share of the work that is done, from 0 to 1.
func (r *run) progress(now time.Time) float64 {
	return min(float64(r.savedWork+now.Sub(r.startedAt))/float64(max(r.duration, 1)), 1)
}

const percentScale = 100

// report returns the worker's response to a hold call.
func (w *worker) report(now, begin time.Time, acknowledged int64) cell.Report {
	w.unacknowledgedEnds = slices.DeleteFunc(w.unacknowledgedEnds, func(e cell.Ended) bool { return e.Number <= acknowledged })
	out := cell.Report{Incarnation: 1, Clock: now.Sub(begin), Ended: slices.Clone(w.unacknowledgedEnds)}
	for _, r := range w.runs {
		out.Running = append(out.Running, cell.Running{
			Task: r.task, Run: r.number, Percent: int(percentScale * r.progress(now)),
		})
	}
	slices.SortFunc(out.Running, func(a, b cell.Running) int { return strings.Compare(a.Task.String(), b.Task.String()) })
	return out
}

// end removes a run from the worker and keeps its end until it is acknowledged.
func (w *worker) end(r *run, kind cell.EndKind, checkpoint string) {
	r.ended = true
	delete(w.runs, r.task)
	w.lastEndNumber++
	w.unacknowledgedEnds = append(w.unacknowledgedEnds, cell.Ended{Number: w.lastEndNumber, Task: r.task, Run: r.number, Kind: kind, Checkpoint: checkpoint})
}

// registration returns the worker's entry in the list of workers.
func (w *worker) registration(number int, load *Load) cell.Registration {
	return cell.Registration{
		ID: w.id, Incarnation: 1, Service: workerService, Capacity: load.Workers.Capacity,
		Labels: []string{fmt.Sprintf("r%d", number/load.Workers.PerRack)},
	}
}
