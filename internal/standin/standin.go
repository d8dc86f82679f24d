// Package standin replaces the platform in tests and trials. It has a small,
// in-memory table service, object store, host list, workers and upstreams, all
// with settings to inject failures. It is not a cluster simulator. Its Journal
// logs what really ran (it is not that of package journal), and its Audit checks
// the invariants of the scheduler on it.
package standin

import (
	"context"
	"fmt"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// notRun returns the error of a call that had no effect.
func notRun(op, format string, args ...any) error {
	return fault.New(op, platform.KindNotRun, format, args...)
}

// unknown returns the error of a call that may have taken effect.
func unknown(op, format string, args ...any) error {
	return fault.New(op, platform.KindUnknown, format, args...)
}

// invalid returns the error of a malformed argument.
func invalid(op, format string, args ...any) error {
	return fault.New(op, platform.KindInvalid, format, args...)
}

// sleep waits for a duration of the timer service. It returns the context's error
// if the context ends first.
func sleep(ctx context.Context, timers timer.Service, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	sub := timers.After(d)
	defer sub.Stop()
	select {
	case <-sub.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait %v: %w", d, ctx.Err())
	}
}
