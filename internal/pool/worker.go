package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// worker is the owner's view of one worker.
type worker struct {
	host platform.Host
	used job.Size
	// claimed is the capacity claimed by waiting tasks whose victims are
	// stopping.
	claimed job.Size
	// gangReserved is the capacity reserved for a gang.
	gangReserved job.Size
	// tasks holds the attempts that hold capacity.
	tasks map[platform.Attempt]*task
	// orphans are attempts that the worker runs and this owner did not start.
	// Their capacity counts as used.
	orphans map[platform.Attempt]job.Size

	// reportedClock is the worker's clock in its last report, which was
	// received at reportedAt.
	reportedClock time.Time
	reportedAt    time.Time
	boot          string
	// since is the point from which the next report continues.
	since time.Time

	health            health
	leaving           bool
	cordoned          bool
	unlisted          bool
	reportPending     bool
	reportRequestedAt time.Time
	// unreconciled is set until the worker has reported everything that it
	// runs, when the predecessor may have started work unjournaled.
	unreconciled bool
	nextReportAt time.Time
	// unreachableSince is when the worker stopped answering.
	unreachableSince time.Time
}

// schedulable reports whether the worker may be given new work: it has reported
// since this owner took over, is reconciled and reachable, and is neither
// leaving, cordoned, unlisted nor quarantined.
func (w *worker) schedulable() bool {
	return !w.reportedAt.IsZero() && !w.unreconciled && w.unreachableSince.IsZero() && !w.leaving && !w.cordoned && !w.unlisted &&
		!w.host.Leaving && !w.health.quarantined
}

func (w *worker) free() job.Size { return w.host.Capacity.Sub(w.used) }

// freeFor returns the capacity that a task may take: the free capacity without
// what is claimed by other tasks or reserved for a gang.
func (w *worker) freeFor(t *task) job.Size {
	if t.avoid == w || w.probeRunning() {
		return job.Size{}
	}
	free := w.free()
	if !t.backfills {
		free = free.Sub(w.gangReserved)
	}
	if w.claimed.IsZero() {
		return free
	}
	free = free.Sub(w.claimed)
	if t.claimedWorker == w {
		free = free.Add(t.size)
	}
	return free
}

// clock returns a time by the worker's clock that is never later than what that
// clock shows now.
func (w *worker) clock(now time.Time) time.Time { return w.reportedClock.Add(now.Sub(w.reportedAt)) }

// sortedTasks returns the tasks in a fixed order, so that the same events
// always give the same actions.
func (w *worker) sortedTasks() []*task {
	return slices.SortedFunc(maps.Values(w.tasks), func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.job.arrival, b.job.arrival), cmp.Compare(a.id.Index, b.id.Index))
	})
}

// setHost updates the worker's entry in the host list.
func (w *worker) setHost(h platform.Host) {
	if h.Rack != w.host.Rack {
		for _, t := range w.tasks {
			t.job.adjustRackCount(w.host.Rack, -1)
			t.job.adjustRackCount(h.Rack, 1)
		}
	}
	w.host = h
}

func (w *worker) reserve(t *task) {
	w.used = w.used.Add(t.size)
	t.job.adjustRackCount(w.host.Rack, 1)
	t.job.team.used = t.job.team.used.Add(t.size)
	w.tasks[t.currentAttempt()] = t
}

func (w *worker) release(t *task) {
	w.used = w.used.Sub(t.size)
	t.job.adjustRackCount(w.host.Rack, -1)
	t.job.team.used = t.job.team.used.Sub(t.size)
	if t.preempted {
		t.job.team.stopping = t.job.team.stopping.Sub(t.size)
	}
	delete(w.tasks, t.currentAttempt())
}

func (w *worker) addOrphan(a platform.Attempt, size job.Size) {
	if _, ok := w.orphans[a]; !ok {
		w.orphans[a] = size
		w.used = w.used.Add(size)
	}
}

func (w *worker) removeOrphan(a platform.Attempt) {
	if size, ok := w.orphans[a]; ok {
		w.used = w.used.Sub(size)
		delete(w.orphans, a)
	}
}
