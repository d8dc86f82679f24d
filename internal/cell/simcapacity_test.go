package cell_test

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
)

// simCapacity is the capacity of a simulated worker, which shrinks and grows
// while the worker runs.
type simCapacity struct {
	actual job.Size
	// entry is the capacity in the worker's entry in the list of workers.
	entry job.Size
	// told is the capacity that each owner was told last, by epoch.
	told map[uint64]job.Size
	// changes holds all values of actual, and changedAt is when the last of
	// them began.
	changes   []job.Size
	changedAt time.Time
}

// sentStart is what is known of a start when its owner sends it.
type sentStart struct {
	// told is the capacity of the worker that the owner was told last.
	told job.Size
	// change is the index of the worker's actual capacity at that time.
	change int
	// underCap is what is known of the caps.
	underCap sentUnderCap
}

// capacityNotice is the longest time from a change of a worker's capacity until
// the owner is told.
const capacityNotice = 5500 * time.Millisecond

func newSimCapacity() simCapacity {
	return simCapacity{
		actual: workerCapacity, entry: workerCapacity, told: make(map[uint64]job.Size), changes: []job.Size{workerCapacity},
	}
}

// tell returns the capacity in a worker's entry, which the current owner is told.
func (w *simulation) tell(s *simWorker) job.Size {
	s.capacity.told[w.epoch] = s.capacity.entry
	if w.omit == omitSmallerCapacity {
		return workerCapacity
	}
	return s.capacity.entry
}

// told returns the capacity of a worker that an owner was told last.
func (w *simulation) told(s *simWorker, epoch uint64) job.Size {
	if size, ok := s.capacity.told[epoch]; ok {
		return size
	}
	return workerCapacity // an earlier owner learns only of new workers
}

// noteSent records what an owner knows when it sends a start.
func (w *simulation) noteSent(o *simOwner, a *cell.SendStart) {
	s := w.worker(a.Worker)
	w.sent[a] = sentStart{told: w.told(s, o.epoch), change: len(s.capacity.changes) - 1, underCap: w.noteSentUnderCap(o)}
}

// capacityLimit returns the capacity that a start may fill: what its owner was
// told last before it sent the start, or what the worker has had since then.
func (w *simulation) capacityLimit(s *simWorker, a *cell.SendStart) job.Size {
	sent := w.sent[a]
	limit := sent.told
	for _, size := range s.capacity.changes[sent.change:] {
		limit = limit.Max(size)
	}
	return limit
}

// capacityActions returns the actions by which capacities change.
func (w *simulation) capacityActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"capacity":  func(*rapid.T) { w.changeCapacity() },
		"heartbeat": func(*rapid.T) { w.heartbeat() },
		"list":      func(*rapid.T) { w.listWorkers() },
	}
}

// changeCapacity shrinks or grows a worker. Its entry does not show it yet.
func (w *simulation) changeCapacity() { w.setCapacity(w.anyWorker(), w.drawCapacity()) }

func (w *simulation) drawCapacity() job.Size {
	return job.Size{
		MilliCores: int64(rapid.IntRange(1, 4).Draw(w.t, "capacity")) * 1000,
		MemoryMB:   int64(rapid.SampledFrom([]int{600, 1200, 4000}).Draw(w.t, "memory")),
	}
}

func (w *simulation) setCapacity(s *simWorker, size job.Size) {
	c := &s.capacity
	if size == c.actual {
		return
	}
	if c.actual == w.told(s, w.epoch) {
		c.changedAt = w.now
	}
	c.actual = size
	c.changes = append(c.changes, size)
}

// heartbeat writes a worker's entry. No owner is told yet, but a new one reads it.
func (w *simulation) heartbeat() {
	s := w.anyWorker()
	s.capacity.entry = s.capacity.actual
}

// listWorkers tells the owner the entries of all workers.
func (w *simulation) listWorkers() {
	for _, s := range w.live() {
		w.owner().cell.Register(w.now, w.registration(s))
	}
}

// tellLateCapacities tells the owner the capacities that changed longer ago than
// capacityNotice.
func (w *simulation) tellLateCapacities() {
	for _, s := range w.live() {
		if s.capacity.actual != w.told(s, w.epoch) && w.now.Sub(s.capacity.changedAt) >= capacityNotice {
			s.capacity.entry = s.capacity.actual
			w.owner().cell.Register(w.now, w.registration(s))
		}
	}
}

// growAll gives all workers their full capacity back, and removes all caps.
func (w *simulation) growAll() {
	w.liftCaps()
	for _, s := range w.live() {
		w.setCapacity(s, workerCapacity)
		s.capacity.entry = workerCapacity
	}
}

// TestJobLifecycleWithCapacityChanges is TestJobLifecycle with workers whose
// capacity changes, with and without fencing tokens.
func TestJobLifecycleWithCapacityChanges(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		unfenced := rapid.Bool().Draw(t, "unfenced")
		if violation := runSimulation(t, omitNothing, unfenced, (*simulation).capacityActions); violation != "" {
			t.Fatal(violation)
		}
	})
}

func TestCapacityChangesDetectIgnoredSmallerCapacity(t *testing.T) {
	if !detected(t, omitSmallerCapacity, (*simulation).capacityActions) {
		t.Fatalf("no simulation detected that %s", omitSmallerCapacity)
	}
}

// TestCapacityChangesWithoutFaults plays jobs on workers whose capacity changes,
// without any other fault: no gang may end because members did not start.
func TestCapacityChangesWithoutFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, omitNothing, rapid.Bool().Draw(t, "unfenced"))
		w.slow = rapid.Bool().Draw(t, "slow")
		actions := map[string]func(*rapid.T){
			"submit": func(*rapid.T) { w.submit() },
			"cancel": func(*rapid.T) { w.cancel() },
			"go on":  func(*rapid.T) { w.stepWithoutFaults() },
			"":       func(*rapid.T) { w.check() },
		}
		maps.Copy(actions, w.capacityActions())
		t.Repeat(actions)
		if w.finishJobs(); w.violation != "" {
			t.Fatal(w.violation)
		}
		if w.incompleteGangMembers > 0 || w.expiredLeases > 0 {
			t.Fatalf("%d gang members timed out, %d runs lost their lease", w.incompleteGangMembers, w.expiredLeases)
		}
	})
}
