package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// A poll must not time out while no worker at all answers, since this host is the cause
// then, unless that lasts.
func TestPollsOutlastTheSilenceOfAllWorkers(t *testing.T) {
	const wait = time.Second
	for _, c := range []struct {
		name  string
		polls int
		// answers is the interval at which another worker answers, if it is set.
		answers time.Duration
		// lasts is how long the polls are in flight before they time out.
		lasts time.Duration
	}{
		{"all workers silent", minSilentPolls, 0, wait + holdMargin + maxSilence},
		{"a few workers", minSilentPolls - 1, 0, wait + holdMargin},
		{"another worker answers", minSilentPolls, answerOverdue / 2, wait + holdMargin},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				clock := newCallClock(timer.NewSystem())
				go clock.run(ctx)
				polls := make([]context.Context, c.polls)
				for i := range polls {
					polls[i], _ = clock.beginPoll(ctx, wait, holdMargin)
				}
				if c.answers > 0 {
					go answerEvery(ctx, clock, c.answers)
				}
				begun := time.Now()
				for _, poll := range polls {
					<-poll.Done()
					if lasted := time.Since(begun); lasted < c.lasts || lasted > c.lasts+2*probeInterval {
						t.Errorf("a poll timed out after %v, want %v", lasted, c.lasts)
					}
				}
			})
		})
	}
}

// answerEvery makes calls that are answered at an interval, until ctx is done.
func answerEvery(ctx context.Context, clock *callClock, interval time.Duration) {
	for ctx.Err() == nil {
		_, call := clock.begin(ctx, orderTimeout)
		_ = sleep(ctx, interval)
		call.end()
	}
}
