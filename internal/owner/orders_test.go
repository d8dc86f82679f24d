package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// A backlog of 3,000 starts that take 300 ms each is sent in 14 s, and a ticket is
// valid for 2.5 s. Tickets must not expire while starts are queued.
func TestQueuedStartsAreSentBeforeTheirTicketsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(20)
		p.startTakes, p.runTakes = 300*time.Millisecond, time.Second
		o := p.startOwner()
		defer o.Close()
		accept(o, 150, 20)
		time.Sleep(60 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		if len(p.refused) > 0 {
			t.Errorf("starts were refused because they arrived too late: %v", p.refused)
		}
		if len(p.started) < 3000 {
			t.Errorf("%d of 3000 tasks were started", len(p.started))
		}
	})
}

// 1,000 stops that take 300 ms each are sent in 5 s, and the cell retries a stop
// without effect after 0.8 s. A stop that is still queued must not be sent again.
func TestAQueuedStopIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(20)
		p.startTakes, p.runTakes, p.stopTakes = time.Millisecond, time.Hour, 300*time.Millisecond
		o := p.startOwner()
		defer o.Close()
		accept(o, 50, 20)
		time.Sleep(10 * time.Second)
		for i := range 50 {
			o.JobCancelled(jobID(i))
		}
		time.Sleep(20 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		if len(p.started) < 1000 || len(p.stops) < 1000 {
			t.Errorf("%d tasks were started and %d stopped, of 1000", len(p.started), len(p.stops))
		}
		repeated := 0
		for _, times := range p.stops {
			repeated += times - 1
		}
		if repeated > 0 {
			t.Errorf("%d stops were sent again although the first stop of the run had a response", repeated)
		}
	})
}

// loopFunc is an event that runs a function in the owner's event loop.
type loopFunc func(o *Owner)

func (do loopFunc) apply(o *Owner, _ time.Time) { do(o) }

// Changes of pace are sent on different connections, on which an older change may take
// longer than a later one.
func TestAnOlderPaceDoesNotOvertakeALaterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(1)
		p.paceTakes = map[int]time.Duration{0: 300 * time.Millisecond, 20: 200 * time.Millisecond, 40: 100 * time.Millisecond}
		o := p.startOwner()
		defer o.Close()
		task := workload.TaskID{StepID: workload.StepID{Job: jobID(0)}}
		for _, percent := range []int{0, 20, 40, 60} {
			o.put(loopFunc(func(o *Owner) { o.setPace(cell.SetPace{Worker: "w00", Task: task, Run: 1, Percent: percent}) }))
		}
		time.Sleep(time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		if last := p.paces[len(p.paces)-1]; last != 60 {
			t.Errorf("the worker's last pace is %d percent, after %v; the last one requested was 60", last, p.paces)
		}
	})
}

// 40 workers have died, and each of them has 4 runs to stop. The stops of other workers
// must not wait for the timeouts of theirs.
func TestStopsDoNotWaitForSilentWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dead, alive, runs = 40, 10, 4
		p := newFakePlatform(dead + alive)
		o := p.startOwner()
		defer o.Close()
		time.Sleep(2 * time.Second)
		p.mu.Lock()
		for i := range dead {
			p.silent[workerID(i)] = true
		}
		p.mu.Unlock()
		o.put(loopFunc(func(o *Owner) {
			for run := range runs {
				for i := range dead + alive {
					task := workload.TaskID{StepID: workload.StepID{Job: jobID(i)}, Index: run}
					o.stop(cell.SendStop{Worker: workerID(i), Task: task, Run: 1})
				}
			}
		}))
		time.Sleep(400 * time.Millisecond)
		p.mu.Lock()
		if len(p.stops) != alive*runs {
			t.Errorf("%d of %d stops were sent to workers that answer", len(p.stops), alive*runs)
		}
		clear(p.silent)
		p.mu.Unlock()
		time.Sleep(8 * time.Second)
		o.put(loopFunc(func(o *Owner) {
			if waiting, _ := o.orders.stats(); waiting > 0 || len(o.pendingStops) > 0 || len(o.orders.queues) > 0 {
				t.Errorf("%d stops wait after all workers have answered, %d have not ended", waiting, len(o.pendingStops))
			}
		}))
		time.Sleep(time.Second)
	})
}

// 140 of 160 workers have died, and starts are sent to all of them. Those to the others
// must not wait for the timeouts of theirs.
func TestStartsDoNotWaitForSilentWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dead, alive, each = 140, 20, 4
		p := newFakePlatform(dead + alive)
		p.startTakes, p.runTakes = 20*time.Millisecond, time.Minute
		o := p.startOwner()
		defer o.Close()
		time.Sleep(2 * time.Second)
		p.mu.Lock()
		for i := range dead + alive {
			p.silent[workerID(i)] = i%((dead+alive)/alive) > 0
		}
		p.mu.Unlock()
		acceptSized(o, 0, 1, (dead+alive)*each, job.Size{MilliCores: 100_000 / each})
		time.Sleep(time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		if len(p.started) != alive*each {
			t.Errorf("%d of %d tasks were started on workers that answer", len(p.started), alive*each)
		}
	})
}

// 600 tasks are to be started over a link that takes 10 ms for each start. Starts must not
// time out in the queue of this link and be repeated, which would take longer again.
func TestABurstOfStartsDoesNotTimeOutOnItsOwnLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks, linkTakes = 600, 10 * time.Millisecond
		p := newFakePlatform(100)
		p.linkTakes, p.runTakes = linkTakes, time.Minute
		o := p.startOwner()
		defer o.Close()
		time.Sleep(2 * time.Second)
		acceptSized(o, 0, 1, tasks, job.Size{MilliCores: 10_000})
		time.Sleep(2 * tasks * linkTakes)
		p.mu.Lock()
		defer p.mu.Unlock()
		if len(p.started) != tasks || len(p.stops) > tasks/10 {
			t.Errorf("%d of %d tasks were started in twice the time that the link takes, and %d starts were repeated",
				len(p.started), tasks, len(p.stops))
		}
	})
}
