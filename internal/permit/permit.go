// Package permit carries a check in the context of a call. The client that makes the
// call runs it after it has obtained a connection, right before it sends the first
// byte, so that a call which waited for a connection, or whose process was paused, is
// not sent once it is not permitted any more.
package permit

import "context"

// Check returns an error if a call must not be sent now.
type Check func() error

type key struct{}

// With returns a context whose calls are sent only if the check allows it.
func With(ctx context.Context, check Check) context.Context {
	return context.WithValue(ctx, key{}, check)
}

// Verify runs the check of a context, if there is one.
func Verify(ctx context.Context) error {
	if check, ok := ctx.Value(key{}).(Check); ok {
		return check()
	}
	return nil
}
