package cell

import (
	"time"

	"go.uber.org/zap"
)

const (
	// stallTimeout is how long a run may report unchanged progress. Even a run
	// of two minutes advances by one percent in that time.
	stallTimeout = 1200 * time.Millisecond
	// A run is a straggler if its projected run time exceeds stragglerFactor
	// times the typical one. It is rescheduled only if its projected remaining
	// time exceeds stragglerRemainingFactor times the typical run time, so that
	// rescheduling pays.
	stragglerFactor          = 4
	stragglerRemainingFactor = 2
	// stragglerSamples is the minimum number of finished runs for a typical run
	// time.
	stragglerSamples = 2
	// stragglerAfter is how long a run must have worked before its progress is
	// meaningful.
	stragglerAfter = 500 * time.Millisecond
	// startupTimeout is how long a long-running task may take to start up.
	startupTimeout = 4 * time.Second
	// maxReschedules limits how often a task is rescheduled because its run
	// stalls or is a straggler, since some tasks are inherently slow.
	maxReschedules = 2
)

// updateProgress handles the report of a known run.
func (c *Cell) updateProgress(now time.Time, r *run, e *Running) {
	c.markStarted(r.task.step.job)
	if r.phase != runStarted {
		c.dispatch.remove(r)
		c.markAccepted(r)
		r.startedClock = r.worker.clock
	}
	if !r.progressKnown || e.Percent != r.percent {
		r.progressAt = now
	}
	if r.firstReportAt.IsZero() {
		r.firstReportAt = now
	}
	if r.incarnation != 0 && r.incarnation < r.worker.incarnation {
		r.incarnation = r.worker.incarnation // it was placed before the restart was known
		c.recordChanged(r.task.step.job)
	}
	r.progressKnown = true
	r.percent = e.Percent
	r.load = e.Load
	if e.Checkpoint != "" {
		r.task.checkpoint = e.Checkpoint
	}
	c.forgetCrashes(now, r)
	if worked, _ := r.elapsed(now); r.worker.isolated == r && worked > isolationTime {
		c.endIsolation(r.worker)
	}
	if !c.config.Policy.NoReschedule && c.stalled(now, r) {
		c.reschedule(now, r)
	}
}

// stalled reports whether a run should be rescheduled to another worker: it
// makes no progress, or it is several times slower than the other runs of its
// step. A run after which its task may not be started again is left alone: to stop
// it would give the job up, and its end may show that the task crashes no worker.
func (c *Cell) stalled(now time.Time, r *run) bool {
	if !r.task.mayStartAgain() {
		return false
	}
	step := r.task.step
	spec := step.spec
	if spec.LongRunning && !spec.Gang && !r.stopping {
		worked, timed := r.elapsed(now)
		return timed && r.percent < fullPercent && worked > startupTimeout && now.Sub(r.progressAt) >= stallTimeout
	}
	if spec.LongRunning || spec.Gang || spec.BestEffort || r.stopping || r.task.reschedules >= maxReschedules {
		return false
	}
	if now.Sub(r.progressAt) >= stallTimeout {
		return true
	}
	typical, known := step.typicalRunTime()
	if !known && r.worker.health.currentSlowness(now) > slowThreshold {
		typical, known = c.expectedRunTime(step)
	}
	worked, timed := r.elapsed(now)
	if !known || !timed || worked < stragglerAfter || r.percent == 0 {
		return false
	}
	projected := worked * fullPercent / time.Duration(r.percent)
	return projected > stragglerFactor*typical && projected-worked > stragglerRemainingFactor*typical
}

// fullPercent is the progress of a run that is done, or that has started up if its
// task is long-running.
const fullPercent = 100

// typicalRunTime returns the mean run time of the done tasks of a step.
func (s *stepState) typicalRunTime() (time.Duration, bool) {
	if s.timedTasks < stragglerSamples {
		return 0, false
	}
	return s.runTime / time.Duration(s.timedTasks), true
}

// expectedRunTime returns how long a task of a step should run: the typical run
// time of the step if known, and otherwise its estimate, corrected by how the
// queue's earlier estimates compared with the run times.
func (c *Cell) expectedRunTime(s *stepState) (time.Duration, bool) {
	if typical, known := s.typicalRunTime(); known {
		return typical, true
	}
	e, known := c.estimates[s.job.job.Queue]
	if !known || e.samples < estimateSamples || !s.hasUsableEstimate() {
		return 0, false
	}
	return time.Duration(float64(s.spec.Estimate) * e.factor * estimateMargin), true
}

// hasUsableEstimate reports whether the estimate of a step predicts its run
// time. Tasks far from their data or from each other take several times as
// long.
func (s *stepState) hasUsableEstimate() bool {
	return s.spec.Estimate > 0 && s.spec.DataRack == "" && !s.spec.SameRack
}

// estimateStats is how the run times of a queue's tasks compare with their
// estimates.
type estimateStats struct {
	factor  float64
	samples int
}

const (
	// estimateSamples is the minimum number of runs before the factor of a
	// queue is used, and estimateWeight is the weight of a new run in it.
	estimateSamples = 10
	estimateWeight  = 0.05
	// estimateMargin is the factor by which a run may exceed its corrected
	// estimate, since estimates are rough.
	estimateMargin = 1.5
)

// learnRunTime records the run time of a done task.
func (c *Cell) learnRunTime(now time.Time, r *run, took time.Duration) {
	s := r.task.step
	if !s.hasUsableEstimate() || !r.fresh {
		return
	}
	if expected, known := c.expectedRunTime(s); known {
		r.worker.health.recordRunTime(now, took.Seconds()/expected.Seconds())
	}
	queue := s.job.job.Queue
	e, known := c.estimates[queue]
	seen := took.Seconds() / s.spec.Estimate.Seconds()
	if !known {
		e = &estimateStats{factor: seen}
		c.estimates[queue] = e
	}
	e.samples++
	e.factor += estimateWeight * (seen - e.factor)
}

// elapsed returns how long ago the run was sent, and false for a run of a
// predecessor.
func (r *run) elapsed(now time.Time) (time.Duration, bool) {
	if r.sentAt.IsZero() {
		return 0, false
	}
	return now.Sub(r.sentAt), true
}

// reschedule stops a run, so that its task is placed on another worker.
func (c *Cell) reschedule(now time.Time, r *run) {
	worked, _ := r.elapsed(now)
	c.log.Info("rescheduling a run that makes too little progress", append(runFields(r),
		zap.Int("Percent", r.percent), zap.Duration("Since", now.Sub(r.progressAt)), zap.Duration("Worked", worked))...)
	r.task.reschedules++
	r.task.avoidWorker = r.worker.id
	r.worker.health.straggled(now)
	if typical, known := r.task.step.typicalRunTime(); known && r.percent > 0 && r.task.step.hasUsableEstimate() {
		r.worker.health.recordRunTime(now, worked.Seconds()*fullPercent/float64(r.percent)/typical.Seconds())
	}
	c.stop(now, r)
}
