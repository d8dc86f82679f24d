package cell

import "time"

type runPhase uint8

const (
	// runPlanned runs wait for their record to become durable, or in the
	// dispatch queue.
	runPlanned runPhase = iota
	// runSent runs have a start in flight.
	runSent
	// runStarted runs were accepted by the worker.
	runStarted
	// runUncertain runs may be on the worker now or later, since their start
	// was not answered.
	runUncertain
	// runInherited runs were recorded by a predecessor.
	runInherited
)

// String returns the name of the phase for the log.
func (p runPhase) String() string {
	switch p {
	case runPlanned:
		return "Planned"
	case runSent:
		return "Sent"
	case runStarted:
		return "Started"
	case runUncertain:
		return "Uncertain"
	case runInherited:
		return "Inherited"
	}
	return "Unknown"
}

type run struct {
	task   *task
	number int
	worker *worker
	// incarnation is that of the worker when the run was placed; 0 if unknown.
	incarnation Incarnation
	phase       runPhase
	// acceptedOnRecord is set if a predecessor recorded that the worker had
	// accepted the start.
	acceptedOnRecord bool
	// unsent is set until the start is sent.
	unsent bool
	// queued is set while the start is in the dispatch queue, and early if it
	// need not wait for its record.
	queued   bool
	queuedAt time.Time
	early    bool
	// class is that of the step when the run was planned.
	class startClass
	// sentBeforeRestart is set when the worker began a new incarnation while
	// the start was in flight.
	sentBeforeRestart bool
	// restartCrash is what to count unless the later incarnation accepts or refuses
	// the start; nil if the end of the earlier one was no crash.
	restartCrash *Crash
	// sentUnlisted is set if the worker was unlistedSinceReport when the start was
	// sent.
	sentUnlisted bool
	// revision is the revision of the record that names the run.
	revision uint64
	ticket   string
	// deadline is the lease deadline sent with the start, on the worker's
	// clock.
	deadline time.Duration
	// startedClock is the worker's clock when it accepted the start.
	startedClock time.Duration
	plannedAt    time.Time
	sentAt       time.Time
	// stopping is set once the run is to end. stopAnswered is set once the
	// worker has answered a stop, at stoppedClock on its clock.
	stopping     bool
	stopSentAt   time.Time
	stopAnswered bool
	// preempted is set when the run is stopped to free capacity for others.
	preempted    bool
	stoppedClock time.Duration

	// percent is the progress last reported, and progressAt when it changed. A
	// long-running task reports less than 100 until it has started up.
	percent    int
	progressAt time.Time
	// fresh runs began without a checkpoint.
	fresh         bool
	progressKnown bool
	// firstReportAt is when a report first showed the run to this owner.
	firstReportAt time.Time
	pace          int
	// load is Running.Load as last reported: a latency in milliseconds or a CPU
	// use in millicores, depending on the task.
	load float64
	// inWindow is the progress at the begin of the last window of its worker.
	inWindow windowStart
}
