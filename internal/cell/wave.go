package cell

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// Wave asks for the maintenance of some machines.
type Wave struct {
	Number int
	// Machines are those that have to go down for maintenance once.
	Machines []string
	// TimeLimit is how long the whole wave may take.
	TimeLimit time.Duration
	// MaxDown bounds the machines that are down for it at the same time.
	MaxDown int
}

// Maintenance asks the machines' service to take a machine down. Everything that
// runs there ends.
type Maintenance struct {
	Machine string
	Wave    int
}

// WaveStatus tells the operator how far a wave is.
type WaveStatus struct {
	Wave int
	Done bool
}

func (Maintenance) action() {}
func (WaveStatus) action()  {}

// MaintenanceOutcome is what became of an Maintenance.
type MaintenanceOutcome string

const (
	// MaintenanceBegun means that the machine is down for its maintenance, or was.
	MaintenanceBegun MaintenanceOutcome = "begun"
	// MaintenanceNotNeeded means that there is no such machine, or not in the wave.
	MaintenanceNotNeeded MaintenanceOutcome = "needless"
	// MaintenanceRetry means that the order has to be repeated.
	MaintenanceRetry MaintenanceOutcome = "later"
)

// waveState is a wave and how far it is.
type waveState struct {
	wave  Wave
	since time.Time
	// settled holds the machines that need no order any more.
	settled map[string]bool
	// ordered has when the maintenance of a machine was last ordered, by this owner
	// or an earlier one. An order that is not settled may take the machine
	// down at any time.
	ordered map[string]time.Time
	// missing has since when a machine has no worker.
	missing map[string]time.Time
	done    bool

	// revision counts the changes of the record; durable is the last one that
	// the store holds.
	revision uint64
	durable  uint64
}

const (
	// maintenancePause is how long after a takeover the first order waits, so that
	// two owners do not take turns at one machine.
	maintenancePause = 3500 * time.Millisecond
	// maintenanceRepeat is the wait before an order without effect is repeated.
	maintenanceRepeat = 1 * time.Second
	// maintenanceLongest is how long a machine may stay down before it counts as
	// gone.
	maintenanceLongest = 30 * time.Second
	// hurryShare of a wave's time is when tasks are no longer waited for.
	hurryShare = 0.5
)

// SetWave takes in a wave of the operator. One that is known is left as it is.
func (c *Cell) SetWave(now time.Time, wave Wave) {
	if _, known := c.waves[wave.Number]; known || len(wave.Machines) == 0 {
		return
	}
	w := &waveState{
		wave: wave, since: now, settled: make(map[string]bool), ordered: make(map[string]time.Time),
		missing: make(map[string]time.Time),
	}
	w.restore(now, c.waveRecords[wave.Number])
	c.waves[wave.Number] = w
	c.log.Info("wave of maintenance", zap.Int("Wave", wave.Number), zap.Int("Machines", len(wave.Machines)),
		zap.Int("AtOnce", wave.MaxDown), zap.Duration("Within", wave.TimeLimit))
	c.act(WaveStatus{Wave: wave.Number})
}

// tickWaves moves the waves on.
func (c *Cell) tickWaves(now time.Time) {
	if now.Sub(c.since) < maintenancePause {
		return
	}
	for _, number := range sortedKeys(c.waves) {
		if w := c.waves[number]; !w.done {
			c.tickWave(now, w)
		}
	}
}

func (c *Cell) tickWave(now time.Time, w *waveState) {
	busy := 0
	for _, machine := range w.wave.Machines {
		c.openAgain(w, machine)
		if c.isDown(now, w, machine) {
			busy++
		}
	}
	open := 0
	for _, machine := range w.wave.Machines {
		if w.settled[machine] {
			continue
		}
		open++
		if c.takesPlace(w, machine) {
			c.moveOn(now, w, machine)
			continue
		}
		if busy < w.wave.MaxDown && c.mayBegin(now, w, machine) {
			busy++
			c.moveOn(now, w, machine)
		}
	}
	if open == 0 && busy == 0 {
		w.done = true
		c.log.Info("wave of maintenance is complete", zap.Int("Wave", w.wave.Number))
		c.act(WaveStatus{Wave: w.wave.Number, Done: true})
	}
}

// openAgain lets a worker have starts again whose machine had been down for the
// wave before its order was answered, so that this is its next life already.
func (c *Cell) openAgain(w *waveState, machine string) {
	worker := c.workerOn(machine)
	if worker == nil || worker.cordonedBy != w || !w.settled[machine] {
		return
	}
	if worker.lastReport.Sub(w.ordered[machine]) > maintenanceRepeat {
		worker.cordonedBy = nil
	}
}

// isDown reports whether a machine takes one of the wave's places: it is being
// emptied, its order is not settled, or it is not back yet.
func (c *Cell) isDown(now time.Time, w *waveState, machine string) bool {
	if !w.settled[machine] {
		return c.takesPlace(w, machine)
	}
	at, ordered := w.ordered[machine]
	if !ordered || now.Sub(at) > maintenanceLongest {
		return false
	}
	worker := c.workerOn(machine)
	return worker == nil || worker.cordonedBy == w || !worker.reported || now.Sub(worker.lastReport) > c.config.ContactTimeout
}

// takesPlace reports whether a machine that is not settled has begun its way
// through the wave.
func (c *Cell) takesPlace(w *waveState, machine string) bool {
	if _, ordered := w.ordered[machine]; ordered {
		return true
	}
	worker := c.workerOn(machine)
	return worker != nil && worker.cordonedBy == w
}

// mayBegin reports whether a machine can be taken next. One without a worker is
// not waited for forever: its order tells whether it is still there.
func (c *Cell) mayBegin(now time.Time, w *waveState, machine string) bool {
	if worker := c.workerOn(machine); worker != nil {
		delete(w.missing, machine)
		return worker.cordonedBy == nil
	}
	since, missing := w.missing[machine]
	if !missing {
		w.missing[machine] = now
	}
	return missing && now.Sub(since) > maintenanceLongest
}

// moveOn gets the tasks off a machine, and orders its maintenance once it is empty
// and the order is on record.
func (c *Cell) moveOn(now time.Time, w *waveState, machine string) {
	if worker := c.workerOn(machine); worker != nil {
		worker.cordonedBy = w
		c.empty(now, w, worker)
		if worker.runs.len() > 0 {
			return
		}
	}
	at, ordered := w.ordered[machine]
	if !ordered {
		w.ordered[machine] = time.Time{}
		w.revision++
	}
	if w.durable < w.revision || now.Sub(at) < maintenanceRepeat {
		return
	}
	w.ordered[machine] = now
	c.log.Info("ordering maintenance", zap.String("Machine", machine), zap.Int("Wave", w.wave.Number))
	c.act(Maintenance{Machine: machine, Wave: w.wave.Number})
}

// empty stops the tasks on a machine that may be taken away.
func (c *Cell) empty(now time.Time, w *waveState, worker *worker) {
	hurry := now.Sub(w.since) > time.Duration(hurryShare*float64(w.wave.TimeLimit))
	for _, r := range worker.runs.all() {
		if r.phase == runStarted && (hurry || r.movable()) && c.mayTakeAway(r) {
			c.stop(now, r)
		}
	}
}

// movable reports whether a run loses little by a move.
func (r *run) movable() bool {
	spec := r.task.step.spec
	return spec.LongRunning || spec.Checkpoints && !spec.Gang
}

// mayTakeAway reports whether the step of a run bears that one more of its
// tasks is away.
func (c *Cell) mayTakeAway(r *run) bool {
	s := r.task.step
	if !s.spec.LongRunning || !s.spec.HasMaxUnavailable {
		return true
	}
	away := 0
	for _, t := range s.tasks {
		if t.current == nil || t.current.stopping || t.current.percent < fullPercent {
			away++
		}
	}
	return away < s.spec.MaxUnavailable
}

// Maintained takes in what became of an order.
func (c *Cell) Maintained(now time.Time, order Maintenance, outcome MaintenanceOutcome) {
	w, known := c.waves[order.Wave]
	if !known {
		return
	}
	c.log.Info("maintenance ordered", zap.String("Machine", order.Machine), zap.Int("Wave", order.Wave),
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

// workerOn returns the worker on a machine, or nil.
func (c *Cell) workerOn(machine string) *worker {
	i := slices.IndexFunc(c.ordered, func(w *worker) bool { return w.listed && w.registration.Machine == machine })
	if i < 0 {
		return nil
	}
	return c.ordered[i]
}
