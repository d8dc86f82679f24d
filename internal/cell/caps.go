package cell

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/account"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// The cap of an account limits what its jobs have running on all workers together. The
// books count a run from when it is placed until it has certainly ended; they also count
// the unknown runs that workers report. All runs count with Step.Size.
//
// A new owner knows what counts from the records of its predecessor, which name every
// run that was sent, and from the workers named in the predecessor's row, which may have
// runs that no record names.

// capWaits has the steps of one account that wait until its cap leaves room for them.
type capWaits struct {
	steps stepList
	// offerPending is set while the room under the cap waits to be offered.
	offerPending bool
}

const (
	// maxCapOffers is how many steps that wait for a cap are examined when there is more
	// room under it.
	maxCapOffers = 256
	// capLogInterval is how often the accounts with steps that wait for their cap are
	// logged, one line each, at most maxCapLines of them.
	capLogInterval = 10 * time.Second
	maxCapLines    = 20
)

// capNeed returns what is placed at a time: a task, or all waiting tasks of a gang.
func (s *stepState) capNeed() job.Size {
	if s.spec.Gang {
		return s.spec.Size.Times(int64(s.waiting))
	}
	return s.spec.Size
}

// blockedByCap reports whether the cap of its account leaves no room for a task of a
// step, or for its gang.
func (s *stepState) blockedByCap() bool {
	m := s.job.member
	return m.Limited() && !m.Fits(s.capNeed())
}

// withinCap returns how many of the waiting tasks of a step fit under its cap, beside
// what is in use and something else.
func (s *stepState) withinCap(beside job.Size) int {
	m := s.job.member
	switch {
	case !m.Limited():
		return s.waiting
	case s.spec.Gang:
		if m.Room(s.capNeed(), beside) == 0 {
			return 0
		}
		return s.waiting
	}
	return int(min(m.Room(s.spec.Size, beside), int64(s.waiting)))
}

// awaitsOthers reports whether a step may not be placed while runs may exist that this
// owner does not know. Gangs and long-running tasks never start early, so that only the
// cap of their account may keep them waiting.
func (c *Cell) awaitsOthers(now time.Time, s *stepState) bool {
	limited := s.job.member.Limited()
	if c.awaitingWorkers() && (limited || !s.spec.Gang && !s.spec.LongRunning) {
		return true
	}
	if limited && c.mayHaveJobsOfPredecessor(now) {
		c.awaitsJobs = true
		return true
	}
	return false
}

// tickAwaitedJobs has the steps evaluated that waited for the jobs of a predecessor to
// become known.
func (c *Cell) tickAwaitedJobs(now time.Time) {
	if c.awaitsJobs && !c.mayHaveJobsOfPredecessor(now) {
		c.awaitsJobs = false
		c.markAllSteps()
	}
}

// mayHaveJobsOfPredecessor reports whether a worker runs tasks of jobs that this owner
// may learn of later: a predecessor may have accepted and started them shortly before
// it learned that it was replaced.
func (c *Cell) mayHaveJobsOfPredecessor(now time.Time) bool {
	return c.workersWithUnsized > 0 && now.Sub(c.ownedSince) <= c.inheritedWait()
}

// waitForCap records that a step waits for the cap of its account.
func (c *Cell) waitForCap(s *stepState) {
	name := s.job.member.Name()
	waits, known := c.capWaits[name]
	if !known {
		waits = new(capWaits)
		c.capWaits[name] = waits
	}
	waits.steps.add(s)
}

// holdBack records that a step waits for the cap of its account, and reports whether it
// need not be evaluated: there is no room under the cap, and no task of the step may have
// to fail its job.
func (c *Cell) holdBack(s *stepState) bool {
	if !s.blockedByCap() || slices.ContainsFunc(s.tasks, (*task).mayHaveCrashedWorkers) {
		return false
	}
	c.urgentQuestions.waiting.remove(s)
	c.longQuestions.waiting.remove(s)
	c.evalQueue.unplaceable.remove(s)
	c.waitForCap(s)
	return true
}

// logCapWaits logs the accounts with steps that wait for their cap.
func (c *Cell) logCapWaits(now time.Time) {
	if len(c.capWaits) == 0 || now.Sub(c.capWaitsLoggedAt) < capLogInterval {
		return
	}
	c.capWaitsLoggedAt = now
	lines := 0
	for _, name := range sortedKeys(c.capWaits) {
		waits := c.capWaits[name]
		if waits.steps.len() == 0 {
			delete(c.capWaits, name)
			continue
		}
		if lines++; lines > maxCapLines {
			continue
		}
		s := waits.steps.steps[0]
		c.log.Info("steps wait for the cap of their account", zap.String("Account", name), zap.Int("Steps", waits.steps.len()),
			zap.String("Job", string(s.id.Job)), zap.Stringer("Step", s.id), zap.Int("Waiting", s.waiting), zap.Any("Need", s.capNeed()),
			zap.Any("Use", s.job.member.Use()), zap.Any("Cap", s.job.member.Terms().Cap), zap.Uint64("Manifest", c.manifestVersion()))
	}
}

// manifestVersion returns the version of the manifest, or 0 without one.
func (c *Cell) manifestVersion() uint64 {
	if c.manifest == nil {
		return 0
	}
	return c.manifest.Version
}

// stopWaitingForCap removes a step from those that wait for a cap.
func (c *Cell) stopWaitingForCap(s *stepState) {
	if waits := c.capWaitsOf(s); waits != nil {
		waits.steps.remove(s)
	}
}

// capWaitsOf returns what waits for the cap of a step's account, or nil.
func (c *Cell) capWaitsOf(s *stepState) *capWaits {
	if s.job.member == nil {
		return nil
	}
	return c.capWaits[s.job.member.Name()]
}

// useFell records that an account has less in use, so that steps may fit under its cap.
func (c *Cell) useFell(m *account.Member) {
	waits := c.capWaits[m.Name()]
	if waits == nil || waits.steps.len() == 0 {
		return
	}
	if !waits.offerPending {
		waits.offerPending = true
		c.evalQueue.freedAccounts = append(c.evalQueue.freedAccounts, waits)
	}
	c.placementPending = true
}

// offerFreedAccounts marks the steps that fit under the cap of accounts whose use has
// fallen. An account remains freed if a step was passed over, and is offered again.
func (c *Cell) offerFreedAccounts() {
	remaining := c.evalQueue.freedAccounts[:0]
	for _, waits := range c.evalQueue.freedAccounts {
		waits.offerPending = c.offerCapRoom(waits)
		if waits.offerPending {
			remaining = append(remaining, waits)
		}
	}
	c.evalQueue.freedAccounts = remaining
}

// offerCapRoom marks the steps of an account for evaluation, in rank order, until the
// room under its cap is claimed. It reports whether it passed over a step that would fit
// if the steps before it did not use their room.
func (c *Cell) offerCapRoom(waits *capWaits) (passedOver bool) {
	var claimed job.Size
	for _, s := range waits.steps.first(maxCapOffers) {
		if s.evaluatedIn == c.evalQueue.round || s.blockedByCap() {
			continue
		}
		tasks := s.withinCap(claimed)
		if tasks == 0 {
			passedOver = true
			continue
		}
		c.evalQueue.pending.add(s)
		claimed = claimed.Add(s.spec.Size.Times(int64(tasks)))
	}
	return passedOver
}

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

// joinAccount makes a job a member of its account, and counts the runs that workers have
// reported of it before.
func (c *Cell) joinAccount(j *jobState) {
	j.member = c.books.Join(j.account)
	j.arrival = c.arrivalOf(j)
	c.chargeUnsized(j)
}

// waitingWithinCaps calls visit with each open step, in rank order, and with how many of
// its waiting tasks fit under the cap of their account. The others wait for no capacity.
func (c *Cell) waitingWithinCaps(visit func(s *stepState, tasks int)) {
	claimed := make(map[string]job.Size)
	for _, s := range c.evalQueue.all.steps {
		tasks := s.waiting
		if m := s.job.member; m.Limited() {
			tasks = s.withinCap(claimed[m.Name()])
			claimed[m.Name()] = claimed[m.Name()].Add(s.spec.Size.Times(int64(tasks)))
		}
		visit(s, tasks)
	}
}
