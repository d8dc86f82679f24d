package intake

import "github.com/uber-go/tally/v4"

type metrics struct {
	// tombstones counts the tombstones that were written, and tombstonesRefused the cancels
	// that were refused because there were too many.
	tombstones        tally.Counter
	tombstonesRefused tally.Counter
	// cancelledBefore counts the submissions that found a tombstone.
	cancelledBefore tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		tombstones: scope.Counter("cancel_tombstones"), tombstonesRefused: scope.Counter("cancel_tombstones_refused"),
		cancelledBefore: scope.Counter("jobs_cancelled_before"),
	}
}
