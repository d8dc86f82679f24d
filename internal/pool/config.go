package pool

import "time"

// Config holds the durations and bounds of a pool.
type Config struct {
	// TaskLease is how long a worker may run an attempt without a renewal.
	TaskLease time.Duration
	// GangWindow is the time within which all members of a gang start; GangLease
	// is the first lease of a member, until all of them run.
	GangWindow time.Duration
	GangLease  time.Duration
	// ReportEvery is the period of renewals to a worker that runs something.
	ReportEvery time.Duration
	// IdleReportEvery is the period of reports from an idle worker.
	IdleReportEvery time.Duration
	// ClockDriftMargin covers clock drift over one TaskLease.
	ClockDriftMargin time.Duration
	// RenewGrace is how long an owner without authority still renews what
	// runs, and how long its successor reckons with that.
	RenewGrace time.Duration
	// RetryBackoff is the wait before a failed task's second attempt; it doubles
	// with each further one up to RetryAtMost.
	RetryBackoff    time.Duration
	MaxRetryBackoff time.Duration
	// Policy chooses workers; it is empty but for comparisons.
	Policy Policy
	// Headroom is the share of all room that normal batch work and gangs leave
	// to services and urgent work.
	Headroom float64
	// ClaimTimeout is how long stopped batch work may take to make room for an
	// urgent task before another worker is tried; 0 turns preemption off.
	ClaimTimeout time.Duration
	// ReclaimAfter is how long work within the guarantee of its team waits
	// before borrowed room is taken back for it; 0 turns that off.
	ReclaimAfter time.Duration
	// ReserveAfter is how long a gang waits before room is held for it, until
	// ReserveFor after the time at which all of it should be free; 0 turns
	// reservations off.
	ReserveAfter       time.Duration
	ReservationTimeout time.Duration
	// ProbeAfter is the first wait before a quarantined worker is probed; it
	// doubles with each probe that fails. 0 turns quarantine off.
	ProbeAfter time.Duration
	// MaxQuarantinedShare bounds the share of the workers in quarantine.
	MaxQuarantinedShare float64
	// StopPollEvery is the period of reports from a worker that stops a
	// preempted task.
	StopPollEvery time.Duration
	// MaxOpenTasks bounds the tasks of open jobs.
	MaxOpenTasks int
	// MaxPlacementsPerPass bounds the placements of one call of Schedule.
	MaxPlacementsPerPass int
	// MaxCancelsPerPass bounds the jobs of a wave that one call of Schedule
	// cancels.
	MaxCancelsPerPass int
}

// DefaultConfig returns the durations and bounds for the design size.
func DefaultConfig() Config {
	return Config{
		TaskLease:            15 * time.Second,
		GangWindow:           5 * time.Second,
		GangLease:            2 * time.Second,
		ReportEvery:          5 * time.Second,
		IdleReportEvery:      60 * time.Second,
		ClockDriftMargin:     200 * time.Millisecond,
		RenewGrace:           time.Hour,
		RetryBackoff:         500 * time.Millisecond,
		MaxRetryBackoff:      30 * time.Second,
		Headroom:             0.01,
		ClaimTimeout:         2 * time.Second,
		ReclaimAfter:         2 * time.Second,
		ReserveAfter:         5 * time.Second,
		ReservationTimeout:   10 * time.Second,
		ProbeAfter:           30 * time.Second,
		MaxQuarantinedShare:  0.1,
		StopPollEvery:        200 * time.Millisecond,
		MaxOpenTasks:         100_000,
		MaxPlacementsPerPass: 256,

		MaxCancelsPerPass: 500,
	}
}
