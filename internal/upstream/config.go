package upstream

import "time"

// Config holds the limits and durations of a group.
type Config struct {
	// Queue is the largest number of requests of one priority that may wait
	// for a slot.
	Queue int
	// CallerQueue is the largest number of them that may be of one caller.
	CallerQueue int
	// MaxRun is the longest time that an instance works on a request after
	// receiving it, whatever deadline the request carries.
	MaxRun time.Duration
	// MaxSendTime is the longest time that a request takes to reach an instance.
	// A request that its sender has abandoned may still arrive within it.
	MaxSendTime time.Duration
	// Margin is added to the time after which a lost request counts as
	// delivered or dropped.
	Margin time.Duration
	// RetryAfter and MaxRetryAfter bound the wait that a refused caller is
	// told.
	RetryAfter, MaxRetryAfter time.Duration
	// EjectAfter is the number of consecutive failures that ejects an instance.
	EjectAfter int
	// EjectFor is how long an instance gets no requests after its first
	// ejection. It doubles with each further ejection, up to MaxEjectFor.
	EjectFor, MaxEjectFor time.Duration
	// EjectFloor is the share of the usable instances that must stay in
	// service; no instance is ejected if fewer would be left.
	EjectFloor float64
	// ReconcilePause is how long an instance with lost requests gets no new
	// ones, so that its status tells how many lost requests still run.
	ReconcilePause time.Duration
	// ReconcileInterval is the time between two such pauses of an instance.
	ReconcileInterval time.Duration
}

// DefaultConfig returns the configuration for groups of eight instances.
func DefaultConfig() Config {
	return Config{
		Queue:             2048,
		CallerQueue:       1024,
		MaxRun:            60 * time.Second,
		MaxSendTime:       2 * time.Second,
		Margin:            200 * time.Millisecond,
		RetryAfter:        time.Second,
		MaxRetryAfter:     10 * time.Second,
		EjectAfter:        5,
		EjectFor:          5 * time.Second,
		MaxEjectFor:       time.Minute,
		EjectFloor:        0.5,
		ReconcilePause:    time.Second,
		ReconcileInterval: 5 * time.Second,
	}
}
