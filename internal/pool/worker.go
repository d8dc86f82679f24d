package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// worker is what the owner knows of one worker.
type worker struct {
	host platform.Host
	used job.Size
	// claimed is held for urgent tasks whose victims are stopping.
	claimed job.Size
	// held is reserved for a gang.
	held job.Size
	// tasks holds the attempts that occupy room.
	tasks map[platform.Attempt]*task
	// strays are attempts that the worker runs and this owner did not start;
	// their room counts as used.
	strays map[platform.Attempt]job.Size

	// told is the worker's clock at its last report, received at toldAt.
	told   time.Time
	toldAt time.Time
	boot   string
	// since is what the next report continues from.
	since time.Time

	health   health
	leaving  bool
	cordoned bool
	gone     bool
	asking   bool
	askedAt  time.Time
	// uncounted is set until a worker has said what it runs of an owner that
	// may have started work unjournaled.
	uncounted bool
	nextAskAt time.Time
	// silentSince is when the worker stopped answering.
	silentSince time.Time
}

// open reports whether the worker may be given new work: it has reported since
// this owner took over, it answers, and it is not leaving.
func (w *worker) open() bool {
	return !w.toldAt.IsZero() && !w.uncounted && w.silentSince.IsZero() && !w.leaving && !w.cordoned && !w.gone &&
		!w.host.Leaving && !w.health.quarantined
}

func (w *worker) free() job.Size { return w.host.Capacity.Sub(w.used) }

// freeFor returns the room that a task may take: that which is left, without
// what other tasks have claimed.
func (w *worker) freeFor(t *task) job.Size {
	if t.avoid == w || w.busyProbing() {
		return job.Size{}
	}
	room := w.free()
	if !t.backfills {
		room = room.Sub(w.held)
	}
	if w.claimed.IsZero() {
		return room
	}
	room = room.Sub(w.claimed)
	if t.claim == w {
		room = room.Add(t.size)
	}
	return room
}

// clock returns a time by the worker's clock that is surely not later than what
// that clock shows now.
func (w *worker) clock(now time.Time) time.Time { return w.told.Add(now.Sub(w.toldAt)) }

// sorted returns the attempts in a fixed order, so that the same events always
// give the same actions.
func (w *worker) sorted() []*task {
	return slices.SortedFunc(maps.Values(w.tasks), func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.job.queuedAt, b.job.queuedAt), cmp.Compare(a.id.Index, b.id.Index))
	})
}

// setHost adopts a newer line of the host list.
func (w *worker) setHost(h platform.Host) {
	if h.Rack != w.host.Rack {
		for _, t := range w.tasks {
			t.job.countRack(w.host.Rack, -1)
			t.job.countRack(h.Rack, 1)
		}
	}
	w.host = h
}

func (w *worker) reserve(t *task) {
	w.used = w.used.Add(t.size)
	t.job.countRack(w.host.Rack, 1)
	t.job.team.used = t.job.team.used.Add(t.size)
	w.tasks[t.current()] = t
}

func (w *worker) release(t *task) {
	w.used = w.used.Sub(t.size)
	t.job.countRack(w.host.Rack, -1)
	t.job.team.used = t.job.team.used.Sub(t.size)
	if t.preempted {
		t.job.team.stopping = t.job.team.stopping.Sub(t.size)
	}
	delete(w.tasks, t.current())
}

func (w *worker) addStray(a platform.Attempt, size job.Size) {
	if _, ok := w.strays[a]; !ok {
		w.strays[a] = size
		w.used = w.used.Add(size)
	}
}

func (w *worker) dropStray(a platform.Attempt) {
	if size, ok := w.strays[a]; ok {
		w.used = w.used.Sub(size)
		delete(w.strays, a)
	}
}
