package cell

import (
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/account"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// The functions below keep the use of the accounts in step with the runs.

// chargePlanned counts a run that has been placed.
func chargePlanned(r *run) {
	r.task.step.job.member.Plan(r.task.step.spec.Size)
	r.unsent = true
}

// chargeSent records that the start of a run is sent, or that its worker has it.
func chargeSent(r *run) {
	if r.unsent {
		r.unsent = false
		r.task.step.job.member.Sent(r.task.step.spec.Size)
	}
}

// discharge removes a run that has certainly ended from the use of its account.
func (c *Cell) discharge(r *run) {
	chargeSent(r)
	if m := r.task.step.job.member; m != nil {
		m.Remove(r.task.step.spec.Size)
		c.useFell(m)
	}
}

// exceedsCap reports whether a planned run no longer fits under the cap of its account,
// beside what has been sent. A gang fits only as a whole.
func (c *Cell) exceedsCap(r *run) bool {
	s := r.task.step
	m := s.job.member
	if !m.Limited() {
		return false
	}
	unsent := int64(1)
	if s.spec.Gang {
		unsent = 0
		for _, t := range s.tasks {
			if t.current != nil && t.current.unsent {
				unsent++
			}
		}
	}
	if m.MaySend(s.spec.Size.Times(unsent)) {
		return false
	}
	c.log.Info("giving up a start that no longer fits under the cap of its account", append(runFields(r), zap.String("Account", m.Name()),
		zap.Any("Use", m.Use()), zap.Any("Cap", m.Terms().Cap), zap.Uint64("Manifest", c.manifestVersion()))...)
	return true
}

// unknownUse is what the unknown runs of known jobs on a worker hold of their accounts.
// A task may be listed once.
type unknownUse map[workload.TaskID]unknownCharge

type unknownCharge struct {
	member *account.Member
	size   job.Size
}

// chargeUnknown counts an unknown run on a worker.
func (w *worker) chargeUnknown(id workload.TaskID, j *jobState) {
	if j.member == nil {
		return
	}
	if _, counted := w.unknownUse[id]; counted {
		return
	}
	if w.unknownUse == nil {
		w.unknownUse = make(unknownUse)
	}
	size := j.job.Steps[id.Step].Size
	w.unknownUse[id] = unknownCharge{j.member, size}
	j.member.Add(size)
}

// dischargeUnknown removes what unknown runs hold of their accounts.
func (c *Cell) dischargeUnknown(runs unknownUse) {
	for _, held := range runs {
		held.member.Remove(held.size)
		c.useFell(held.member)
	}
}

// adoptCharge counts an unknown run on a worker as a run.
func (c *Cell) adoptCharge(r *run) {
	m := r.task.step.job.member
	m.Add(r.task.step.spec.Size)
	if held, counted := r.worker.unknownUse[r.task.id]; counted {
		delete(r.worker.unknownUse, r.task.id)
		held.member.Remove(held.size)
	}
}

// tickUnknownUse stops counting the unknown runs of a worker once they have certainly
// ended.
func (c *Cell) tickUnknownUse(now time.Time, w *worker) {
	if len(w.unknownUse) == 0 && len(w.unsizedTasks) == 0 {
		return
	}
	if c.leaseExpired(now, w) || c.superseded(now, w) {
		c.forgetUnknownUse(w)
	}
}

func (c *Cell) forgetUnknownUse(w *worker) {
	runs := w.unknownUse
	w.unknownUse = nil
	c.dischargeUnknown(runs)
	c.setUnsizedTasks(w, nil)
}

// setUnsizedTasks sets the tasks of unknown jobs that a worker reports.
func (c *Cell) setUnsizedTasks(w *worker, tasks []workload.TaskID) {
	if len(w.unsizedTasks) > 0 {
		c.workersWithUnsized--
	}
	w.unsizedTasks = tasks
	if len(w.unsizedTasks) > 0 {
		c.workersWithUnsized++
	}
}

// chargeUnsized counts the runs that workers have reported of a job before it was known.
func (c *Cell) chargeUnsized(j *jobState) {
	if j.member == nil || c.workersWithUnsized == 0 {
		return
	}
	for _, w := range c.sortedWorkers {
		for _, id := range w.unsizedTasks {
			if id.Job == j.job.ID && id.Step < len(j.job.Steps) {
				w.chargeUnknown(id, j)
			}
		}
	}
}

// addWorkersWithUnknownUse adds the workers to a set that have unknown runs of accounts.
// The owner's row names them, so that a successor knows of these runs.
func (c *Cell) addWorkersWithUnknownUse(named map[WorkerID]bool) {
	for _, w := range c.sortedWorkers {
		if len(w.unknownUse) > 0 {
			named[w.id] = true
		}
	}
}

// inheritEnded counts the runs of an ended job that its record names, until their
// workers have reported. They were stopped when the job ended. The other runs of ended
// jobs are stopped as unknown runs, which do not count before they are reported.
func (c *Cell) inheritEnded(now time.Time, j *jobState, rec Record) {
	if j.member == nil {
		return
	}
	for k := range min(len(rec.Occurrences), j.job.Occurrences()) {
		if k == len(j.occurrences) {
			c.createOccurrence(now, j, k)
		}
		for i := range min(len(rec.Occurrences[k]), len(j.occurrences[k])) {
			s := j.occurrences[k][i]
			for n, t := range rec.Occurrences[k][i].Tasks[:min(len(rec.Occurrences[k][i].Tasks), len(s.tasks))] {
				if t.Worker == "" {
					continue
				}
				// What happened to the worker since then is not known, so its end is no crash.
				t.Machine, t.Incarnation = "", 0
				c.inherit(s.tasks[n], t)
				c.stop(now, s.tasks[n].current)
			}
		}
	}
}
