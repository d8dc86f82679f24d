package cell_test

import (
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// gangKey names one run of a gang.
type gangKey struct {
	step   workload.StepID
	number int
}

// simGang is one run of a gang, over all workers.
type simGang struct {
	began time.Time
	until time.Time
	fails bool
	// over is set once a member has ended, so that the others end too.
	over bool
	// checkpoint is what the members were started with.
	checkpoint string
}

// member is one task of a gang at its worker.
type member struct {
	worker *simWorker
	id     workload.TaskID
	run    *simRun
}

// joinGang notes that a member has arrived at a worker.
func (w *world) joinGang(a *cell.SendStart) {
	key := gangKey{a.Task.StepID, a.Run}
	g, known := w.gangs[key]
	if !known {
		w.gangs[key] = &simGang{checkpoint: a.Checkpoint}
		return
	}
	if g.checkpoint != a.Checkpoint {
		w.fail("members of run %d of %s start from %q and %q", a.Run, a.Task.StepID, g.checkpoint, a.Checkpoint)
	}
}

// members returns the tasks of a gang's run that are at a worker.
func (w *world) members(key gangKey) []member {
	var out []member
	for _, s := range w.workers {
		for _, id := range sortedTasks(s.runs) {
			if r := s.runs[id]; r.gang && id.StepID == key.step && r.number == key.number {
				out = append(out, member{s, id, r})
			}
		}
	}
	return out
}

// moveGangs lets the gangs begin, end, or give up.
func (w *world) moveGangs() {
	for _, s := range w.workers {
		for _, id := range sortedTasks(s.runs) {
			if r, there := s.runs[id]; there && r.gang {
				w.moveGang(gangKey{id.StepID, r.number})
			}
		}
	}
}

func (w *world) moveGang(key gangKey) {
	g := w.gangs[key]
	present := w.members(key)
	switch {
	case g.over:
		w.endGang(present, cell.EndGangBroken)
	case g.began.IsZero() && len(present) == w.step(present[0].id).Tasks:
		g.began = w.now
		g.until = w.now.Add(w.drawnTime())
		g.fails = w.drawnFailure()
	case g.began.IsZero():
		w.giveUpAlone(g, present)
	case !w.now.Before(g.until) && g.fails:
		g.over = true
		present[0].worker.end(present[0].id, present[0].run, cell.EndFailed)
		w.endGang(present[1:], cell.EndGangBroken)
	case !w.now.Before(g.until):
		g.over = true
		for i := range w.step(present[0].id).Tasks {
			w.everDone[workload.TaskID{StepID: key.step, Index: i}] = true
		}
		w.endGang(present, cell.EndDone)
	}
}

// giveUpAlone ends the members that have waited too long for the others.
func (w *world) giveUpAlone(g *simGang, present []member) {
	for _, m := range present {
		if w.now.Sub(m.run.arrived) >= gangTimeout {
			g.over = true
			w.alone++
			m.worker.end(m.id, m.run, cell.EndGangIncomplete)
		}
	}
}

func (w *world) endGang(members []member, how cell.EndKind) {
	for _, m := range members {
		m.worker.end(m.id, m.run, how)
	}
}

// brokenBy notes that a member has ended for a reason of its own.
func (w *world) brokenBy(id workload.TaskID, r *simRun) {
	if r.gang {
		w.gangs[gangKey{id.StepID, r.number}].over = true
	}
}

func (w *world) drawnTime() time.Duration {
	return time.Duration(rapid.IntRange(100, 4000).Draw(w.t, "took")) * time.Millisecond
}

func (w *world) drawnFailure() bool { return rapid.IntRange(0, 9).Draw(w.t, "fails") == 0 }
