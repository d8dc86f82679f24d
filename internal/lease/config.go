package lease

import "time"

// Config holds the durations of the lease protocol. All entry hosts of a data
// centre must use the same values.
type Config struct {
	// HostTTL is how long a HostRow is valid without a renewal.
	HostTTL time.Duration
	// RenewEvery is the period at which a host renews its HostRow and reads the
	// lease rows.
	RenewEvery time.Duration
	// PromiseFor is how long a promise is valid.
	PromiseFor time.Duration
	// Margin covers the drift between the monotonic clocks of two hosts over
	// HostTTL.
	Margin time.Duration
	// MaxExtension bounds how long promises may extend a lease past its last
	// renewal.
	MaxExtension time.Duration
	// LapseGrace is how long after its row has lapsed a host still gets promises
	// from a peer that reaches the table service and could take over.
	LapseGrace time.Duration
	// RebalanceDelay is how long a host must be live before other live hosts
	// release units to it.
	RebalanceDelay time.Duration
}

// DefaultConfig returns the durations for a data centre with a network latency of
// one millisecond.
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
