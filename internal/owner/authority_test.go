package owner

import (
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// suspendableTimers is a timer service whose process can be suspended: Latest then
// advances, and Now does not.
type suspendableTimers struct {
	*timer.System
	suspended atomic.Int64
}

func (s *suspendableTimers) Latest() time.Time {
	return s.System.Latest().Add(time.Duration(s.suspended.Load()))
}

// An owner that was paused may have been replaced. Until a commit confirms that it was
// not, it must send no start, no stop and no maintenance order.
func TestPausedOwnerSendsNoOrders(t *testing.T) {
	for _, c := range []struct {
		name      string
		suspended time.Duration
		frozen    time.Duration
	}{
		{"suspended, with the monotonic clock", 3 * time.Second, 0},
		{"unable to commit", 0, 2100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakePlatform(4)
				p.runTakes = time.Minute
				timers := &suspendableTimers{System: timer.NewSystem()}
				config := fakeConfig()
				config.Cell.Unfenced = true
				o := p.startOwnerWith(config, timers)
				defer o.Close()
				accept(o, 1, 4)
				time.Sleep(2 * time.Second)
				p.hang(true)
				timers.suspended.Store(int64(c.suspended))
				time.Sleep(c.frozen)
				o.JobCancelled(jobID(0))
				o.put(loopFunc(func(o *Owner) { o.maintenance(cell.Maintenance{Machine: "m", Wave: 1}) }))
				time.Sleep(500 * time.Millisecond)
				if starts, stops, orders := p.sent(); starts != 4 || stops != 0 || orders != 0 {
					t.Errorf("without authority: %d starts of 4, %d stops, %d maintenance orders", starts, stops, orders)
				}
				p.hang(false)
				time.Sleep(8 * time.Second)
				if _, stops, _ := p.sent(); stops != 4 {
					t.Errorf("%d of 4 stops were sent after a commit confirmed the ownership", stops)
				}
			})
		})
	}
}

// An order that waits for its connection must not be sent once the authority has
// timed out, since the owner may have been replaced. A cut of the pace may.
func TestWaitingOrdersEndWithTheAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const left = 100 * time.Millisecond
		p := newFakePlatform(1)
		p.runTakes = time.Minute
		config := fakeConfig()
		config.Cell.Unfenced = true
		o := p.startOwnerWith(config, timer.NewSystem())
		defer o.Close()
		accept(o, 1, 1)
		time.Sleep(2 * time.Second)
		p.hang(true)
		p.connectTakes = 2 * left
		time.Sleep(cell.AuthorityTimeout - left - o.sinceConfirmed())
		task := workload.TaskID{StepID: workload.StepID{Job: jobID(0)}}
		o.put(loopFunc(func(o *Owner) {
			o.maintenance(cell.Maintenance{Machine: "m", Wave: 1})
			o.stop(cell.SendStop{Worker: "w00", Task: task, Run: 1})
			o.setPace(cell.SetPace{Worker: "w00", Task: task, Run: 1, Percent: 20})
			o.setPace(cell.SetPace{Worker: "w00", Task: task, Run: 2, Percent: 0})
		}))
		time.Sleep(4 * left)
		if _, stops, orders := p.sent(); stops != 0 || orders != 0 || !slices.Equal(p.paces, []int{0}) {
			t.Errorf("after the authority: %d stops, %d maintenance orders, paces %v; want none but the pace 0", stops, orders, p.paces)
		}
	})
}

func (p *fakePlatform) hang(hang bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.commitsHang = hang
}

// sent returns how many tasks were started, runs stopped and maintenance orders sent.
func (p *fakePlatform) sent() (starts, stops, orders int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.started), len(p.stops), p.maintained
}
