package transfer

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// answer delivers a byte at an interval, from some time on, and ends when its call does.
type answer struct {
	ctx             context.Context
	first, interval time.Duration
	left            int
}

func (a *answer) Read(p []byte) (int, error) {
	wait := a.first
	a.first = a.interval
	if a.left == 0 {
		return 0, io.EOF
	}
	select {
	case <-a.ctx.Done():
		return 0, context.Cause(a.ctx)
	case <-time.After(wait):
		a.left--
		return copy(p, "x"), nil
	}
}

// A long answer that keeps arriving must not be given up, as the next call would begin it
// again, and a call without an answer must not wait for longer than its timeout.
func TestOnlyAnswersThatArriveOutlastTheTimeout(t *testing.T) {
	const timeout = time.Second
	for _, c := range []struct {
		name            string
		first, interval time.Duration
		parts           int
		// lasts is how long the call takes, and fails whether it is given up.
		lasts time.Duration
		fails bool
	}{
		{"no answer", time.Hour, 0, 1, timeout, true},
		{"short answer", 100 * time.Millisecond, 0, 1, 100 * time.Millisecond, false},
		{"long answer", 500 * time.Millisecond, 500 * time.Millisecond, 8, 4 * time.Second, false},
		{"answer that stalls", 900 * time.Millisecond, time.Hour, 2, 900*time.Millisecond + stallTimeout, true},
		{"endless answer", 500 * time.Millisecond, 500 * time.Millisecond, 1000, timeout + maxExtension, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now()
				ctx, cancel := WithTimeout(t.Context(), timeout)
				defer cancel()
				_, err := io.ReadAll(Reader(ctx, &answer{ctx, c.first, c.interval, c.parts}))
				if failed := errors.Is(err, context.DeadlineExceeded); failed != c.fails || !failed && err != nil {
					t.Errorf("the call returns %v", err)
				}
				if took := time.Since(begin); took < c.lasts || took > c.lasts+stallTimeout {
					t.Errorf("the call takes %v, want %v", took, c.lasts)
				}
			})
		})
	}
}

// The end of the process must end a call at once.
func TestParentEndsTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parent, end := context.WithCancel(t.Context())
		ctx, cancel := WithTimeout(parent, time.Hour)
		defer cancel()
		end()
		<-ctx.Done()
	})
}
