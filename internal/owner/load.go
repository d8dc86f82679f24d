package owner

import (
	"time"

	"go.uber.org/zap"
)

// load is the work of the event loop since the last report.
type load struct {
	events    int
	decisions int
	// busy is the time spent in iterations of the event loop, and longest that of
	// the longest iteration.
	busy    time.Duration
	longest time.Duration
	start   time.Time
}

// begin records the start of an iteration of the event loop.
func (l *load) begin(now time.Time) { l.start = now }

// end records the end of an iteration of the event loop.
func (l *load) end(now time.Time) {
	took := now.Sub(l.start)
	l.decisions++
	l.busy += took
	l.longest = max(l.longest, took)
}

// reportLoad writes the load since the last report and the backlog to the metrics
// and the log.
func (o *Owner) reportLoad(now time.Time) {
	backlog := o.cell.Backlog(now)
	waiting, longest := o.orders.stats()
	o.metrics.backlog(backlog)
	o.metrics.load(o.load, o.events.Len(), waiting)
	o.log.Info("load and backlog of the owner",
		zap.Int("Events", o.load.events), zap.Int("Decisions", o.load.decisions),
		zap.Duration("Working", o.load.busy), zap.Duration("LongestRound", o.load.longest),
		zap.Int("EventsWaiting", o.events.Len()),
		zap.Int("OrdersWaiting", waiting), zap.Duration("LongestOrderWait", longest),
		zap.Int("StartsInLine", backlog.DispatchQueueLen), zap.Duration("LineWait", backlog.DispatchQueueWait), zap.Int("StartsOut", o.starts.inFlight), zap.Int("StartsOverdue", o.starts.overdue), zap.Int("StartLimit", o.startLimiter.limit),
		zap.Int("RecordsWaiting", backlog.Records), zap.Int("Jobs", backlog.Jobs),
		zap.Int("StepsWaiting", backlog.Steps), zap.Int("TasksWaiting", backlog.Tasks),
		zap.Int("Questions", backlog.Questions), zap.Int("Workers", backlog.Workers), zap.Int64("FreeMilliCores", backlog.FreeMilliCores))
	o.reportCalls(now)
	o.load = load{start: o.load.start}
}
