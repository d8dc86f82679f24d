package cell

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Timers must fire in the order of their times, each once, and none early.
func TestStepTimers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var timers stepTimers
		var now time.Time
		waiting := make(map[time.Time]int)
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				at := now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "wait")))
				timers.push(stepTimer{at: at})
				waiting[at]++
			},
			"fire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "passed")))
				var last time.Time
				for timer, due := timers.popDue(now); due; timer, due = timers.popDue(now) {
					if timer.at.After(now) || timer.at.Before(last) || waiting[timer.at] == 0 {
						t.Fatalf("at %v a timer of %v fires after one of %v", now, timer.at, last)
					}
					last = timer.at
					waiting[timer.at]--
				}
				for at, n := range waiting {
					if n > 0 && !at.After(now) {
						t.Fatalf("%d timers of %v have not fired at %v", n, at, now)
					}
				}
			},
		})
	})
}
