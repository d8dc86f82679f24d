package lease

import "time"

// Config holds the durations of the lease protocol. All entry hosts of a data
// centre must use the same.
type Config struct {
	// HostTTL is how long a HostRow lasts without a renewal.
	HostTTL time.Duration
	// RenewEvery is the period of renewals and of reading the lease rows.
	RenewEvery time.Duration
	// PromiseFor is how long a promise lasts.
	PromiseFor time.Duration
	// Margin covers the drift between two monotonic clocks over HostTTL.
	Margin time.Duration
	// MaxExtension is the longest that promises may extend a lease past its last
	// renewal.
	MaxExtension time.Duration
	// LapseGrace is how long a lapsed peer keeps getting promises from a peer
	// that itself reaches the table service and could take over.
	LapseGrace time.Duration
	// RebalanceDelay is how long a host must be live before units move to it.
	RebalanceDelay time.Duration
}

// DefaultConfig returns the durations for a data centre of one millisecond's
// latency.
func DefaultConfig() Config {
	return Config{
		HostTTL:        4 * time.Second,
		RenewEvery:     1 * time.Second,
		PromiseFor:     3 * time.Second,
		Margin:         200 * time.Millisecond,
		MaxExtension:   2 * time.Hour,
		LapseGrace:     10 * time.Second,
		RebalanceDelay: 10 * time.Second,
	}
}
