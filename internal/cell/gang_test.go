package cell_test

import (
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// gangKey identifies one run of a gang.
type gangKey struct {
	step   workload.StepID
	number int
}

// simGang is one run of a gang, across all workers.
type simGang struct {
	began time.Time
	until time.Time
	fails bool
	// ended is set once a member has ended, so that the others end too.
	ended bool
	// checkpoint is the checkpoint that the members were started with.
	checkpoint string
}

// member is one task of a gang on its worker.
type member struct {
	worker *simWorker
	id     workload.TaskID
	run    *simRun
}

// joinGang records that a member has started on a worker.
func (w *simulation) joinGang(a *cell.SendStart) {
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

// members returns the tasks of a gang's run that are on a worker.
func (w *simulation) members(key gangKey) []member {
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

// advanceGangs begins, ends and times out gangs.
func (w *simulation) advanceGangs() {
	for _, s := range w.workers {
		for _, id := range sortedTasks(s.runs) {
			if r, there := s.runs[id]; there && r.gang {
				w.advanceGang(gangKey{id.StepID, r.number})
			}
		}
	}
}

func (w *simulation) advanceGang(key gangKey) {
	g := w.gangs[key]
	present := w.members(key)
	switch {
	case g.ended:
		w.endGang(present, cell.EndGangBroken)
	case g.began.IsZero() && len(present) == w.step(present[0].id).Tasks:
		g.began = w.now
		g.until = w.now.Add(w.drawRunTime(present[0].id))
		g.fails = w.drawFailure()
	case g.began.IsZero():
		w.timeOutGang(g, present)
	case !w.now.Before(g.until) && g.fails:
		g.ended = true
		w.noteFailed(present[0].id, present[0].run)
		w.end(present[0].worker, present[0].id, present[0].run, cell.EndFailed)
		w.endGang(present[1:], cell.EndGangBroken)
	case !w.now.Before(g.until):
		g.ended = true
		for i := range w.step(present[0].id).Tasks {
			w.everDone[workload.TaskID{StepID: key.step, Index: i}] = true
		}
		w.endGang(present, cell.EndDone)
	}
}

// timeOutGang ends the members that have waited too long for the others.
func (w *simulation) timeOutGang(g *simGang, present []member) {
	for _, m := range present {
		if w.now.Sub(m.run.arrived) >= gangTimeout {
			g.ended = true
			w.incompleteGangMembers++
			w.end(m.worker, m.id, m.run, cell.EndGangIncomplete)
		}
	}
}

func (w *simulation) endGang(members []member, how cell.EndKind) {
	for _, m := range members {
		w.end(m.worker, m.id, m.run, how)
	}
}

// breakGang ends the gang of a member that has ended on its own.
func (w *simulation) breakGang(id workload.TaskID, r *simRun) {
	if r.gang {
		w.gangs[gangKey{id.StepID, r.number}].ended = true
	}
}

// drawRunTime draws how long a run takes. A task that crashes its worker never
// ends otherwise, nor does its gang.
func (w *simulation) drawRunTime(id workload.TaskID) time.Duration {
	if w.blocksEnd(id) {
		return never
	}
	return time.Duration(rapid.IntRange(100, 4000).Draw(w.t, "took")) * time.Millisecond
}

func (w *simulation) drawFailure() bool {
	return rapid.IntRange(0, 9).Draw(w.t, "fails") < w.failingTenths
}
