package timer

import (
	"context"
	"runtime"
	"testing"
	"time"
)

// A soft deadline must be found through further contexts, and must neither hide the end
// of its parent nor need a goroutine to pass it on.
func TestSoftDeadlineIsFoundThroughFurtherContexts(t *testing.T) {
	if _, ok := SoftDeadline(t.Context()); ok {
		t.Error("a context without a deadline has one")
	}
	due := time.Now().Add(time.Hour)
	parent, cancel := context.WithCancel(t.Context())
	defer cancel()
	goroutines := runtime.NumGoroutine()
	soft := WithSoftDeadline(parent, due)
	later, cancelLater := context.WithDeadline(soft, due.Add(time.Minute))
	defer cancelLater()
	if n := runtime.NumGoroutine(); n > goroutines {
		t.Errorf("%d more goroutines", n-goroutines)
	}
	earlier, cancelEarlier := context.WithDeadline(soft, due.Add(-time.Minute))
	defer cancelEarlier()
	for name, c := range map[string]struct {
		ctx  context.Context
		want time.Time
	}{"soft": {soft, due}, "later": {later, due}, "earlier": {earlier, due.Add(-time.Minute)}} {
		if got, ok := SoftDeadline(c.ctx); !ok || !got.Equal(c.want) {
			t.Errorf("%s: %v, %v; want %v", name, got, ok, c.want)
		}
	}
	if _, ok := soft.Deadline(); ok || soft.Err() != nil {
		t.Error("the context has a deadline or has ended")
	}
	cancel()
	if soft.Err() == nil || later.Err() == nil {
		t.Error("the contexts do not end with their parent")
	}
}
