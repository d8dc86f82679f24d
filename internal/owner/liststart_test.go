package owner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	// notedAfter is how long after a worker has listed the end of a run, with no
	// impairment near, no run of its task may be started any more.
	notedAfter = 100 * time.Millisecond
	// burstJobs is the number of jobs that are submitted together, so that their runs end
	// together and one answer lists them.
	burstJobs = 44
	// settleTime is enough for all jobs to end: a lease, and what may follow it, has
	// expired, and a run of the longest task.
	settleTime = 12 * time.Second
)

// withLeasedPlatform runs a test against a leasedPlatform with an owner that has run jobs
// for a while, and checks afterwards what has been started.
func withLeasedPlatform(t *testing.T, p func() *leasedPlatform, test func(t *testing.T, p *leasedPlatform, o *Owner) *Owner) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := p()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.renewEntries(ctx)
		o := p.startOwner(1)
		defer func() { o.Close() }()
		time.Sleep(2 * time.Second)
		p.submitFor(t, o, 2*time.Second)
		time.Sleep(tickInterval / 4) // no fault ends with a tick
		o = test(t, p, o)
		time.Sleep(settleTime)
		p.checkCompleted(t, o)
		p.checkStarts(t)
	})
}

// submitBurst submits jobs whose runs end together, half of their time after it returns. No
// other run ends before that.
func (p *leasedPlatform) submitBurst(t *testing.T, o *Owner) {
	t.Helper()
	time.Sleep(shortRun + 50*time.Millisecond)
	for range burstJobs {
		p.submit(t, o, shortRun)
	}
	time.Sleep(shortRun / 2)
}

// checkStarts checks that no task was started later than notedAfter after a worker had
// listed its success, and that no task had two runs at the same time.
func (p *leasedPlatform) checkStarts(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	again, first := 0, ""
	overlapping := 0
	for i := range leasedWorkers {
		w := p.machines[workerID(i)]
		w.advance(p.clock())
		for _, e := range w.ends {
			for _, r := range p.starts {
				if r.task != e.Task || r.number == e.Run {
					continue
				}
				if begun := e.startOf(p.starts); begun.start < r.start && r.start < e.at {
					overlapping++
				}
				noted := e.listedAt + notedAfter
				if e.Kind != cell.EndDone || !e.listed || r.start <= noted || w.lapsedWithin(e.at, noted) {
					continue
				}
				if again++; first == "" {
					first = fmt.Sprintf("run %d of %s ended on %s at %v and was listed at %v, run %d began on %s at %v",
						e.Run, e.Task, w.id, e.at, e.listedAt, r.number, r.worker, r.start)
				}
			}
		}
	}
	if again > 0 {
		t.Errorf("%d runs of tasks began although a worker had listed the success of an earlier run; the first: %s", again, first)
	}
	if overlapping > 0 {
		t.Errorf("%d runs began while an earlier run of their task was running", overlapping)
	}
}

// startOf returns the run that has ended.
func (e *leasedEnd) startOf(starts []*leasedRun) *leasedRun {
	for _, r := range starts {
		if r.task == e.Task && r.number == e.Run {
			return r
		}
	}
	return nil
}

// checkCompleted checks that all jobs are shown as completed.
func (p *leasedPlatform) checkCompleted(t *testing.T, o *Owner) {
	t.Helper()
	missing := 0
	for _, id := range p.jobs {
		if state, err := o.Job(t.Context(), id); err != nil || state.State != workload.StateCompleted {
			missing++
		}
	}
	if missing > 0 {
		t.Errorf("%d of %d jobs are not shown as completed", missing, len(p.jobs))
	}
}

// checkUnread checks that successes were listed in answers that were lost or late, as the
// test shows nothing otherwise.
func (p *leasedPlatform) checkUnread(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unread == 0 {
		t.Error("no success was listed in an answer that was lost or late")
	}
}

// Guards against a task that is run again after its success was listed (TWICE), since the
// answers of one worker, which renews its entry all the time, were lost or late for longer
// than its lease.
func TestLostAnswersOfOneWorkerStartNoDoneTask(t *testing.T) {
	for _, f := range []answerFault{answerReset, answerLate} {
		for _, lasts := range []time.Duration{3500 * time.Millisecond, 4 * time.Second, 5 * time.Second} {
			t.Run(fmt.Sprintf("%v for %v", f, lasts), func(t *testing.T) {
				withLeasedPlatform(t, newLeasedPlatform, func(t *testing.T, p *leasedPlatform, o *Owner) *Owner {
					p.breakAnswers(p.busiest(), f, lasts)
					p.submitFor(t, o, lasts+time.Second)
					p.checkUnread(t)
					return o
				})
			})
		}
	}
}

// Guards against a task that is run again after its success was listed (TWICE), since the
// owner's process got no processor time for longer than a lease: the tick that counts the
// leases as expired is handled before the answers that have arrived meanwhile.
func TestOwnerWithoutProcessorStartsNoDoneTask(t *testing.T) {
	for _, lasts := range []time.Duration{3500 * time.Millisecond, 4 * time.Second, 5 * time.Second} {
		for _, last := range []time.Duration{time.Millisecond, 250 * time.Millisecond} {
			t.Run(fmt.Sprintf("stalled for %v and last answers read %v later", lasts, last), func(t *testing.T) {
				withLeasedPlatform(t, newLeasedPlatform, func(t *testing.T, p *leasedPlatform, o *Owner) *Owner {
					p.submitBurst(t, o)
					p.stallOwner(o, lasts, p.busiest(), time.Millisecond, last)
					time.Sleep(lasts)
					p.submitFor(t, o, time.Second)
					return o
				})
			})
		}
	}
}

// slowCore is a log that discards all entries and takes a time for those with a message.
type slowCore struct {
	zapcore.Core
	message string
	takes   time.Duration
}

func (c slowCore) Enabled(zapcore.Level) bool        { return true }
func (c slowCore) With([]zapcore.Field) zapcore.Core { return c }

func (c slowCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.Message == c.message {
		time.Sleep(c.takes)
	}
	return checked
}

// fillReports takes a time in the event loop of an owner, while its queue of reports fills
// with failures of hold calls, as if thousands of workers had failed at once.
func fillReports(o *Owner, takes time.Duration) {
	o.put(loopFunc(func(o *Owner) {
		for {
			h := &holdLoop{id: "unknown", requests: make(chan cell.HoldRequest, 1), position: notIdle}
			if !o.reports.Offer(queuedEvent{holdFailed{h, errCallTimeout}, o.timers.Now()}) {
				break
			}
		}
		time.Sleep(takes)
	}))
}

// Guards against a task that is run again after its success was listed (TWICE), since
// reports have waited in the owner's queue for longer than a lease.
func TestReportsWaitingForALeaseStartNoDoneTask(t *testing.T) {
	t.Run("the queue of reports is full", func(t *testing.T) {
		const slowEvent, reportTakes = 3300 * time.Millisecond, 100 * time.Microsecond
		platform := func() *leasedPlatform {
			p := newLeasedPlatform()
			p.log = zap.New(slowCore{zapcore.NewNopCore(), "worker does not answer", reportTakes})
			return p
		}
		withLeasedPlatform(t, platform, func(t *testing.T, p *leasedPlatform, o *Owner) *Owner {
			// A tick and reports that wait are handled in any order, so that one trial
			// may show nothing.
			for range 3 {
				p.submitBurst(t, o)
				fillReports(o, slowEvent)
				time.Sleep(slowEvent + eventQueueSize*reportTakes)
				p.submitFor(t, o, 2*time.Second)
				time.Sleep(longRun)
			}
			return o
		})
	})
	t.Run("one event takes longer than a lease", func(t *testing.T) {
		withLeasedPlatform(t, newLeasedPlatform, func(t *testing.T, p *leasedPlatform, o *Owner) *Owner {
			p.submitBurst(t, o)
			o.put(loopFunc(func(*Owner) { time.Sleep(4 * time.Second) }))
			time.Sleep(4 * time.Second)
			p.submitFor(t, o, time.Second)
			return o
		})
	})
}

// breakAnswersNow is breakAnswers from now on.
func (p *leasedPlatform) breakAnswersNow(id cell.WorkerID, f answerFault, lasts time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outages[id] = &answerOutage{fault: f, lasts: lasts, begun: true, begin: p.clock()}
}

// takeOver ends an owner and starts its successor after a time, in which runs end that the
// successor's record names.
func (p *leasedPlatform) takeOver(o *Owner, after time.Duration) *Owner {
	o.Close()
	time.Sleep(after)
	return p.startOwner(2)
}

// Guards against a task that is run again after its success was listed (TWICE), since a
// new owner hears late of a worker that runs what its record names.
func TestTakeoverHearingLateStartsNoDoneTask(t *testing.T) {
	for _, f := range []answerFault{answerReset, answerLate} {
		for _, lasts := range []time.Duration{3500 * time.Millisecond, 5 * time.Second} {
			t.Run(fmt.Sprintf("%v for %v", f, lasts), func(t *testing.T) {
				withLeasedPlatform(t, newLeasedPlatform, func(t *testing.T, p *leasedPlatform, o *Owner) *Owner {
					p.breakAnswersNow(p.busiest(), f, lasts)
					o = p.takeOver(o, shortRun/4)
					time.Sleep(lasts + time.Second)
					p.checkUnread(t)
					return o
				})
			})
		}
	}
	t.Run("stalled for 5s and last answers read 250ms later", func(t *testing.T) {
		withLeasedPlatform(t, newLeasedPlatform, func(t *testing.T, p *leasedPlatform, o *Owner) *Owner {
			p.submitBurst(t, o)
			id := p.busiest()
			o = p.takeOver(o, shortRun)
			for !o.Ready() {
				time.Sleep(time.Millisecond)
			}
			p.stallOwner(o, 5*time.Second, id, time.Millisecond, 250*time.Millisecond)
			time.Sleep(5 * time.Second)
			return o
		})
	})
}

// Guards against a start that a worker accepts after the success of an earlier run of the
// task was acknowledged, or after its job was shown as completed: the worker of that run
// was silent until its lease had expired, and is heard again while the start is in flight.
func TestStartInFlightEndsBeforeSuccessCounts(t *testing.T) {
	for _, late := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		for _, stopsPrompt := range []bool{false, true} {
			name := fmt.Sprintf("start and stops %v late", late)
			if stopsPrompt {
				name = fmt.Sprintf("only the start %v late", late)
			}
			t.Run(name, func(t *testing.T) {
				withLeasedPlatform(t, newLeasedPlatform, func(t *testing.T, p *leasedPlatform, o *Owner) *Owner {
					p.testStartInFlight(t, o, late, stopsPrompt)
					return o
				})
			})
		}
	}
}

// testStartInFlight cuts off the worker of a task before its run ends, until the next
// start of the task is sent, which arrives late.
func (p *leasedPlatform) testStartInFlight(t *testing.T, o *Owner, late time.Duration, stopsPrompt bool) {
	t.Helper()
	p.submit(t, o, shortRun)
	task := workload.TaskID{StepID: workload.StepID{Job: p.jobs[len(p.jobs)-1]}}
	time.Sleep(shortRun / 2)
	first := p.firstRun(task)
	if first == nil {
		t.Fatal("the task was not started")
	}
	reconnect := p.cutOff(first.worker)
	p.mu.Lock()
	p.stopsPrompt = stopsPrompt
	for id := range p.machines {
		if id != first.worker {
			p.orderDelay[id] = late
		}
	}
	again := make(chan struct{}, 1)
	p.startSent = func(s cell.SendStart) {
		if s.Task == task && s.Run > first.number && len(again) == 0 {
			again <- struct{}{}
		}
	}
	p.mu.Unlock()
	select {
	case <-again:
	case <-time.After(settleTime):
		t.Fatal("the task was not started again, although its worker was silent")
	}
	time.Sleep(fakeLatency)
	reconnect()
	completedAt := p.awaitCompleted(t, o, task.Job)
	time.Sleep(late + fakeConfig().Cell.MaxLease)
	p.mu.Lock()
	p.startSent = nil
	clear(p.orderDelay)
	p.mu.Unlock()
	p.checkAccepted(t, first, completedAt)
}

// cutOff makes a worker silent until the returned function is called.
func (p *leasedPlatform) cutOff(id cell.WorkerID) (reconnect func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outages[id] = &answerOutage{fault: requestLost, lasts: time.Hour, begun: true, begin: p.clock()}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.outages, id)
	}
}

// firstRun returns the first run of a task, or nil if there is none.
func (p *leasedPlatform) firstRun(task workload.TaskID) *leasedRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.starts {
		if r.task == task {
			return r
		}
	}
	return nil
}

// awaitCompleted waits until a job is shown as completed, and returns when that was.
func (p *leasedPlatform) awaitCompleted(t *testing.T, o *Owner, id workload.JobID) time.Duration {
	t.Helper()
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(fakeLatency) {
		if state, err := o.Job(t.Context(), id); err == nil && state.State == workload.StateCompleted {
			return p.clock()
		}
	}
	t.Fatal("the job is not shown as completed")
	return 0
}

// checkAccepted checks that no later run of a task began after the success of its first
// run was acknowledged, or after its job was shown as completed.
func (p *leasedPlatform) checkAccepted(t *testing.T, first *leasedRun, completedAt time.Duration) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.machines[first.worker].ends {
		if e.Task != first.task || e.Run != first.number {
			continue
		}
		if e.Kind != cell.EndDone || !e.acknowledged {
			t.Errorf("the first run ended as %q, acknowledged: %v; want a success that is acknowledged", e.Kind, e.acknowledged)
		}
		for _, r := range p.starts {
			if r.task != first.task || r == first {
				continue
			}
			if e.acknowledged && r.start > e.acknowledgedAt {
				t.Errorf("a start was accepted %v after the success of an earlier run was acknowledged", r.start-e.acknowledgedAt)
			}
			if r.start > completedAt {
				t.Errorf("a start was accepted %v after the job was shown as completed", r.start-completedAt)
			}
		}
	}
}
