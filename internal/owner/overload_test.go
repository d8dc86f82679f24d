package owner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/admission"
	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	// overloadWorkers have room for more than all tasks of the overload together.
	overloadWorkers = 300
	// normalJobs is the number of short jobs in each submitInterval of the normal
	// load, which takes less than half of the processor.
	normalJobs     = 1
	submitInterval = 160 * time.Millisecond
	quickTasks     = 10
	lastingTasks   = 10
	quickRunTime   = 800 * time.Millisecond
	// maxDown is how long a long-running task may be down while there is capacity
	// for it, and maxStartWait how long urgent tasks may wait in calm times.
	maxDown      = 7 * time.Second
	maxStartWait = time.Second
	// recoveryTime is the time with the normal load after which waits are normal.
	recoveryTime = 8 * time.Second
)

var overloadManifest = &manifest.Manifest{Version: 1, Queues: []manifest.Queue{
	{Name: "quick", Service: "s", MaxAttempts: 3, SlackFactor: 2, TargetLatency: 500 * time.Millisecond},
	{Name: "lasting", Service: "s", Priority: 1, MaxAttempts: 2, SlackFactor: 2, TargetLatency: 3 * time.Second},
}}

// overloadCosts add up to less than half of the processor at the normal load.
var overloadCosts = processorCosts{
	start: 2 * time.Millisecond, stop: 2 * time.Millisecond, hold: 500 * time.Microsecond,
	event: 200 * time.Microsecond, commit: 300 * time.Microsecond, row: 50 * time.Microsecond,
}

// overload submits jobs to a busyHost.
type overload struct {
	*busyHost
	accepted map[workload.JobID]time.Time
	lasting  map[workload.JobID]bool
	// decisions holds the owner's decisions on new jobs at the last submissions. Hosts
	// know the first of them. refused counts the jobs that they refuse.
	decisions []admission.Decision
	refused   int
}

func newOverload() *overload {
	l := &overload{accepted: make(map[workload.JobID]time.Time), lasting: make(map[workload.JobID]bool), decisions: make([]admission.Decision, 3)}
	l.busyHost = newBusyHost(overloadWorkers, overloadCosts, func(id workload.TaskID) time.Duration {
		if id.Job[0] == 'f' {
			return 0
		}
		return quickRunTime
	})
	return l
}

// submit submits jobs with one step at a time, of a number of tasks.
func (l *overload) submit(jobs int, lasting bool) {
	for range jobs {
		q, id := &overloadManifest.Queues[0], workload.JobID(fmt.Sprintf("%016x", len(l.accepted)))
		step := workload.Step{
			Tasks: quickTasks, Size: job.Size{MilliCores: 7000, MemoryMB: 10}, Estimate: quickRunTime, LongRunning: lasting,
		}
		if lasting {
			q, id = &overloadManifest.Queues[1], "f"+id[1:]
			step.Tasks = lastingTasks
		}
		if _, refused := l.decisions[0].RetryAfter(q.Priority, lasting); refused {
			l.refused++
			continue
		}
		l.lasting[id] = lasting
		l.accepted[id] = time.Now()
		l.accept(workload.Job{ID: id, Queue: q.Name, Steps: []workload.Step{step}}, q)
	}
}

// learnDecision learns the owner's decision, which hosts know two intervals later.
func (l *overload) learnDecision() {
	l.decisions = append(l.decisions[1:], l.owner.Load().Admission())
}

// load submits short jobs for some time.
func (l *overload) load(jobs int, lasts time.Duration) {
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(submitInterval) {
		l.learnDecision()
		l.submit(jobs, false)
	}
}

// Load above capacity must not leave a long-running task down, nor new jobs waiting
// once the load is normal again.
func TestOverloadLeavesTasksWaiting(t *testing.T) {
	for _, c := range []struct {
		name string
		// stall is how long the owner has no processor, and excess times the normal
		// load arrives for some time.
		stall  time.Duration
		excess int
		lasts  time.Duration
	}{
		{"normal load", 0, 1, 5 * time.Second},
		{"owner stalled", 2 * time.Second, 1, 5 * time.Second},
		{"short overload", 0, 12, 5 * time.Second},
		{"long overload", 0, 12, 20 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newOverload()
				o := l.startOwner(overloadManifest)
				defer o.Close()
				l.submit(20, true)
				time.Sleep(5 * time.Second)
				l.load(normalJobs, 3*time.Second)
				l.processor.use(c.stall)
				l.processor.takeUsed()
				for range 4 {
					l.load(c.excess*normalJobs, c.lasts/4)
					l.fail(10)
					l.submit(1, true)
				}
				t.Logf("processor time used in the overload: %v in %v", l.processor.takeUsed(), c.lasts)
				l.load(normalJobs, recoveryTime)
				calm, refused := time.Now(), l.refused
				t.Logf("jobs refused: %d of %d", refused, refused+len(l.accepted))
				l.load(normalJobs, 5*time.Second)
				time.Sleep(maxDown)
				l.check(t, calm)
				if l.refused > refused || c.excess == 1 && l.refused > 0 {
					t.Errorf("%d jobs were refused in the normal load", l.refused-refused)
				}
			})
		})
	}
}

// check checks what the clients of all accepted jobs were promised. The load has been
// normal for some time when the jobs accepted after calm are accepted.
func (l *overload) check(t *testing.T, calm time.Time) {
	t.Helper()
	l.workersMu.Lock()
	defer l.workersMu.Unlock()
	for _, w := range l.machines {
		l.advance(w)
	}
	found := make(map[string]int)
	for id, accepted := range l.accepted {
		tasks := quickTasks
		if l.lasting[id] {
			tasks = lastingTasks
		}
		for i := range tasks {
			runs := l.history[workload.TaskID{StepID: workload.StepID{Job: id}, Index: i}]
			for fault := range faultsOf(runs, accepted, l.lasting[id], accepted.After(calm)) {
				found[fault]++
			}
		}
	}
	for fault, tasks := range found {
		t.Errorf("%d tasks: %s", tasks, fault)
	}
}

// faultsOf yields what is wrong with the runs of a task.
func faultsOf(runs []*busyRun, accepted time.Time, lasting, calm bool) map[string]bool {
	faults := make(map[string]bool)
	down, done := accepted, 0
	for i, r := range runs {
		if lasting && r.start.Sub(down) > maxDown {
			faults["a long-running task was down for too long"] = true
		}
		if i > 0 && (runs[i-1].end.IsZero() || runs[i-1].end.After(r.start)) {
			faults["two runs at the same time"] = true
		}
		if r.how == cell.EndLeaseExpired {
			faults["the lease of a worker that answers expired"] = true
		}
		if r.how == cell.EndDone {
			done++
		}
		down = r.end
	}
	if lasting && (len(runs) == 0 || !runs[len(runs)-1].end.IsZero() && time.Since(down) > maxDown) {
		faults["a long-running task does not run"] = true
	}
	if !lasting && done != 1 {
		faults[fmt.Sprintf("ran to its end %d times", done)] = true
	}
	if calm && (len(runs) == 0 || runs[0].start.Sub(accepted) > maxStartWait) {
		faults["a task of a job accepted in calm times started too late"] = true
	}
	return faults
}
