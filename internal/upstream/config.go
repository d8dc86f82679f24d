package upstream

import "time"

// Config bounds a group.
type Config struct {
	// Queue is how many requests of one priority may wait for a slot.
	Queue int
	// CallerQueue is how many of them may be of one caller.
	CallerQueue int
	// MaxRun is the longest that an instance works on a request after it has
	// received it, whatever deadline the request carries.
	MaxRun time.Duration
	// MaxSendTime is the longest that a request takes to reach an instance. A
	// request that its sender gave up may still arrive until then.
	MaxSendTime time.Duration
	// Margin is added to every bound on the work of an instance.
	Margin time.Duration
	// RetryAfter is what a refused caller is told to wait at least, and
	// MaxRetryAfter at most.
	RetryAfter, MaxRetryAfter time.Duration
	// EjectAfter is the number of failures in a row that ejects an instance.
	EjectAfter int
	// EjectFor is how long an instance that was ejected once gets nothing. It
	// doubles with each further ejection, up to MaxEjectFor.
	EjectFor, MaxEjectFor time.Duration
	// EjectFloor is the share of the instances that is never ejected.
	EjectFloor float64
	// ReconcilePause is how long an instance with lost requests gets nothing new,
	// so that its status tells how many of them still run.
	ReconcilePause time.Duration
	// ReconcileInterval is the period at which that is tried again.
	ReconcileInterval time.Duration
}

// DefaultConfig returns the bounds for groups of eight instances.
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
