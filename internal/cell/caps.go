package cell

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/account"
	"cicadabarrow.example/cicadabarrow/internal/job"
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
	return s.waiting > 0 && m.Limited() && !m.Fits(s.capNeed())
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
// need not be evaluated: there is no room under the cap, no question of the step may have
// timed out, and none of its tasks may have to fail its job.
func (c *Cell) holdBack(s *stepState) bool {
	if !s.blockedByCap() || !s.advice.askedAt.IsZero() || slices.ContainsFunc(s.tasks, (*task).mayHaveCrashedWorkers) {
		return false
	}
	c.urgentQuestions.waiting.remove(s)
	c.longQuestions.waiting.remove(s)
	c.evalQueue.unplaceable.remove(s)
	c.waitForCap(s)
	return true
}

// firstUnblocked returns the first steps of a list, at most n, that are not blocked by a
// cap. It examines at most maxCapOffers of them.
func (c *Cell) firstUnblocked(l *stepList, n int) []*stepState {
	if c.books.Unused() {
		return l.first(n)
	}
	var out []*stepState
	for _, s := range l.first(maxCapOffers) {
		if len(out) == n {
			break
		}
		if s.blockedByCap() {
			c.waitForCap(s)
			continue
		}
		out = append(out, s)
	}
	return out
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
		// The waiting tasks may have been completed by unknown runs.
		if s.evaluatedIn == c.evalQueue.round || s.waiting == 0 || s.blockedByCap() {
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
