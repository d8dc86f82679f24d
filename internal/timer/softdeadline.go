package timer

import (
	"context"
	"time"
)

type softDeadlineKey struct{}

// WithSoftDeadline returns a context that tells when a call is due to end, but does not
// end then: its owner cancels it.
func WithSoftDeadline(ctx context.Context, due time.Time) context.Context {
	return context.WithValue(ctx, softDeadlineKey{}, due)
}

// SoftDeadline returns when a call is due to end: the earlier of the deadline of its
// context and the soft deadline. It returns false if there is neither.
func SoftDeadline(ctx context.Context) (time.Time, bool) {
	deadline, ok := ctx.Deadline()
	soft, isSoft := ctx.Value(softDeadlineKey{}).(time.Time)
	if isSoft && (!ok || soft.Before(deadline)) {
		return soft, true
	}
	return deadline, ok
}
