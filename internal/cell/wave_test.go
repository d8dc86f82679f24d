package cell_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// maintenanceFor is how long a machine is down for its maintenance.
const maintenanceFor = 2 * time.Second

// simWave is a wave of maintenance as the operator and the machines know it.
type simWave struct {
	wave cell.Wave
	// begun holds the machines that have gone down for it.
	begun map[string]bool
}

// simMachine is a machine. Each of its lives is a worker of its own.
type simMachine struct {
	name  string
	label string
	lives int
	// fence is the highest fencing token of an order.
	fence uint64
	// back is when the machine is up again; zero while it is up.
	back   time.Time
	downBy *simWave
}

// announce has the operator ask for a wave.
func (w *world) announce() {
	if len(w.waves) >= 2 {
		return
	}
	wave := cell.Wave{Number: len(w.waves) + 1, MaxDown: rapid.IntRange(1, 2).Draw(w.t, "atOnce"), TimeLimit: w.span("within", 4000, 20000)}
	for _, m := range w.machines {
		if rapid.IntRange(0, 3).Draw(w.t, "inWave") > 0 {
			wave.Machines = append(wave.Machines, m.name)
		}
	}
	w.waves = append(w.waves, &simWave{wave: wave, begun: make(map[string]bool)})
	for _, o := range w.owners {
		o.cell.SetWave(w.now, wave)
	}
}

// maintenance carries out an order for a machine.
func (w *world) maintenance(o *simOwner, order *cell.Maintenance) (outcome cell.MaintenanceOutcome, fenced bool) {
	i := slices.IndexFunc(w.machines, func(m *simMachine) bool { return m.name == order.Machine })
	m, wave := w.machines[i], w.waves[order.Wave-1]
	switch {
	case o.epoch < m.fence && w.omit != omitFence:
		return cell.MaintenanceRetry, true
	case !slices.Contains(wave.wave.Machines, m.name):
		return cell.MaintenanceNotNeeded, false
	}
	m.fence = max(m.fence, o.epoch)
	switch {
	case wave.begun[m.name]:
		return cell.MaintenanceBegun, false
	case !m.back.IsZero():
		return cell.MaintenanceRetry, false
	}
	w.checkMaintenance(m, wave)
	wave.begun[m.name] = true
	m.back, m.downBy = w.now.Add(maintenanceFor), wave
	w.endLife(m)
	return cell.MaintenanceBegun, false
}

// checkMaintenance holds an maintenance against the operator's bounds, as it begins.
func (w *world) checkMaintenance(m *simMachine, wave *simWave) {
	down := 0
	for _, other := range w.machines {
		if other.downBy == wave {
			down++
		}
	}
	if down >= wave.wave.MaxDown {
		w.fail("machine %s goes down for wave %d while %d are, of %d allowed", m.name, wave.wave.Number, down, wave.wave.MaxDown)
	}
	s := w.life(m)
	for _, id := range sortedTasks(s.runs) {
		if w.atWork(s.runs[id]) {
			w.takenAway(id)
		}
	}
}

// startupFor is how long a task that lasts takes until it is at work.
const startupFor = 600 * time.Millisecond

// atWork reports whether a run serves its users: it lasts, it has started up,
// and its start was not one of those that were held up.
func (w *world) atWork(r *simRun) bool {
	return r.lasts && !r.held && w.now.Sub(r.arrived) >= startupFor
}

// takenAway notes that an order ends a task that is at work, and holds that
// against what its step bears.
func (w *world) takenAway(id workload.TaskID) {
	step := w.step(id)
	if !step.LongRunning || w.cancelled[id.Job] {
		return
	}
	others := 0
	for i := range step.Tasks {
		if other := (workload.TaskID{StepID: id.StepID, Index: i}); other != id && w.away[other] {
			others++
		}
	}
	w.away[id] = true
	if step.HasMaxUnavailable && others >= step.MaxUnavailable {
		w.fail("an order ends task %s while %d others of its step are away", id, others)
	}
}

// life returns the worker that is the machine's present life.
func (w *world) life(m *simMachine) *simWorker {
	i := slices.IndexFunc(w.workers, func(s *simWorker) bool { return s.machine == m && !s.gone })
	return w.workers[i]
}

// endLife ends all that runs on a machine.
func (w *world) endLife(m *simMachine) {
	s := w.life(m)
	s.gone, s.cut = true, true
	for id, r := range s.runs {
		w.brokenBy(id, r)
	}
	s.runs, s.ends = make(map[workload.TaskID]*simRun), nil
	for _, o := range w.owners {
		o.cell.Unlist(w.now, s.id)
	}
}

// returnMachines brings the machines back whose maintenance is over.
func (w *world) returnMachines() {
	for _, m := range w.machines {
		if m.back.IsZero() || w.now.Before(m.back) {
			continue
		}
		m.back, m.downBy = time.Time{}, nil
		s := w.newLife(m)
		for _, o := range w.owners {
			o.cell.Register(w.now, w.registration(s))
		}
	}
}

func (w *world) newLife(m *simMachine) *simWorker {
	m.lives++
	s := &simWorker{
		id: cell.WorkerID(fmt.Sprintf("%s.%d", m.name, m.lives)), machine: m, label: m.label, born: 1, since: w.now,
		rate: 1 - float64(len(w.workers)%3)*0.01,
		runs: make(map[workload.TaskID]*simRun), highest: make(map[workload.TaskID]int),
	}
	w.workers = append(w.workers, s)
	return s
}

// told holds what the operator reads of a wave against what has happened.
func (w *world) told(s cell.WaveStatus) {
	if !s.Done {
		return
	}
	wave := w.waves[s.Wave-1]
	for _, name := range wave.wave.Machines {
		if !wave.begun[name] {
			w.fail("wave %d is said to be complete, and %s has not been down", s.Wave, name)
		}
	}
	w.wavesDone[s.Wave] = true
}
