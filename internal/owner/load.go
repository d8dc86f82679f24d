package owner

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// activity is a kind of work of the event loop. The values are labels of metrics.
type activity string

const (
	// activityReports handles what hold calls returned.
	activityReports activity = "reports"
	// activityOrders handles the outcomes of starts, stops and changes of pace.
	activityOrders activity = "orders"
	// activityRows handles changed rows of the store and accepted jobs.
	activityRows activity = "rows"
	// activityAdvice handles the answers of the advice service.
	activityAdvice activity = "advice"
	// activityTick is the periodic work.
	activityTick activity = "tick"
	// activityDecisions decides what is placed and sent, and starts the calls.
	activityDecisions activity = "decisions"
	// activityCommits encodes records and handles the outcomes of commits.
	activityCommits activity = "commits"
	// activityHolds selects the workers that are due for a hold call.
	activityHolds activity = "holds"
	// activityOther handles queries, manifests and changes of ownership.
	activityOther activity = "other"
)

// activityOf returns the kind of work that an event causes.
func activityOf(e event) activity {
	switch e.(type) {
	case reported, reportReceived, lateReport, holdFailed:
		return activityReports
	case startReturned, stopReturned, paceReturned, maintained:
		return activityOrders
	case rowsChanged, jobAccepted, jobCancelled:
		return activityRows
	case advised:
		return activityAdvice
	case committed:
		return activityCommits
	}
	return activityOther
}

// load is the work of the event loop since the last report.
type load struct {
	events    int
	decisions int
	// busy is the time spent in iterations of the event loop, and longest that of
	// the longest iteration.
	busy    time.Duration
	longest time.Duration
	start   time.Time
	// spent has the part of busy that each kind of work took. markedAt is until when
	// it is known.
	spent    map[activity]time.Duration
	markedAt time.Time
}

// begin records the start of an iteration of the event loop.
func (l *load) begin(now time.Time) { l.start, l.markedAt = now, now }

// mark attributes the time since the last mark of the iteration to a kind of work.
func (l *load) mark(now time.Time, a activity) {
	if l.spent == nil {
		l.spent = make(map[activity]time.Duration)
	}
	l.spent[a] += now.Sub(l.markedAt)
	l.markedAt = now
}

// end records the end of an iteration of the event loop.
func (l *load) end(now time.Time) {
	took := now.Sub(l.start)
	l.decisions++
	l.busy += took
	l.longest = max(l.longest, took)
}

// MarshalLogObject writes the time that each kind of work took.
func (l *load) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	for a, took := range l.spent {
		enc.AddDuration(string(a), took)
	}
	return nil
}

// markLoad attributes the time since the last mark to a kind of work.
func (o *Owner) markLoad(a activity) { o.load.mark(o.timers.Now(), a) }

// reportLoad writes the load since the last report and the backlog to the metrics
// and the log.
func (o *Owner) reportLoad(now time.Time) {
	backlog := o.cell.Backlog(now)
	waiting, longest := o.orders.stats()
	processor := o.processor.sample()
	o.metrics.backlog(backlog)
	o.metrics.accounts.update(o.cell.Accounts(now))
	o.metrics.load(o.load, o.events.Len(), waiting)
	o.metrics.processor(processor)
	o.log.Info("load and backlog of the owner",
		zap.Int("Events", o.load.events), zap.Int("Decisions", o.load.decisions),
		zap.Duration("Working", o.load.busy), zap.Duration("LongestRound", o.load.longest), zap.Object("WorkingOn", &o.load),
		zap.Duration("ProcessorTime", processor.used), zap.Duration("GarbageCollection", processor.collecting),
		zap.Duration("RunQueueDelay", processor.queueDelay),
		zap.Int("EventsWaiting", o.events.Len()),
		zap.Int("OrdersWaiting", waiting), zap.Duration("LongestOrderWait", longest),
		zap.Int("StartsQueued", backlog.DispatchQueueLen), zap.Duration("StartQueueWait", backlog.DispatchQueueWait), zap.Int("StartsOut", o.starts.inFlight), zap.Int("StartsOverdue", o.starts.overdue), zap.Int("StartLimit", o.startLimiter.limit),
		zap.Int("RecordsWaiting", backlog.Records), zap.Int("Jobs", backlog.Jobs),
		zap.Int("StepsWaiting", backlog.Steps), zap.Int("TasksWaiting", backlog.Tasks),
		zap.Int("Questions", backlog.Questions), zap.Int("Workers", backlog.Workers), zap.Int64("FreeMilliCores", backlog.FreeMilliCores))
	o.reportCalls(now)
	o.load = load{start: o.load.start, markedAt: o.load.markedAt}
}
