// Package transfer gives a call a timeout that a long answer outlasts while parts of it
// arrive. With a fixed timeout, hosts that share a full link would all give up their
// calls and begin them again, and none of them would ever get a long answer.
package transfer

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// stallTimeout is how long no part of an answer may arrive after the timeout.
	stallTimeout = 700 * time.Millisecond
	// maxExtension bounds how much longer than its timeout a call may take.
	maxExtension = 10 * time.Second
)

// transfer is the progress of the answer to one call.
type transfer struct {
	cancel context.CancelCauseFunc
	// end is when the call may take no longer.
	end time.Time

	mu    sync.Mutex
	timer *time.Timer
	// received is when a part of the answer arrived last; zero before the first one.
	received time.Time
	done     bool
}

type key struct{}

// WithTimeout returns a context that is cancelled with context.DeadlineExceeded as its
// cause after the timeout, unless the answer arrives by then and does not stall. The
// caller calls cancel when the call has returned.
func WithTimeout(parent context.Context, timeout time.Duration) (ctx context.Context, cancel context.CancelFunc) {
	t := &transfer{end: time.Now().Add(timeout + maxExtension)}
	ctx, t.cancel = context.WithCancelCause(context.WithValue(parent, key{}, t))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, t.expire)
	return ctx, t.finish
}

// finish releases the resources of the call.
func (t *transfer) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.done = true
	t.timer.Stop()
	t.cancel(context.Canceled)
}

// expire ends the call if its answer does not arrive, or waits on.
func (t *transfer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done {
		return
	}
	now := time.Now()
	next := t.received.Add(stallTimeout)
	if t.received.IsZero() || !next.After(now) || now.After(t.end) {
		t.cancel(context.DeadlineExceeded)
		return
	}
	t.timer = time.AfterFunc(next.Sub(now), t.expire)
}

// Reader returns a reader of the answer to the call of a context.
func Reader(ctx context.Context, r io.Reader) io.Reader {
	if t, ok := ctx.Value(key{}).(*transfer); ok {
		return &reader{r, t}
	}
	return r
}

type reader struct {
	io.Reader
	transfer *transfer
}

// Read notes when it returns a part of the answer.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.transfer.mu.Lock()
		r.transfer.received = time.Now()
		r.transfer.mu.Unlock()
	}
	return n, err
}
