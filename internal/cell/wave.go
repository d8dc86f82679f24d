package cell

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// Wave requests the maintenance of a set of machines.
type Wave struct {
	Number int
	// Machines are the machines that have to go down for maintenance once.
	Machines []string
	// TimeLimit is how long the whole wave may take.
	TimeLimit time.Duration
	// MaxDown limits the machines that are down for the wave at the same time.
	MaxDown int
}

// Maintenance orders the machine service to take a machine down. Everything
// that runs on it ends.
type Maintenance struct {
	Machine string
	Wave    int
}

// WaveStatus reports the progress of a wave to the operator.
type WaveStatus struct {
	Wave int
	Done bool
}

func (Maintenance) action() {}
func (WaveStatus) action()  {}

// MaintenanceOutcome is the result of a Maintenance order.
type MaintenanceOutcome string

const (
	// MaintenanceBegun means that the machine is, or was, down for its
	// maintenance.
	MaintenanceBegun MaintenanceOutcome = "begun"
	// MaintenanceNotNeeded means that the machine does not exist or is not in
	// the wave.
	MaintenanceNotNeeded MaintenanceOutcome = "needless"
	// MaintenanceRetry means that the order has to be repeated.
	MaintenanceRetry MaintenanceOutcome = "later"
)

// waveState is a wave and its progress.
type waveState struct {
	wave  Wave
	since time.Time
	// settled holds the machines that need no further order, because their order
	// was answered with a final outcome.
	settled map[string]bool
	// ordered has when the maintenance of a machine was last ordered, by this
	// owner or a predecessor, and after the final answer when that arrived. As
	// long as the machine is not settled, the order may take it down at any time.
	ordered map[string]time.Time
	// missingSince has when a machine was first found without a worker.
	missingSince map[string]time.Time
	done         bool

	// revision counts the changes of the record; durable is the last revision
	// that the store holds.
	revision uint64
	durable  uint64
}

const (
	// takeoverPause is how long the first order waits after a takeover, so that
	// two owners do not alternate in ordering the same machine down.
	takeoverPause = 3500 * time.Millisecond
	// maintenanceRetryInterval is the wait before an order without effect is
	// repeated.
	maintenanceRetryInterval = 1 * time.Second
	// maxMaintenance is how long a machine may stay down before it counts as
	// gone.
	maxMaintenance = 30 * time.Second
	// forceShare is the share of a wave's time limit after which tasks that are
	// expensive to reschedule are stopped too.
	forceShare = 0.5
)

// SetWave adds a wave of the operator. A wave that is already known is left
// unchanged.
func (c *Cell) SetWave(now time.Time, wave Wave) {
	if _, known := c.waves[wave.Number]; known || len(wave.Machines) == 0 {
		return
	}
	w := &waveState{
		wave: wave, since: now, settled: make(map[string]bool), ordered: make(map[string]time.Time),
		missingSince: make(map[string]time.Time),
	}
	w.restore(now, c.waveRecords[wave.Number])
	c.waves[wave.Number] = w
	c.log.Info("maintenance wave added", zap.Int("Wave", wave.Number), zap.Int("Machines", len(wave.Machines)),
		zap.Int("AtOnce", wave.MaxDown), zap.Duration("Within", wave.TimeLimit))
	c.emit(WaveStatus{Wave: wave.Number})
}

// tickWaves advances the waves.
func (c *Cell) tickWaves(now time.Time) {
	if now.Sub(c.ownedSince) < takeoverPause || !c.mayOrder(now) {
		return
	}
	for _, number := range sortedKeys(c.waves) {
		if w := c.waves[number]; !w.done {
			c.tickWave(now, w)
		}
	}
}

func (c *Cell) tickWave(now time.Time, w *waveState) {
	down := 0
	for _, machine := range w.wave.Machines {
		c.uncordon(w, machine)
		if c.countsAsDown(now, w, machine) {
			down++
		}
	}
	remaining := 0
	for _, machine := range w.wave.Machines {
		if w.settled[machine] {
			continue
		}
		remaining++
		if c.inProgress(w, machine) {
			c.advanceMachine(now, w, machine)
			continue
		}
		if down < w.wave.MaxDown && c.mayStartMaintenance(now, w, machine) {
			down++
			c.advanceMachine(now, w, machine)
		}
	}
	if remaining == 0 && down == 0 {
		w.done = true
		c.log.Info("maintenance wave completed", zap.Int("Wave", w.wave.Number))
		c.emit(WaveStatus{Wave: w.wave.Number, Done: true})
	}
}

// uncordon ends the cordon of a worker that still reports, on the same
// incarnation, more than maintenanceRetryInterval after its order was answered.
// Its machine went down and came back before the answer arrived, so no later
// incarnation will end the cordon.
func (c *Cell) uncordon(w *waveState, machine string) {
	worker := c.workerOn(machine)
	if worker == nil || worker.cordonedBy != w || !w.settled[machine] {
		return
	}
	if worker.lastReport.Sub(w.ordered[machine]) > maintenanceRetryInterval {
		worker.cordonedBy = nil
	}
}

// countsAsDown reports whether a machine counts against the wave's MaxDown: it
// is being drained, its order has no final answer yet, or it is not back yet.
func (c *Cell) countsAsDown(now time.Time, w *waveState, machine string) bool {
	if !w.settled[machine] {
		return c.inProgress(w, machine)
	}
	at, ordered := w.ordered[machine]
	if !ordered || now.Sub(at) > maxMaintenance {
		return false
	}
	worker := c.workerOn(machine)
	return worker == nil || !worker.listed || worker.cordonedBy == w || !c.inContact(now, worker)
}

// inProgress reports whether the maintenance of a machine that is not settled
// has begun, with its draining or its order.
func (c *Cell) inProgress(w *waveState, machine string) bool {
	if _, ordered := w.ordered[machine]; ordered {
		return true
	}
	worker := c.workerOn(machine)
	return worker != nil && worker.cordonedBy == w
}

// mayStartMaintenance reports whether a machine can be next. A machine without
// a worker is not waited for indefinitely: the answer to its order tells
// whether it still exists.
func (c *Cell) mayStartMaintenance(now time.Time, w *waveState, machine string) bool {
	if worker := c.workerOn(machine); worker != nil {
		delete(w.missingSince, machine)
		return worker.cordonedBy == nil && (worker.reported || !c.mayHaveRunsOn(machine))
	}
	if c.mayHaveRunsOn(machine) {
		delete(w.missingSince, machine)
		return false
	}
	since, missing := w.missingSince[machine]
	if !missing {
		w.missingSince[machine] = now
	}
	return missing && now.Sub(since) > maxMaintenance
}

// mayHaveRunsOn reports whether something may be running on a machine, also by a worker
// whose entry in the list has lapsed or is malformed.
func (c *Cell) mayHaveRunsOn(machine string) bool {
	return slices.ContainsFunc(c.onMachine[machine], func(w *worker) bool { return !w.idle() || c.earlyStarts.awaited[w.id] })
}

// advanceMachine drains a machine, and orders its maintenance once it is empty
// and the record of the order is durable.
func (c *Cell) advanceMachine(now time.Time, w *waveState, machine string) {
	if worker := c.workerOn(machine); worker != nil {
		worker.cordonedBy = w
		c.drainForWave(now, w, worker)
		// The maintenance ends the worker, and with it the list of the ends of runs that
		// a predecessor has started early.
		if worker.runs.len() > 0 || c.earlyStarts.awaited[worker.id] {
			return
		}
	}
	at, ordered := w.ordered[machine]
	if !ordered {
		w.ordered[machine] = time.Time{}
		w.revision++
	}
	if w.durable < w.revision || now.Sub(at) < maintenanceRetryInterval {
		return
	}
	w.ordered[machine] = now
	c.log.Info("ordering maintenance", zap.String("Machine", machine), zap.Int("Wave", w.wave.Number))
	c.emit(Maintenance{Machine: machine, Wave: w.wave.Number})
}

// drainForWave stops the tasks on a machine as far as their steps permit. Runs
// that are expensive to reschedule are left to finish until forceShare of the
// wave's time limit has passed.
func (c *Cell) drainForWave(now time.Time, w *waveState, worker *worker) {
	force := now.Sub(w.since) > time.Duration(forceShare*float64(w.wave.TimeLimit))
	for _, r := range worker.runs.all() {
		if r.phase == runStarted && (force || r.cheapToReschedule()) && c.withinDisruptionLimit(r) {
			c.stop(now, r)
		}
	}
}

// cheapToReschedule reports whether a run loses little when it is rescheduled.
func (r *run) cheapToReschedule() bool {
	spec := r.task.step.spec
	return spec.LongRunning || spec.Checkpoints && !spec.Gang
}

// withinDisruptionLimit reports whether the step of a run tolerates that one
// more of its tasks becomes unavailable. A long-running task whose progress is
// below 100 % has not started up and counts as unavailable.
func (c *Cell) withinDisruptionLimit(r *run) bool {
	s := r.task.step
	if !s.spec.LongRunning || !s.spec.HasMaxUnavailable {
		return true
	}
	unavailable := 0
	for _, t := range s.tasks {
		if t.current == nil || t.current.stopping || t.current.percent < fullPercent {
			unavailable++
		}
	}
	return unavailable < s.spec.MaxUnavailable
}

// Maintained handles the outcome of a maintenance order.
func (c *Cell) Maintained(now time.Time, order Maintenance, outcome MaintenanceOutcome) {
	w, known := c.waves[order.Wave]
	if !known {
		return
	}
	c.log.Info("maintenance order answered", zap.String("Machine", order.Machine), zap.Int("Wave", order.Wave),
		zap.String("Outcome", string(outcome)))
	if outcome == MaintenanceRetry || w.settled[order.Machine] {
		return
	}
	w.settled[order.Machine] = true
	w.revision++
	if outcome == MaintenanceBegun {
		w.ordered[order.Machine] = now
		return
	}
	delete(w.ordered, order.Machine)
	if worker := c.workerOn(order.Machine); worker != nil {
		worker.cordonedBy = nil
	}
}

// workerOn returns the worker on a machine, or nil. A worker that is being drained
// stays there although its entry in the list lapses, since the entry may come back. An
// entry alone does not show that its worker exists, so those that have answered go first.
func (c *Cell) workerOn(machine string) *worker {
	workers := c.onMachine[machine]
	for _, is := range []func(*worker) bool{
		func(w *worker) bool { return w.listed && w.reported && !w.laterOnMachine },
		func(w *worker) bool { return w.cordonedBy != nil && !w.laterOnMachine },
		func(w *worker) bool { return w.listed },
	} {
		if i := slices.IndexFunc(workers, is); i >= 0 {
			return workers[i]
		}
	}
	return nil
}
