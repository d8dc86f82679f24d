package cell

import (
	"time"

	"go.uber.org/zap"
)

const (
	// stallTimeout is how long a run may report the same progress. A run of two
	// minutes still moves by a percent in that time.
	stallTimeout = 1200 * time.Millisecond
	// stragglerFactor times the typical run time is when a run counts as a straggler,
	// and stragglerLeft times that when enough of it is left for a move to pay.
	stragglerFactor          = 4
	stragglerRemainingFactor = 2
	// stragglerSamples is the least number of finished runs that make a run time
	// typical.
	stragglerSamples = 2
	// stragglerAfter is how long a run works before its progress says anything.
	stragglerAfter = 500 * time.Millisecond
	// startupTimeout is how long a long-running task may take until it is at work.
	startupTimeout = 4 * time.Second
	// maxReschedules bounds how often a task is moved because its run stands still
	// or is a straggler, since some tasks are just like that.
	maxReschedules = 2
)

// updateProgress takes in a line about a run that is known.
func (c *Cell) updateProgress(now time.Time, r *run, e *Running) {
	c.markStarted(r.task.step.job)
	if r.phase != runStarted {
		c.dispatch.remove(r)
		r.phase = runStarted
		r.startedClock = r.worker.clock
	}
	if !r.seen || e.Percent != r.percent {
		r.progressAt = now
	}
	r.seen = true
	r.percent = e.Percent
	r.load = e.Load
	if e.Checkpoint != "" {
		r.task.checkpoint = e.Checkpoint
	}
	if !c.config.Policy.NoReschedule && c.stalled(now, r) {
		c.reschedule(now, r)
	}
}

// stalled reports whether a run should be given up for another one elsewhere:
// it stands still, or it is several times slower than the others of its step.
func (c *Cell) stalled(now time.Time, r *run) bool {
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

// fullPercent is the progress of a run that is done.
const fullPercent = 100

// typicalRunTime returns the mean run time of the tasks of a step that are done.
func (s *stepState) typicalRunTime() (time.Duration, bool) {
	if s.timedTasks < stragglerSamples {
		return 0, false
	}
	return s.runTime / time.Duration(s.timedTasks), true
}

// expectedRunTime returns how long a task of a step should run: as the others of the step
// did, or else by its estimate and how the queue's estimates proved.
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

// hasUsableEstimate reports whether the estimate of a step tells how long its tasks run.
// Far from their data, or from each other, tasks take several times as long.
func (s *stepState) hasUsableEstimate() bool {
	return s.spec.Estimate > 0 && s.spec.DataRack == "" && !s.spec.SameRack
}

// estimateStats is how the run times of a queue's tasks compare with their estimateStats.
type estimateStats struct {
	factor  float64
	samples int
}

const (
	// estimateSamples is the least number of runs that tell what estimates of a
	// queue are worth, and estimateWeight the weight of one more run.
	estimateSamples = 10
	estimateWeight  = 0.05
	// estimateMargin times its estimate is what a task may take at least, since
	// estimates are rough.
	estimateMargin = 1.5
)

// learnRunTime takes in how long a task ran that is done.
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

// elapsed returns how long ago the run was sent, and false for a run of an earlier
// owner.
func (r *run) elapsed(now time.Time) (time.Duration, bool) {
	if r.sentAt.IsZero() {
		return 0, false
	}
	return now.Sub(r.sentAt), true
}

// reschedule stops a run, so that its task is placed on another worker.
func (c *Cell) reschedule(now time.Time, r *run) {
	worked, _ := r.elapsed(now)
	c.log.Info("moving a run that makes too little progress", append(runFields(r),
		zap.Int("Percent", r.percent), zap.Duration("Since", now.Sub(r.progressAt)), zap.Duration("Worked", worked))...)
	r.task.reschedules++
	r.task.failedOn = r.worker.id
	r.worker.health.straggled(now)
	if typical, known := r.task.step.typicalRunTime(); known && r.percent > 0 && r.task.step.hasUsableEstimate() {
		r.worker.health.recordRunTime(now, worked.Seconds()*fullPercent/float64(r.percent)/typical.Seconds())
	}
	c.stop(now, r)
}
