package owner

import (
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

const (
	// eventQueueSize is the capacity of the event queue.
	eventQueueSize = 8192
	// tickInterval is the interval of the cell's ticks.
	tickInterval = 100 * time.Millisecond
	// reportInterval is the interval at which load and backlog are reported.
	reportInterval = time.Second
	// maxStartsPerDecision limits the starts that are sent in one iteration of the event
	// loop, so that the answers to hold calls are handled between them.
	maxStartsPerDecision = 16
	// maxEventsPerDecision limits the queued events that are applied before the
	// cell decides.
	maxEventsPerDecision = 256
	// maxApplyTime is how long queued events are applied before the cell decides: hold
	// calls that are due renew leases, and an owner that decides nothing for long has to
	// be replaced.
	maxApplyTime = 100 * time.Millisecond
)

func (o *Owner) run() {
	tick := o.timers.Every(tickInterval)
	defer tick.Stop()
	o.decide()
	for {
		select {
		case <-o.ctx.Done():
			o.endHoldLoops()
			o.calls.Wait()
			return
		case e := <-o.committer.outcomes:
			o.load.begin(o.timers.Now())
			e.apply(o, o.timers.Now())
			o.markLoad(activityCommits)
			o.load.events++
		case e := <-o.reports.C():
			o.load.begin(o.timers.Now())
			o.applyOutcome()
			o.applyReport(e, o.timers.Now())
			o.load.events += 1 + o.applyQueued()
		case e := <-o.events.C():
			o.load.begin(o.timers.Now())
			o.applyOutcome()
			o.load.events += 1 + o.applyReports()
			o.applyEvent(e, o.timers.Now())
			o.load.events += o.applyQueued()
		case <-o.moreStarts:
			o.load.begin(o.timers.Now())
			o.applyOutcome()
			o.load.events += o.applyQueued()
		case due := <-tick.C:
			delay := o.timers.Now().Sub(due)
			o.tickLimits(delay)
			o.delay.Observe(o.timers.Now(), delay)
			o.load.begin(o.timers.Now())
			o.tick(o.timers.Now())
			o.markLoad(activityTick)
		}
		o.decide()
		o.load.end(o.timers.Now())
	}
}

// tick performs periodic work.
func (o *Owner) tick(now time.Time) {
	o.endIfIsolated()
	o.endIfNotReleased(now)
	if o.recovery.active {
		return
	}
	o.reportDelay(now)
	o.cell.SetAdviceHosts(o.advice.hosts())
	o.cell.Tick(now)
	o.decideAdmission(now)
	if !now.Before(o.reportAt) {
		o.reportAt = now.Add(reportInterval)
		o.reportLoad(now)
		o.forgetWorkers()
		o.expire(now)
		o.deleteTombstones(now)
	}
}

// applyOutcome applies the outcome of a commit, if there is one. It does not wait
// behind the queued events, so that the next commit can begin.
func (o *Owner) applyOutcome() {
	select {
	case e := <-o.committer.outcomes:
		e.apply(o, o.timers.Now())
		o.load.events++
	default:
	}
	o.markLoad(activityCommits)
}

// applyQueued applies events that are queued already, reports first, at most
// maxEventsPerDecision and for maxApplyTime, and returns their number.
func (o *Owner) applyQueued() int {
	begin := o.timers.Now()
	n := o.applyReports()
	for n < maxEventsPerDecision && o.timers.Now().Sub(begin) < maxApplyTime {
		select {
		case e := <-o.events.C():
			o.applyEvent(e, o.timers.Now())
			n += 1 + o.applyReports()
		default:
			return n
		}
	}
	return n
}

// applyReports applies the reports that are queued already, at most
// maxEventsPerDecision, and returns their number.
func (o *Owner) applyReports() int {
	now := o.timers.Now()
	for n := range maxEventsPerDecision {
		select {
		case e := <-o.reports.C():
			o.applyReport(e, now)
		default:
			return n
		}
	}
	return maxEventsPerDecision
}

// reportDelay tells the cell how late the event loop has handled reports. A lease is
// over after a longer delay in any case.
func (o *Owner) reportDelay(now time.Time) {
	o.cell.SetDelay(min(o.delay.Recent(now), o.config.Cell.Lease))
}

// applyReport applies the result of a hold call, and records how long it has waited.
func (o *Owner) applyReport(e queuedEvent, now time.Time) {
	o.delay.Observe(now, now.Sub(e.at))
	o.applyEvent(e, now)
}

func (o *Owner) applyEvent(e queuedEvent, now time.Time) {
	o.applyOrDefer(e.event, now)
	o.markLoad(activityOf(e.event))
}

// decide makes hold calls, performs the actions that the cell requests and commits
// records. Hold calls go first, as they renew leases. While the store is being read,
// or when the owner releases the cell, it only commits.
func (o *Owner) decide() {
	// A suspension after this reading of the clock is noted, or extends no lease.
	now := o.timers.Now()
	o.noteActivity(now)
	if o.release.requested || o.recovery.active {
		o.commit(now)
		return
	}
	o.reportDelay(now)
	o.cell.SetConfirmedAt(now.Add(-o.sinceConfirmed()))
	o.startHoldCalls(now)
	o.markLoad(activityHolds)
	o.performActions(now)
	o.markLoad(activityDecisions)
	o.commit(now)
	o.markLoad(activityCommits)
}

// performActions performs the actions that the cell requests, with a limited number of
// starts. If more may be sent, the event loop continues with them after the events that
// are queued by then.
func (o *Owner) performActions(now time.Time) {
	limit := o.limitStarts()
	starts := 0
	for _, a := range o.cell.TakeActions(now) {
		if _, is := a.(cell.SendStart); is {
			starts++
		}
		o.perform(a)
	}
	if starts < limit || limit < maxStartsPerDecision {
		return
	}
	select {
	case o.moreStarts <- struct{}{}:
	default:
	}
}

// put enqueues an event for the event loop, and blocks while the queue is full.
func (o *Owner) put(e event) {
	queue := o.events
	switch e.(type) {
	case reported, holdFailed, reportReceived, lateReport:
		queue = o.reports
	}
	if err := queue.Put(o.ctx, queuedEvent{e, o.timers.Now()}); err != nil {
		o.log.Debug("event dropped, the owner is ending", zap.Error(err))
	}
}
