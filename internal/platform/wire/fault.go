package wire

import (
	"fmt"
	"time"
)

// Fault sets fault switches of one stand-in. A field that is absent leaves its
// switch as it is.
type Fault struct {
	// Target is "Table", "Objects", "Hosts", "Links", or the name of a worker
	// or an upstream.
	Target string

	// These apply to every target but Links.
	Down        *bool
	Refuse      *bool
	Silent      *bool
	Slow        *string
	LoseAnswers *int

	// Lag applies to Hosts.
	Lag *string

	// Leaving applies to workers and upstreams, the next three to workers,
	// the rest to upstreams.
	Leaving    *bool
	FailStarts *bool
	Frozen     *bool
	Restart    *bool
	Fail       *bool
	Stalled    *bool
	Cut        *string

	// These apply to Links. To is a data centre or "platform"; an empty Loss
	// heals the link.
	From *string
	To   *string
	Loss *string
}

// ParseOptionalDuration reads a duration that is not negative; 0 if there is none.
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
