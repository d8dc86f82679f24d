package cell_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

var benchSizes = []int{48, 350, 1100, 5000}

// fleet is a cell in a steady state: whenever a run ends, its task is done, and a job
// that is done is followed by another one. Two of its three tasks that run for each
// worker are of jobs with 13 tasks, and the others of jobs with 41.
type fleet struct {
	now     time.Time
	cell    *cell.Cell
	workers map[cell.WorkerID]*fleetWorker
	ids     []cell.WorkerID
	// runs holds the runs in the order of their starts.
	runs []cell.SendStart
	jobs int
	// left holds how many tasks of a job are not done.
	left map[workload.JobID]int
	// took holds the time spent in each part of the cell.
	took struct{ end, decide, commit, encode, started time.Duration }
}

type fleetWorker struct {
	running []cell.Running
	ends    int64
}

var fleetManifest = manifest.Manifest{Version: 1, Queues: []manifest.Queue{
	{Name: "hold", Service: "s", Priority: 0, MaxAttempts: 4, SlackFactor: 1.5, TargetLatency: 500 * time.Millisecond},
	{Name: "settle", Service: "s", Priority: 2, MaxAttempts: 4, SlackFactor: 2.2, TargetLatency: 1200 * time.Millisecond},
}}

func newFleet(workers int) *fleet {
	f := newIdleFleet(workers, &fleetManifest)
	for len(f.runs) < 3*workers {
		f.accept()
		f.step()
	}
	return f
}

// newIdleFleet returns a cell whose workers have reported and run nothing.
func newIdleFleet(workers int, m *manifest.Manifest) *fleet {
	f := &fleet{
		now: time.Unix(1_700_000_000, 0), workers: make(map[cell.WorkerID]*fleetWorker), left: make(map[workload.JobID]int),
	}
	f.cell = cell.New(f.now, scriptConfig, nopObserver{}, zap.NewNop())
	f.cell.SetManifest(m)
	for i := range workers {
		id := cell.WorkerID(fmt.Sprintf("i-%010x", i*7919))
		f.ids = append(f.ids, id)
		f.workers[id] = &fleetWorker{}
		f.cell.Register(f.now, cell.Registration{
			ID: id, Incarnation: 1, Machine: "m-" + string(id), Service: "s", Labels: []string{"ka", "r1-1"},
			Capacity: job.Size{MilliCores: 32_000, MemoryMB: 131_072},
		})
		f.report(id)
	}
	return f
}

func (f *fleet) accept() {
	queue, step := "hold", workload.Step{Tasks: 13, Size: job.Size{MilliCores: 7000, MemoryMB: 26_000}, Estimate: 800 * time.Millisecond}
	if f.jobs++; f.jobs%7 == 0 {
		queue, step = "settle", workload.Step{Tasks: 41, Size: job.Size{MilliCores: 9000, MemoryMB: 26_000}, Estimate: 3800 * time.Millisecond}
	}
	id := workload.JobID(fmt.Sprintf("%016x", f.jobs))
	f.left[id] = step.Tasks
	f.cell.Accept(f.now, cell.AcceptedJob{Job: workload.Job{ID: id, Queue: queue, Spec: "spec", Steps: []workload.Step{step}}})
}

// timed adds the time that a call takes to one of the sums.
func timed(sum *time.Duration, call func()) {
	begin := time.Now()
	call()
	*sum += time.Since(begin)
}

// step makes a decision, commits the records and carries out the starts.
func (f *fleet) step() {
	for range 3 {
		var actions []cell.Action
		timed(&f.took.decide, func() { actions = f.cell.TakeActions(f.now) })
		for _, a := range actions {
			if s, ok := a.(cell.SendStart); ok {
				f.start(s)
			}
		}
		var records []cell.Record
		timed(&f.took.commit, func() { records = f.cell.TakeRecords(90) })
		timed(&f.took.encode, func() {
			for i := range records {
				if _, err := ledger.EncodeRecord(records[i]); err != nil {
					panic(err)
				}
			}
		})
		timed(&f.took.commit, func() { f.cell.Committed(f.now, records) })
	}
}

func (f *fleet) start(s cell.SendStart) {
	w := f.workers[s.Worker]
	w.running = append(w.running, cell.Running{Task: s.Task, Run: s.Run, Percent: 50})
	f.runs = append(f.runs, s)
	timed(&f.took.started, func() {
		f.cell.Started(f.now, s.Worker, s.Task, s.Run, cell.StartOutcome{Clock: f.clock()})
	})
}

func (f *fleet) clock() time.Duration { return f.now.Sub(time.Unix(1_600_000_000, 0)) }

func (f *fleet) report(id cell.WorkerID, ended ...cell.Ended) {
	report := cell.Report{Incarnation: 1, Clock: f.clock(), Running: f.workers[id].running, Ended: ended}
	timed(&f.took.end, func() {
		f.cell.NextHold(f.now, id)
		f.cell.Reported(f.now, id, report)
	})
}

// end has the worker of the oldest run report its end.
func (f *fleet) end() {
	f.now = f.now.Add(time.Microsecond)
	s := f.runs[0]
	f.runs = f.runs[1:]
	if f.endRun(s) {
		f.accept()
	}
}

// endRun has a worker report the end of a run, and reports whether its job is done.
func (f *fleet) endRun(s cell.SendStart) bool {
	w := f.workers[s.Worker]
	for i, r := range w.running {
		if r.Task == s.Task {
			w.running = append(w.running[:i], w.running[i+1:]...)
			break
		}
	}
	w.ends++
	f.report(s.Worker, cell.Ended{Number: w.ends, Task: s.Task, Run: s.Run, Kind: cell.EndDone})
	if f.left[s.Task.Job]--; f.left[s.Task.Job] > 0 {
		return false
	}
	delete(f.left, s.Task.Job)
	f.cell.Forget([]workload.JobID{s.Task.Job})
	return true
}

// BenchmarkRun ends a run, decides, commits and starts what follows.
func BenchmarkRun(b *testing.B) {
	for _, workers := range benchSizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := newFleet(workers)
			f.took = struct{ end, decide, commit, encode, started time.Duration }{}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				f.end()
				f.step()
			}
			report := func(took time.Duration, unit string) {
				b.ReportMetric(float64(took.Nanoseconds())/float64(b.N), unit)
			}
			report(f.took.end, "ns/end")
			report(f.took.decide, "ns/decide")
			report(f.took.commit, "ns/commit")
			report(f.took.encode, "ns/encode")
			report(f.took.started, "ns/started")
		})
	}
}

// BenchmarkHold makes a hold call that reports no change, at a worker with some runs.
func BenchmarkHold(b *testing.B) {
	for _, workers := range benchSizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := newFleet(workers)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				f.now = f.now.Add(time.Microsecond)
				f.report(f.ids[i%len(f.ids)])
			}
		})
	}
}

// BenchmarkIdleTick runs one tick without a backlog.
func BenchmarkIdleTick(b *testing.B) {
	for _, workers := range benchSizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := newFleet(workers)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				f.cell.Tick(f.now)
				f.cell.TakeActions(f.now)
			}
		})
	}
}
