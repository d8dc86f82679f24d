package cell

import (
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// unrecordedRun is a run that a predecessor may have started early and that no
// record names.
type unrecordedRun struct {
	worker   *worker
	reported Running
	stopping bool
}

// earlyStartState tracks early starts: starts that are sent before their record
// is durable.
//
// While commits to the store are slow, starts may be sent early. The owner's
// row then names the workers that may get early starts. A new owner starts
// nothing, apart from gangs and long-running tasks, which never start early,
// until each of these workers has reported to it or has certainly lost its
// lease, because a task that is waiting according to its record may be running
// there. On such a worker it starts nothing at all, since it does not know how
// much capacity is taken. A task has at most one unrecorded run, so the number of
// that run is known.
type earlyStartState struct {
	// enabled is set while starts should not wait for their record.
	enabled bool
	// allowed holds the workers that the durable row of this owner names.
	allowed map[WorkerID]bool
	// awaited holds the workers that a predecessor named and that have neither
	// reported nor certainly lost their lease. They may have unknown runs.
	awaited map[WorkerID]bool
	// undurable holds the early runs whose record is not known to be durable.
	undurable  []*run
	unrecorded map[workload.TaskID]*unrecordedRun
}

func newEarlyStartState() earlyStartState {
	return earlyStartState{
		allowed: make(map[WorkerID]bool), awaited: make(map[WorkerID]bool),
		unrecorded: make(map[workload.TaskID]*unrecordedRun),
	}
}

// maxEarlyStartWorkers limits the workers that the owner's row names.
const maxEarlyStartWorkers = 128

const (
	// SlowCommit is the commit time at and above which starts are sent early,
	// and QuickCommit the time at which they wait for their record again.
	SlowCommit = 80 * time.Millisecond
	// QuickCommit is well below SlowCommit, so that the mode does not
	// oscillate.
	QuickCommit = 40 * time.Millisecond
)

// SetEarlyStarts enables or disables early starts.
func (c *Cell) SetEarlyStarts(enabled bool) { c.earlyStarts.enabled = enabled }

// EarlyStartWorkers returns the workers that the owner's next row has to name.
// Until that row is durable, early starts go only to workers that the previous
// row names too. It is called after TakeRecords.
func (c *Cell) EarlyStartWorkers(now time.Time) []WorkerID {
	named := maps.Clone(c.earlyStarts.awaited)
	for _, w := range c.sortedWorkers {
		if c.earlyStarts.enabled && len(named) < maxEarlyStartWorkers && c.usable(now, w) {
			named[w.id] = true
		}
	}
	for _, id := range c.undurableWorkers() {
		named[id] = true
	}
	c.addWorkersWithUnknownUse(named)
	if c.HasRecords() {
		// The row is committed together with some records, but not with all of
		// them.
		maps.Copy(named, c.earlyStarts.allowed)
	}
	maps.DeleteFunc(c.earlyStarts.allowed, func(id WorkerID, _ bool) bool { return !named[id] })
	return slices.Sorted(maps.Keys(named))
}

// undurableWorkers returns the workers with early runs whose record is not part
// of the next commit.
func (c *Cell) undurableWorkers() []WorkerID {
	var out []WorkerID
	c.earlyStarts.undurable = slices.DeleteFunc(c.earlyStarts.undurable, func(r *run) bool {
		j := r.task.step.job
		if r.revision <= j.durable {
			return true
		}
		if j.dirty {
			out = append(out, r.worker.id)
		}
		return false
	})
	return out
}

// EarlyStartWorkersCommitted records the workers that the owner's durable row
// names.
func (c *Cell) EarlyStartWorkersCommitted(named []WorkerID) {
	clear(c.earlyStarts.allowed)
	for _, id := range named {
		c.earlyStarts.allowed[id] = !c.earlyStarts.awaited[id]
	}
}

// RestoreEarlyStartWorkers takes over the workers on which a predecessor may
// have started runs early. It is called before Accept and Restore.
func (c *Cell) RestoreEarlyStartWorkers(named []WorkerID) {
	for _, id := range named {
		c.earlyStarts.awaited[id] = true
	}
}

// awaitingWorkers reports whether a worker is awaited, so that runs may exist that
// this owner does not know.
func (c *Cell) awaitingWorkers() bool { return len(c.earlyStarts.awaited) > 0 }

// mayStartEarly reports whether a run may be started before its record is
// durable.
func (c *Cell) mayStartEarly(r *run) bool {
	t := r.task
	spec := t.step.spec
	if !c.earlyStarts.enabled || spec.Gang || spec.LongRunning || !c.earlyStarts.allowed[r.worker.id] {
		return false
	}
	if t.mayHaveCrashedWorkers() {
		return false // the count has to survive this owner
	}
	return t.numberRevision <= t.step.job.durable
}

// skipRunNumber skips a run number that a predecessor may have used for an early
// start. A task with crashes gets none, and a skipped number would count as its start
// after the last crash.
func (c *Cell) skipRunNumber(t *task) {
	if spec := t.step.spec; spec.Gang || spec.LongRunning || t.phase == phaseDone || t.mayHaveCrashedWorkers() {
		return
	}
	t.lastRun++
	c.recordChanged(t.step.job)
	t.numberRevision = t.step.job.revision
}

// stopAwaiting records that a worker is no longer awaited: its runs are known from
// its report, or have ended because its lease has expired.
func (c *Cell) stopAwaiting(id WorkerID) {
	if !c.earlyStarts.awaited[id] {
		return
	}
	delete(c.earlyStarts.awaited, id)
	if w, known := c.workers[id]; known {
		c.capacityFreed(w)
	}
	c.placementPending = true
	if !c.awaitingWorkers() {
		c.markAllSteps()
		c.log.Info("all early starts of predecessors are known", zap.Int("Unrecorded", len(c.earlyStarts.unrecorded)))
	}
}

// tickEarlyStarts stops awaiting the workers whose lease has certainly expired.
func (c *Cell) tickEarlyStarts(now time.Time) {
	for _, id := range sortedKeys(c.earlyStarts.awaited) {
		if now.Sub(c.ownedSince) > c.inheritedWait() {
			c.stopAwaiting(id)
		}
	}
}

// createStartedOccurrences creates the occurrences whose tasks a report lists. A
// predecessor whose clock was ahead may have started them early before they are due here.
func (c *Cell) createStartedOccurrences(now time.Time, report *Report) {
	create := func(id workload.TaskID) {
		j, known := c.jobs[id.Job]
		if !known || j.state.Final() || id.Occurrence >= j.job.Occurrences() {
			return
		}
		for len(j.occurrences) <= id.Occurrence {
			c.createOccurrence(now, j, len(j.occurrences))
		}
	}
	for i := range report.Running {
		create(report.Running[i].Task)
	}
	for i := range report.Ended {
		create(report.Ended[i].Task)
	}
}

// noteUnrecorded records an unknown run from the report of a worker that is
// awaited. A predecessor may have started it early.
func (c *Cell) noteUnrecorded(w *worker, e *Running) {
	t := c.task(e.Task)
	if t == nil || t.phase == phaseDone || t.step.spec.Gang || t.step.spec.LongRunning || t.step.job.state.Final() {
		return
	}
	if c.unrecordedRunOf(w, e) == nil {
		c.earlyStarts.unrecorded[e.Task] = &unrecordedRun{worker: w, reported: *e}
	}
}

// unrecordedRunOf returns the unrecorded run that an entry of a worker's report
// is about, or nil.
func (c *Cell) unrecordedRunOf(w *worker, e *Running) *unrecordedRun {
	u, known := c.earlyStarts.unrecorded[e.Task]
	if !known || u.worker != w || u.reported.Run != e.Run {
		return nil
	}
	return u
}

// dropUnrecorded removes the unrecorded runs of a worker that its report does
// not list.
func (c *Cell) dropUnrecorded(w *worker, listed map[workload.TaskID]int) {
	for id, u := range c.earlyStarts.unrecorded {
		if number, there := listed[id]; u.worker == w && (!there || number != u.reported.Run) {
			delete(c.earlyStarts.unrecorded, id)
			c.placementPending = true
			if t := c.task(id); t != nil {
				c.markStep(t.step)
			}
		}
	}
}

// resolveUnrecorded adopts the unrecorded runs whose tasks wait for a run. Once
// no worker is awaited, the other unrecorded runs are stopped; their tasks wait
// until these runs have ended.
func (c *Cell) resolveUnrecorded(now time.Time) {
	for _, u := range c.sortedUnrecorded() {
		id := u.reported.Task
		t := c.task(id)
		if t == nil {
			delete(c.earlyStarts.unrecorded, id)
			continue
		}
		if t.current != nil && t.current.phase == runInherited && t.current.number < u.reported.Run {
			// The unrecorded run is later than the recorded one, which has
			// therefore ended.
			c.release(now, t.current, EndStopped)
		}
		switch {
		case t.phase == phaseWaiting && t.step.ready && !t.step.job.state.Final() && !u.stopping:
			c.adopt(now, t, u)
			delete(c.earlyStarts.unrecorded, id)
		case !c.awaitingWorkers() && !u.stopping:
			u.stopping = true
			c.emit(SendStop{Worker: u.worker.id, Task: id, Run: u.reported.Run})
		}
	}
}

// sortedUnrecorded returns the unrecorded runs in a fixed order, so that the
// cell is deterministic.
func (c *Cell) sortedUnrecorded() []*unrecordedRun {
	return slices.SortedFunc(maps.Values(c.earlyStarts.unrecorded), func(a, b *unrecordedRun) int {
		return strings.Compare(a.reported.Task.String(), b.reported.Task.String())
	})
}

// adopt makes an unrecorded run the current run of its task.
func (c *Cell) adopt(now time.Time, t *task, u *unrecordedRun) {
	step := t.step
	r := &run{
		task: t, number: u.reported.Run, worker: u.worker, incarnation: u.worker.incarnation, phase: runStarted, startedClock: u.worker.clock,
		progressAt: now, pace: inheritedPace(step.spec), percent: u.reported.Percent, progressKnown: true,
	}
	t.lastRun = max(t.lastRun, r.number)
	t.phase = phaseActive
	t.setCurrent(r)
	step.waiting--
	if step.waiting == 0 {
		c.closeStep(step)
	}
	u.worker.runs.add(r)
	need := step.spec.Reserved()
	u.worker.reserved = u.worker.reserved.Add(need)
	u.worker.unknownReserved = u.worker.unknownReserved.Sub(need)
	c.adoptCharge(r)
	c.recordChanged(step.job)
	c.markStarted(step.job)
	r.revision = step.job.revision
	t.numberRevision = r.revision
	c.log.Info("adopted a run that a predecessor started early", runFields(r)...)
}
