package standin

import (
	"context"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// Faults holds the fault switches that all stand-ins share. The zero value
// with a timer service set has every fault off.
type Faults struct {
	timers timer.Service

	mu            sync.Mutex
	down          bool
	refuse        bool
	silent        bool
	slow          time.Duration
	answersToLose int
}

// SetDown makes every call fail as not run, as if nothing listened.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetRefuse makes every call fail with the response that it did not run.
func (f *Faults) SetRefuse(refuse bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuse = refuse
}

// SetSilent makes every call remain without a response: it has no effect, and its
// outcome is unknown to the caller.
func (f *Faults) SetSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
}

// SetSlow delays every call, half before and half after it takes effect; 0 ends
// the delay.
func (f *Faults) SetSlow(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow = delay
}

// LoseAnswers loses the responses to the next n calls after they take effect.
func (f *Faults) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answersToLose = n
}

// beforeCall applies the faults that precede a call. It returns the delay that
// afterCall has to apply.
func (f *Faults) beforeCall(ctx context.Context, op string) (time.Duration, error) {
	f.mu.Lock()
	down, refuse, silent, half := f.down, f.refuse, f.silent, f.slow/2
	f.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		return 0, notRun(op, "the context ended before the call: %w", ctx.Err())
	case down:
		return 0, notRun(op, "the stand-in is down")
	case refuse:
		return 0, notRun(op, "the stand-in refuses calls")
	case silent:
		return 0, unknown(op, "the stand-in is silent")
	}
	if err := sleep(ctx, f.timers, half); err != nil {
		return 0, unknown(op, "no response in time: %w", err)
	}
	return half, nil
}

// afterCall applies the faults that follow a call that has taken effect.
func (f *Faults) afterCall(ctx context.Context, op string, delay time.Duration) error {
	if err := sleep(ctx, f.timers, delay); err != nil {
		return unknown(op, "no response in time: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answersToLose > 0 {
		f.answersToLose--
		return unknown(op, "the response was lost")
	}
	return nil
}

// withFaults runs a call between beforeCall and afterCall.
func withFaults[T any](ctx context.Context, f *Faults, op string, call func() (T, error)) (T, error) {
	var none T
	delay, err := f.beforeCall(ctx, op)
	if err != nil {
		return none, err
	}
	v, failed := call()
	if err := f.afterCall(ctx, op, delay); err != nil {
		return none, err
	}
	return v, failed
}
