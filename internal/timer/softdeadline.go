package timer

import (
	"context"
	"time"
)

type softDeadlineKey struct{}

// softDeadline is a context with a soft deadline. It is its own value of the key.
type softDeadline struct {
	context.Context
	due time.Time
}

// Value implements context.Context.
func (c *softDeadline) Value(key any) any {
	if key == (softDeadlineKey{}) {
		return c
	}
	return c.Context.Value(key)
}

// WithSoftDeadline returns a context that tells when a call is due to end, but does not
// end then: its owner cancels it.
func WithSoftDeadline(ctx context.Context, due time.Time) context.Context {
	return &softDeadline{Context: ctx, due: due}
}

// SoftDeadline returns when a call is due to end: the earlier of the deadline of its
// context and the soft deadline. It returns false if there is neither.
func SoftDeadline(ctx context.Context) (time.Time, bool) {
	deadline, ok := ctx.Deadline()
	soft, isSoft := ctx.Value(softDeadlineKey{}).(*softDeadline)
	if isSoft && (!ok || soft.due.Before(deadline)) {
		return soft.due, true
	}
	return deadline, ok
}
