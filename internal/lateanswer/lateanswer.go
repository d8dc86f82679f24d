// Package lateanswer carries a function in the context of a call. It takes an answer that
// arrives after the call has given up waiting, so that the answer of a server that was late,
// or that waited to be read by this process, is not lost.
package lateanswer

import "context"

type key[T any] struct{}

// With returns a context whose calls pass a late answer to a function. The function is
// called in a goroutine of its own, at most once for each call, and may block.
func With[T any](ctx context.Context, take func(T)) context.Context {
	return context.WithValue(ctx, key[T]{}, take)
}

// From returns the function that takes a late answer, or nil if the context has none.
func From[T any](ctx context.Context) func(T) {
	take, _ := ctx.Value(key[T]{}).(func(T))
	return take
}
