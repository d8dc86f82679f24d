package cell

import (
	"slices"
	"time"
)

// agenda holds the open steps in the order in which they get room, and says at which
// of them the next decisions look. A step that has found no worker is left
// alone until something changes that can help it, so that a decision costs no more
// while many steps wait.
type agenda struct {
	// all holds the open steps.
	all stepList
	// next holds the steps that the next decisions look at.
	next stepList
	// short holds the steps for which no worker is left to start on or to ask about.
	short stepList
	// freed holds the workers that may have got room since the last decision.
	freed []*worker
	// alarms holds when steps are due to be looked at, the earliest first.
	alarms []alarm
	// swept is the key of the last step that a sweep has come to.
	swept stepKey
	// decision counts the decisions.
	decision uint64
	// stale is set while the ranks may have changed with the manifest.
	stale bool
}

// alarm is a time at which the rank of a step changes, or what may be done for it.
type alarm struct {
	at   time.Time
	step *stepState
}

const (
	// maxLooks is how many steps a decision looks at; the next one goes on.
	maxLooks = 40
	// maxOffers is how many steps of a kind a worker with new room is offered to.
	maxOffers = 30
	// sweepFirst and sweepOthers are how many steps are looked at in any case at each
	// tick: the first ones, and others in turn.
	sweepFirst  = 8
	sweepOthers = 24
	// justAfter makes an alarm of a time that has to be past.
	justAfter = 1 * time.Nanosecond
)

// openStep notes that a step has tasks to place.
func (c *Cell) openStep(now time.Time, s *stepState) {
	if !s.open {
		s.open = true
		s.key = stepKey{c.rank(now, s), s.id}
		c.open[s.id] = s
		c.agenda.all.add(s)
		for _, l := range c.wantedLists(s) {
			l.add(s)
		}
		c.setAlarms(now, s)
	}
	c.mark(s)
}

// closeStep notes that a step has no tasks to place.
func (c *Cell) closeStep(s *stepState) {
	if !s.open {
		return
	}
	for _, l := range c.listsOf(s) {
		l.remove(s)
	}
	s.open = false
	delete(c.open, s.id)
}

// wantedLists returns the lists of the workers that a step is allowed on.
func (c *Cell) wantedLists(s *stepState) []*stepList {
	var out []*stepList
	for _, id := range s.advice.order {
		if w, known := c.workers[id]; known {
			out = append(out, &w.wanted)
		}
	}
	return out
}

// listsOf returns the lists that may hold a step.
func (c *Cell) listsOf(s *stepState) []*stepList {
	return append(c.wantedLists(s), &c.agenda.all, &c.agenda.next, &c.urgentAsking.waiting, &c.longAsking.waiting, &c.agenda.short)
}

// mark has the next decision look at a step.
func (c *Cell) mark(s *stepState) {
	if s.open {
		c.agenda.next.add(s)
		c.reconsider = true
	}
}

// markAll has the next decisions look at all steps.
func (c *Cell) markAll() {
	for _, s := range c.agenda.all.steps {
		c.agenda.next.add(s)
	}
	c.reconsider = true
}

// rerank gives a step the place that its rank asks for now, and reports whether it
// is another one.
func (c *Cell) rerank(now time.Time, s *stepState) bool {
	key := stepKey{c.rank(now, s), s.id}
	if key.compare(s.key) == 0 {
		return false
	}
	lists := slices.DeleteFunc(c.listsOf(s), func(l *stepList) bool { return !l.remove(s) })
	s.key = key
	for _, l := range lists {
		l.add(s)
	}
	return true
}

// setAlarms notes when the rank of a step changes, and when it may preempt.
func (c *Cell) setAlarms(now time.Time, s *stepState) {
	q := c.queueOf(s.job)
	if q.Priority == 0 {
		c.setAlarm(now, s, s.readyAt.Add(preemptAfter))
	}
	if s.spec.LongRunning {
		c.setAlarm(now, s, s.readyAt.Add(longRunningWait+justAfter))
		return
	}
	c.setAlarm(now, s, s.begins().Add(expiredFactor*Objective(s.job.job, q)+justAfter))
}

// setAlarm has a step looked at when a time has come that is not past.
func (c *Cell) setAlarm(now time.Time, s *stepState, at time.Time) {
	if at.Before(now) {
		return
	}
	alarms := c.agenda.alarms
	i, _ := slices.BinarySearchFunc(alarms, at, func(a alarm, at time.Time) int { return a.at.Compare(at) })
	c.agenda.alarms = slices.Insert(alarms, i, alarm{at, s})
}

// wake marks the steps whose time has come.
func (c *Cell) wake(now time.Time) {
	due := 0
	for due < len(c.agenda.alarms) && !now.Before(c.agenda.alarms[due].at) {
		if s := c.agenda.alarms[due].step; s.open {
			c.rerank(now, s)
			c.agenda.next.add(s)
		}
		due++
	}
	c.agenda.alarms = slices.Delete(c.agenda.alarms, 0, due)
}

// refresh ranks all steps anew after a change of the manifest.
func (c *Cell) refresh(now time.Time) {
	if !c.agenda.stale {
		return
	}
	c.agenda.stale = false
	for _, s := range slices.Clone(c.agenda.all.steps) {
		if c.rerank(now, s) {
			c.setAlarms(now, s)
		}
	}
	c.markAll()
}

// sweep has some steps looked at whatever has changed, and notes the workers
// that have become usable since the last sweep.
func (c *Cell) sweep(now time.Time) {
	for _, w := range c.ordered {
		usable := c.usable(now, w)
		if usable && !w.wasUsable {
			c.gotRoom(w)
		}
		w.wasUsable = usable
	}
	all := &c.agenda.all
	if all.len() == 0 {
		return
	}
	for _, s := range all.first(sweepFirst) {
		c.mark(s)
	}
	at := all.find(c.agenda.swept)
	for range min(sweepOthers, all.len()) {
		at++
		if at >= all.len() {
			at = 0
		}
		c.mark(all.steps[at])
	}
	c.agenda.swept = all.steps[at].key
}
