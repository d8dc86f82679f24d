package owner

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	// benchStartsPerSecond is the rate of starts at benchWorkersAtRate workers and
	// more. With fewer workers it is lower in proportion.
	benchStartsPerSecond = 850
	benchWorkersAtRate   = 1100
	// benchCommit is the latency of a commit.
	benchCommit = 8 * time.Millisecond
	// benchLastingTasks is the number of tasks in a job that lasts.
	benchLastingTasks = 40
)

// benchKind is one kind of job of the benchmark's load.
type benchKind struct {
	queue manifest.Queue
	step  workload.Step
	// runs is how long a task runs on average, or starts up if it lasts.
	runs  time.Duration
	lasts bool
	// allowed is the share of the workers that the advice service allows.
	allowed float64
}

var benchKinds = []benchKind{
	{
		queue: manifest.Queue{
			Name: "hold", Service: "s", MaxAttempts: 3, SlackFactor: 1.5, TargetLatency: 500 * time.Millisecond,
			Advice: manifest.Advice{Fixed: 31 * time.Millisecond, PerWorker: 440 * time.Microsecond, ValidFor: ticketValid},
		},
		step: workload.Step{Tasks: 13, Size: job.Size{MilliCores: 7000, MemoryMB: 26000}, Estimate: 800 * time.Millisecond},
		runs: 800 * time.Millisecond, allowed: 0.7,
	},
	{
		queue: manifest.Queue{
			Name: "settle", Service: "s", Priority: 2, MaxAttempts: 4, SlackFactor: 2.2, TargetLatency: 1200 * time.Millisecond,
			Advice: manifest.Advice{Fixed: 440 * time.Millisecond, PerWorker: 6200 * time.Microsecond, ValidFor: ticketValid},
		},
		step: workload.Step{
			Tasks: 41, Size: job.Size{MilliCores: 9000, MemoryMB: 26000}, Estimate: 3800 * time.Millisecond, Checkpoints: true,
		},
		runs: 3800 * time.Millisecond, allowed: 0.35,
	},
	{
		queue: manifest.Queue{
			Name: "watch", Service: "s", Priority: 1, MaxAttempts: 2, SlackFactor: 2.2, TargetLatency: 3 * time.Second,
			Advice: manifest.Advice{Fixed: 320 * time.Millisecond, PerWorker: 4600 * time.Microsecond, ValidFor: ticketValid},
		},
		step: workload.Step{Tasks: benchLastingTasks, Size: job.Size{MilliCores: 2000, MemoryMB: 4000}, LongRunning: true},
		runs: time.Millisecond, lasts: true, allowed: 0.35,
	},
}

// took returns how long a task runs: from half to one and a half of the average.
func (k *benchKind) took(id workload.TaskID) time.Duration {
	return k.runs/2 + k.runs*time.Duration(id.Index)/time.Duration(k.step.Tasks)
}

// BenchmarkOwner runs an owner under a steady load of starts, ends and hold calls, and
// reports the processor time of the whole process for each start. An operation is one
// start; its time is that of the load and not of the owner.
func BenchmarkOwner(b *testing.B) {
	for _, workers := range []int{48, 350, 1100, 5000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) { benchOwner(b, workers) })
	}
}

func benchOwner(b *testing.B, workers int) {
	p := newBenchPlatform(workers)
	o := p.startOwner(b)
	defer o.Close()
	l := &benchLoad{platform: p, owner: o, rate: benchStartsPerSecond * float64(min(workers, benchWorkersAtRate)) / benchWorkersAtRate}
	for p.holdsOf() < workers || !o.Ready() {
		time.Sleep(time.Millisecond)
	}
	for range workers / benchLastingTasks {
		l.submit(2)
	}
	l.run(int(l.rate)) // until the first runs end
	time.Sleep(time.Second)
	starts, holds, commits := p.counts()
	rows, bytes := p.written()
	cpu := processorTime()
	b.ReportAllocs()
	b.ResetTimer()
	l.run(b.N)
	b.StopTimer()
	cpu = processorTime() - cpu
	started, held, committed := p.counts()
	rowsWritten, bytesWritten := p.written()
	b.ReportMetric(float64(rowsWritten-rows)/float64(b.N), "rows/start")
	b.ReportMetric(float64(bytesWritten-bytes)/float64(b.N), "stored-B/start")
	b.ReportMetric(float64(cpu.Nanoseconds())/float64(b.N), "cpu-ns/start")
	b.ReportMetric(100*cpu.Seconds()/b.Elapsed().Seconds(), "cpu-%")
	b.ReportMetric(float64(started-starts)/b.Elapsed().Seconds(), "starts/s")
	b.ReportMetric(float64(held-holds)/b.Elapsed().Seconds(), "holds/s")
	b.ReportMetric(float64(committed-commits)/b.Elapsed().Seconds(), "commits/s")
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchLoad submits jobs to an owner at a steady rate of starts.
type benchLoad struct {
	platform *benchPlatform
	owner    *Owner
	rate     float64
	jobs     int
	kind     int
}

// run submits jobs with the given number of tasks: two thirds of them small jobs.
func (l *benchLoad) run(tasks int) {
	begin := time.Now()
	submitted := 0
	for submitted < tasks {
		due := begin.Add(time.Duration(float64(submitted) / l.rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		kind := 0
		if l.kind++; l.kind%7 == 0 {
			kind = 1
		}
		submitted += l.submit(kind)
	}
	time.Sleep(time.Until(begin.Add(time.Duration(float64(tasks) / l.rate * float64(time.Second)))))
}

// submit submits a job of a kind, and returns the number of its tasks.
func (l *benchLoad) submit(kind int) int {
	k := &benchKinds[kind]
	id := jobID(l.jobs)
	l.jobs++
	l.platform.addJob(id, k)
	l.owner.JobAccepted(cell.AcceptedJob{
		Job: workload.Job{ID: id, Queue: k.queue.Name, Steps: []workload.Step{k.step}}, Queue: k.queue,
	})
	return k.step.Tasks
}
