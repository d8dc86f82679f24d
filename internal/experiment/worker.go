package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// worker runs tasks in virtual time.
type worker struct {
	id cell.WorkerID
	// slowdown times its estimate is how long a task runs here.
	slowdown float64
	failing  bool
	runs     map[workload.TaskID]*run
	unacknowledgedEnds     []cell.Ended
	lastEndNumber    int64
}

// run is a task at work.
type run struct {
	task   workload.TaskID
	number int
	startedAt   time.Time
	// duration is how long the run will take in all, of which done is saved work of
	// earlier runs.
	duration  time.Duration
	savedWork  time.Duration
	fails bool
	ended  bool
}

// progress returns how much of the work is done, from 0 to 1.
func (r *run) progress(now time.Time) float64 {
	return min(float64(r.savedWork+now.Sub(r.startedAt))/float64(max(r.duration, 1)), 1)
}

const percentScale = 100

// report is what the worker answers to a hold call.
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

// end takes a run off the worker and lists its end.
func (w *worker) end(r *run, how cell.EndKind, checkpoint string) {
	r.ended = true
	delete(w.runs, r.task)
	w.lastEndNumber++
	w.unacknowledgedEnds = append(w.unacknowledgedEnds, cell.Ended{Number: w.lastEndNumber, Task: r.task, Run: r.number, Kind: how, Checkpoint: checkpoint})
}

// registration is how the worker stands in the list of workers.
func (w *worker) registration(number int, load *Load) cell.Registration {
	return cell.Registration{
		ID: w.id, Incarnation: 1, Service: service, Capacity: load.Workers.Capacity,
		Labels: []string{fmt.Sprintf("r%d", number/load.Workers.PerRack)},
	}
}
