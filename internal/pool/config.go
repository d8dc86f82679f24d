package pool

import "time"

// Config holds the durations and bounds of a pool.
type Config struct {
	// TaskLease is how long a worker may run an attempt without a renewal.
	TaskLease time.Duration
	// GangWindow is the time within which all members of a gang start.
	// GangLease is the first lease of a member, until all of them run.
	GangWindow time.Duration
	GangLease  time.Duration
	// ReportEvery is the period of the reports and renewals of a worker that
	// runs something.
	ReportEvery time.Duration
	// IdleReportEvery is the period of the reports of an idle worker.
	IdleReportEvery time.Duration
	// ClockDriftMargin allows for the clock drift over one TaskLease.
	ClockDriftMargin time.Duration
	// RenewGrace is how long an owner that has lost its authority still renews
	// the leases of what runs, and how long its successor allows for such
	// renewals.
	RenewGrace time.Duration
	// RetryBackoff is the wait before the second attempt of a failed task. It
	// doubles with each further attempt up to MaxRetryBackoff.
	RetryBackoff    time.Duration
	MaxRetryBackoff time.Duration
	// Policy selects how workers are chosen. It is empty except in comparisons
	// of policies.
	Policy Policy
	// Headroom is the share of the total capacity that normal batch work and
	// gangs leave free for services and urgent work.
	Headroom float64
	// ClaimTimeout is how long stopped batch work may take to free capacity for
	// an urgent task before another worker is tried. Zero disables preemption.
	ClaimTimeout time.Duration
	// ReclaimAfter is how long work within its team's guarantee waits before
	// borrowed capacity is reclaimed for it. Zero disables reclaiming.
	ReclaimAfter time.Duration
	// ReserveAfter is how long a gang waits before capacity is reserved for it.
	// The reservation expires ReservationTimeout after the time at which all of
	// that capacity should be free. Zero disables reservations.
	ReserveAfter       time.Duration
	ReservationTimeout time.Duration
	// ProbeAfter is the wait before a quarantined worker is probed for the
	// first time. It doubles with each probe that fails. Zero disables
	// quarantine.
	ProbeAfter time.Duration
	// MaxQuarantinedShare bounds the share of the workers in quarantine.
	MaxQuarantinedShare float64
	// StopPollEvery is the period of the reports of a worker that is stopping a
	// preempted task.
	StopPollEvery time.Duration
	// MaxOpenTasks bounds the number of tasks of all open jobs.
	MaxOpenTasks int
	// MaxPlacementsPerPass bounds the placements of one call of Schedule.
	MaxPlacementsPerPass int
	// MaxCancelsPerPass bounds the jobs passed to CancelAll that one call of
	// Schedule cancels.
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
