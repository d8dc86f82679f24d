package cell_test

import (
	"testing"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

// TestEntriesOfAnotherWriterTakeNoWorkerForEnded guards against tasks that run twice, and
// jobs that are given up, because an entry of another writer names a later worker on the
// machine of one that runs (review cases 2 and 3). Nobody answers for these entries.
func TestEntriesOfAnotherWriterTakeNoWorkerForEnded(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, omitNothing, rapid.Bool().Draw(t, "unfenced"))
		actions := w.crashActions()
		actions["foreign entry"] = func(*rapid.T) { w.writeForeignEntry() }
		t.Repeat(actions)
		if w.violation == "" {
			w.finishJobs()
		}
		if w.violation != "" {
			t.Fatal(w.violation)
		}
	})
}

// writeForeignEntry writes an entry that names a later worker on the machine of a worker.
func (w *simulation) writeForeignEntry() {
	m := w.anyWorker().machine
	later := cell.Incarnation(rapid.IntRange(1, 3).Draw(w.t, "later"))
	for _, o := range w.owners {
		o.cell.Register(w.now, cell.Registration{
			ID: cell.WorkerID("agent-" + m.name), Incarnation: m.incarnation + later, Machine: m.name, Service: "s", Capacity: workerCapacity,
		})
	}
}
