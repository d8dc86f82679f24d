// Package ring provides a bounded queue that connects two event loops.
package ring

import "context"

// Ring is a bounded FIFO queue between goroutines. Producers that can handle a
// full ring use Offer; producers that can block use Put.
type Ring[T any] struct {
	c chan T
}

// New returns a ring that holds at most size values.
func New[T any](size int) *Ring[T] { return &Ring[T]{c: make(chan T, size)} }

// Offer adds a value and returns true, or returns false if the ring is full.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.c <- v:
		return true
	default:
		return false
	}
}

// Put adds a value and blocks while the ring is full. It returns the error of
// the context if the context ends first.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.c <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// C returns the channel from which the consumer receives the values.
func (r *Ring[T]) C() <-chan T { return r.c }

// Len returns the number of queued values.
func (r *Ring[T]) Len() int { return len(r.c) }

// Cap returns the maximum number of queued values.
func (r *Ring[T]) Cap() int { return cap(r.c) }
