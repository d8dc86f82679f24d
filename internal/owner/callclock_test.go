package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// lateTimers is the timer service of a host on which everything that is due within a
// period happens at its end, as if the process got no processor time in it.
type lateTimers struct {
	*timer.System
	from, to time.Time
}

func (l *lateTimers) After(wait time.Duration) *timer.Subscription {
	due := l.Now().Add(wait)
	if due.After(l.from) && due.Before(l.to) {
		wait = time.Until(l.to)
	}
	return l.System.After(wait)
}

// A timeout on a host that was late must be counted apart from one of a silent worker.
func TestTimeoutsOnALateHostAreCountedApart(t *testing.T) {
	for _, c := range []struct {
		name string
		late time.Duration
		want timeoutCount
	}{
		{"silent worker", 0, timeoutCount{total: 1}},
		{"late host", 200 * time.Millisecond, timeoutCount{total: 1, delayed: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakePlatform(1)
				p.connectTakes = time.Hour
				begin := time.Now().Add(2 * time.Second)
				o := p.startOwnerWith(fakeConfig(), &lateTimers{timer.NewSystem(), begin, begin.Add(c.late)})
				defer o.Close()
				time.Sleep(time.Until(begin))
				o.callStats.take()
				task := workload.TaskID{StepID: workload.StepID{Job: jobID(0)}}
				o.put(loopFunc(func(o *Owner) { o.stop(cell.SendStop{Worker: "w00", Task: task, Run: 1}) }))
				time.Sleep(800 * time.Millisecond)
				if got := o.callStats.take()[callStop]; got != c.want {
					t.Errorf("timeouts of stops: %+v, want %+v", got, c.want)
				}
			})
		})
	}
}
