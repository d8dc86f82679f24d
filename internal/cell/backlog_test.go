package cell_test

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// backlog is a cell in which many steps wait. Each of its workers runs a few
// small tasks of a queue that needs no advice.
type backlog struct {
	t       rapid.TB
	now     time.Time
	cell    *cell.Cell
	workers []cell.WorkerID
	ends    map[cell.WorkerID]int64
	// running has the runs that each worker reports.
	running map[cell.WorkerID][]cell.Running
	// account has the terms of the account of the jobs that are accepted next.
	account manifest.Terms
	// manifests counts the manifests with accounts.
	manifests uint64
}

// waitReason is why the steps of a backlog wait.
type waitReason string

const (
	// whyUnanswered steps have an open question for advice, or wait to ask one,
	// and most of the workers' capacity is free.
	whyUnanswered waitReason = "unanswered"
	// whyFull steps are allowed on workers that have no free capacity.
	whyFull waitReason = "full"
	// whyDenied steps are not allowed on any worker.
	whyDenied waitReason = "denied"
)

var (
	quickAdvice = manifest.Advice{Fixed: 25 * time.Millisecond, PerWorker: 350 * time.Microsecond, ValidFor: 2500 * time.Millisecond}
	longAdvice  = manifest.Advice{Fixed: 380 * time.Millisecond, PerWorker: 5500 * time.Microsecond, ValidFor: 2500 * time.Millisecond}
)

var backlogManifest = manifest.Manifest{Version: 1, Queues: []manifest.Queue{
	{Name: "hold", Service: "s", Priority: 0, MaxAttempts: 4, SlackFactor: 1.5, TargetLatency: 500 * time.Millisecond, Advice: quickAdvice},
	{Name: "settle", Service: "s", Priority: 2, MaxAttempts: 4, SlackFactor: 2.2, TargetLatency: 1200 * time.Millisecond, Advice: longAdvice},
	{Name: "free", Service: "s", Priority: 1, MaxAttempts: 4, SlackFactor: 2, TargetLatency: time.Second},
	{Name: "first", Service: "s", Priority: 0, MaxAttempts: 4, SlackFactor: 2, TargetLatency: time.Second},
}}

const (
	backlogAdviceHosts = 30
	// smallRuns is how many small tasks each worker runs.
	smallRuns = 6
	// minCapacity is the capacity of the smallest worker, in millicores.
	minCapacity = 16000
)

// newBacklog returns a cell with the given numbers of workers and of waiting
// steps. A quarter of the workers have half, and another quarter double, the
// capacity of the rest.
func newBacklog(t rapid.TB, workers, steps int, why waitReason) *backlog {
	b := &backlog{
		t: t, now: time.Unix(1_700_000_000, 0), ends: make(map[cell.WorkerID]int64),
		running: make(map[cell.WorkerID][]cell.Running),
	}
	b.cell = cell.New(b.now, scriptConfig, nopObserver{}, zap.NewNop())
	b.cell.SetManifest(&backlogManifest)
	b.cell.SetAdviceHosts(backlogAdviceHosts)
	total := 0
	for i := range workers {
		size := []int{minCapacity, 2 * minCapacity, 2 * minCapacity, 4 * minCapacity}[i%4]
		total += size / minCapacity
		b.addWorker(cell.WorkerID(fmt.Sprintf("w%03d", i)), int64(size))
	}
	b.accept("small", "free", workload.Step{
		Tasks: workers * smallRuns, Size: job.Size{MilliCores: 100}, Estimate: time.Second, MaxPerWorker: smallRuns,
	})
	b.runActions()
	asked := b.acceptBacklog(steps)
	if why == whyFull {
		b.accept("large", "free", workload.Step{
			Tasks: total, Size: job.Size{MilliCores: minCapacity - smallRuns*100}, Estimate: time.Hour,
		})
		b.runActions()
	}
	if why != whyUnanswered {
		b.answer(asked, why)
	}
	b.runActions()
	return b
}

func (b *backlog) addWorker(id cell.WorkerID, milliCores int64) {
	b.workers = append(b.workers, id)
	b.cell.Register(b.now, cell.Registration{
		ID: id, Incarnation: 1, Machine: string(id), Service: "s", Capacity: job.Size{MilliCores: milliCores, MemoryMB: 131072},
	})
	b.report(id)
}

func (b *backlog) accept(id workload.JobID, queue string, step workload.Step) {
	b.cell.Accept(b.now, cell.AcceptedJob{
		Job: workload.Job{ID: id, Queue: queue, Spec: "spec", Steps: []workload.Step{step}}, Account: b.account,
	})
}

// acceptBacklog submits the waiting steps, and returns the questions asked for
// them.
func (b *backlog) acceptBacklog(steps int) []cell.AskAdvice {
	for i := range steps {
		id := workload.JobID(fmt.Sprintf("%016x", i))
		b.now = b.now.Add(time.Microsecond)
		if i%2 == 0 {
			b.accept(id, "hold", workload.Step{Tasks: 10, Size: job.Size{MilliCores: 4500}, Estimate: 800 * time.Millisecond})
			continue
		}
		b.accept(id, "settle", workload.Step{Tasks: 21, Size: job.Size{MilliCores: 9000}, Estimate: 3800 * time.Millisecond})
	}
	return b.runActions()
}

// runActions carries out the cell's actions until there are none left, and returns
// the questions that it asked.
func (b *backlog) runActions() []cell.AskAdvice {
	const maxDecisions = 100_000
	var asked []cell.AskAdvice
	for n := 0; ; n++ {
		if n > maxDecisions {
			b.t.Fatalf("decisions go on without end\n%s", b.cell.Describe())
		}
		actions := b.cell.TakeActions(b.now)
		asked = append(asked, b.apply(actions)...)
		records := b.cell.TakeRecords(1000)
		b.cell.Committed(b.now, records)
		if len(actions) == 0 && len(records) == 0 && !b.cell.HasNextStep(b.now) {
			return asked
		}
	}
}

// apply sends the starts among the actions, and returns the questions.
func (b *backlog) apply(actions []cell.Action) []cell.AskAdvice {
	var asked []cell.AskAdvice
	for _, a := range actions {
		switch a := a.(type) {
		case cell.AskAdvice:
			asked = append(asked, a)
		case cell.SendStart:
			b.start(a)
		}
	}
	return asked
}

func (b *backlog) start(a cell.SendStart) {
	b.running[a.Worker] = append(b.running[a.Worker], cell.Running{Task: a.Task, Run: a.Run, Percent: 50})
	b.cell.Started(b.now, a.Worker, a.Task, a.Run, cell.StartOutcome{Clock: b.clock()})
}

// answer answers questions until none is open. With whyFull the steps are
// allowed on all workers, and otherwise on none.
func (b *backlog) answer(asked []cell.AskAdvice, why waitReason) {
	for len(asked) > 0 {
		for _, a := range asked {
			answer := cell.Advice{Step: a.Step, Asked: a.Workers}
			for _, id := range a.Workers {
				if why == whyFull {
					answer.Allowed = append(answer.Allowed, cell.Ticket{Worker: id, Value: "t"})
				}
			}
			b.cell.Advised(b.now, answer)
		}
		asked = b.runActions()
	}
}

func (b *backlog) clock() time.Duration { return b.now.Sub(time.Unix(1_600_000_000, 0)) }

func (b *backlog) report(id cell.WorkerID, ended ...cell.Ended) {
	b.cell.Reported(b.now, id, cell.Report{Incarnation: 1, Clock: b.clock(), Running: b.running[id], Ended: ended})
}

// end has a worker report that one of its small runs was stopped, so that its
// task is placed again.
func (b *backlog) end(id cell.WorkerID) {
	b.t.Helper()
	i := slices.IndexFunc(b.running[id], func(r cell.Running) bool { return r.Task.Job == "small" })
	if i < 0 {
		b.t.Fatalf("worker %s runs no small task", id)
	}
	b.endRun(id, i, cell.EndStopped)
}

// endRun has a worker report the end of a run.
func (b *backlog) endRun(id cell.WorkerID, i int, how cell.EndKind) {
	r := b.running[id][i]
	b.running[id] = slices.Delete(slices.Clone(b.running[id]), i, i+1)
	b.ends[id]++
	b.now = b.now.Add(time.Microsecond)
	b.report(id, cell.Ended{Number: b.ends[id], Task: r.Task, Run: r.Run, Kind: how})
}
