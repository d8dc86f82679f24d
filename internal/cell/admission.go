package cell

import (
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// logCapacityChange logs a worker's new capacity, and what its runs hold.
func (c *Cell) logCapacityChange(w *worker, capacity job.Size) {
	c.log.Info("worker's capacity changed", workerField(w), zap.Any("From", w.registration.Capacity), zap.Any("To", capacity),
		zap.Any("Reserved", w.reserved), zap.Any("Unknown", w.unknownReserved), zap.Int("Runs", w.runs.len()))
}

// stillFits reports whether a run that was planned still fits on its worker.
// Since then the worker's capacity may have shrunk, or runs that this owner does
// not know may have appeared there. A gang fits only as a whole.
func (c *Cell) stillFits(r *run) bool {
	members := []*task{r.task}
	if r.task.step.spec.Gang {
		members = r.task.step.tasks
	}
	for _, t := range members {
		if t.current == nil || t.current.phase != runPlanned || t.current.worker.admits(t.current) {
			continue
		}
		w := t.current.worker
		c.log.Info("giving up a start that no longer fits on its worker", append(runFields(t.current),
			zap.Any("Capacity", w.registration.Capacity), zap.Any("Reserved", w.reserved), zap.Any("Unknown", w.unknownReserved),
			zap.Int("Unsized", w.unsizedRuns))...)
		return false
	}
	return true
}

// admits reports whether a run that was not sent yet fits on the worker beside
// the runs that may be there. Other runs that were not sent do not count, except
// those of the same gang.
func (w *worker) admits(r *run) bool {
	free := w.unreserved()
	if isFree(free) {
		return true
	}
	gang := r.task.step.spec.Gang
	for _, other := range w.runs.list {
		step := other.task.step
		if other.phase == runPlanned && other != r && (!gang || step != r.task.step) {
			free = free.Add(step.spec.Reserved())
		}
	}
	return isFree(free)
}

// isFree reports whether free capacity is negative in no resource.
func isFree(free job.Size) bool { return job.Size{}.Fits(free) }
