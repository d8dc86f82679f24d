package owner

import (
	"time"

	"go.uber.org/zap"
)

// load counts what the duty did since it was last shown.
type load struct {
	events    int
	decisions int
	// working is the time spent in rounds of the duty, longest that of the
	// longest round.
	working time.Duration
	longest time.Duration
	begunAt time.Time
}

// begin notes that a round of the duty begins.
func (l *load) begin(now time.Time) { l.begunAt = now }

// end notes that a round of the duty has ended.
func (l *load) end(now time.Time) {
	took := now.Sub(l.begunAt)
	l.decisions++
	l.working += took
	l.longest = max(l.longest, took)
}

// showLoad shows what the owner did in the last second, and what waits.
func (o *Owner) showLoad(now time.Time) {
	backlog := o.cell.Backlog(now)
	waiting, longest := o.orders.shown()
	o.meters.backlog(backlog)
	o.meters.load(o.load, o.events.Len(), waiting)
	o.log.Info("load of the owner",
		zap.Int("Events", o.load.events), zap.Int("Decisions", o.load.decisions),
		zap.Duration("Working", o.load.working), zap.Duration("LongestRound", o.load.longest),
		zap.Int("EventsWaiting", o.events.Len()),
		zap.Int("OrdersWaiting", waiting), zap.Duration("LongestOrderWait", longest),
		zap.Int("StartsInLine", backlog.DispatchQueueLen), zap.Duration("LineWait", backlog.DispatchQueueWait), zap.Int("StartsOut", o.startsOut),
		zap.Int("RecordsWaiting", backlog.Records), zap.Int("Jobs", backlog.Jobs),
		zap.Int("StepsWaiting", backlog.Steps), zap.Int("TasksWaiting", backlog.Tasks),
		zap.Int("Questions", backlog.Questions), zap.Int("Workers", backlog.Workers), zap.Int64("FreeMilliCores", backlog.FreeMilliCores))
	o.load = load{begunAt: o.load.begunAt}
}
