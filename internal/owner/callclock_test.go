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
				task := workload.TaskID{StepID: workload.StepID{Job: jobID(0)}}
				o.put(loopFunc(func(o *Owner) { o.stop(cell.SendStop{Worker: "w00", Task: task, Run: 1}) }))
				time.Sleep(800 * time.Millisecond)
				if got := o.callStats.counts()[callStop]; got != c.want {
					t.Errorf("timeouts of stops: %+v, want %+v", got, c.want)
				}
			})
		})
	}
}

// An answer to a start that is read late, since this host had no processor time, must not
// count as missing.
func TestALateHostTakesNoWorkerToBeSilent(t *testing.T) {
	for _, c := range []struct {
		name   string
		late   time.Duration
		silent bool
	}{
		{"slow worker", 0, true},
		{"late host", 1200 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakePlatform(1)
				p.runTakes = time.Minute
				begin := time.Now().Add(2 * time.Second)
				o := p.startOwnerWith(fakeConfig(), &lateTimers{timer.NewSystem(), begin, begin.Add(c.late)})
				defer o.Close()
				time.Sleep(time.Until(begin))
				p.mu.Lock()
				p.startTakes = 1200 * time.Millisecond
				p.mu.Unlock()
				accept(o, 1, 1)
				time.Sleep(2500 * time.Millisecond)
				timeouts := o.callStats.counts()
				if silent := len(timeouts) > 0; silent != c.silent {
					t.Errorf("timeouts %+v; the worker is taken to be silent: %v, want %v", timeouts, silent, c.silent)
				}
				p.mu.Lock()
				defer p.mu.Unlock()
				if stopped := len(p.stops) > 0; stopped != c.silent {
					t.Errorf("the run was stopped: %v, want %v", stopped, c.silent)
				}
			})
		})
	}
}
