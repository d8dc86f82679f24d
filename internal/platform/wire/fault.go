package wire

import (
	"fmt"
	"time"
)

// Fault changes the faults that are injected into one stand-in. An absent field
// leaves its setting unchanged.
type Fault struct {
	// Target is "Table", "Objects", "Hosts", "Links", or the name of a worker
	// or an upstream.
	Target string

	// These fields apply to every target except Links.
	Down        *bool
	Refuse      *bool
	Silent      *bool
	Slow        *string
	LoseAnswers *int

	// Lag applies to Hosts.
	Lag *string

	// Leaving applies to workers and upstreams; FailStarts, Frozen and
	// Restart to workers; Fail, Stalled and Cut to upstreams.
	Leaving    *bool
	FailStarts *bool
	Frozen     *bool
	Restart    *bool
	Fail       *bool
	Stalled    *bool
	Cut        *string

	// These fields apply to Links. To is a data centre or "platform". An
	// empty Loss restores the link.
	From *string
	To   *string
	Loss *string
}

// ParseOptionalDuration parses a duration, which must not be negative. It returns
// 0 if s is nil.
func ParseOptionalDuration(op, field string, s *string) (time.Duration, error) {
	if s == nil {
		return 0, nil
	}
	d, err := parseDuration(field, *s)
	if err != nil {
		return 0, invalid(op, "%w", err)
	}
	if d < 0 {
		return 0, invalid(op, "%w", fmt.Errorf("%s is %v, which is negative", field, d))
	}
	return d, nil
}
