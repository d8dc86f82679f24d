package owner

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/logging"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
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

// benchPlatform is an in-memory platform whose calls cost little processor time.
type benchPlatform struct {
	*fakePlatform
	begin   time.Time
	byID    map[cell.WorkerID]*benchWorker
	mu      sync.Mutex
	kinds   map[workload.JobID]*benchKind
	starts  int
	stops   int
	holds   int
	commits int
	// rowsWritten and bytesWritten are the rows and the bytes of their values in all
	// commits.
	rowsWritten  int
	bytesWritten int
}

// benchWorker is a worker whose runs end by timers.
type benchWorker struct {
	mu      sync.Mutex
	running []benchRun
	ended   []cell.Ended
	number  int64
	// changed has an element when a run has ended.
	changed chan struct{}
}

// benchRun is a run that works from begin on for took.
type benchRun struct {
	cell.Running
	begin time.Time
	took  time.Duration
}

func newBenchPlatform(workers int) *benchPlatform {
	p := &benchPlatform{
		fakePlatform: newFakePlatform(0), begin: time.Now(), byID: make(map[cell.WorkerID]*benchWorker),
		kinds: make(map[workload.JobID]*benchKind),
	}
	for i := range workers {
		id := cell.WorkerID(fmt.Sprintf("i-%010x", i*7919))
		p.byID[id] = &benchWorker{changed: make(chan struct{}, 1)}
		key := rowstore.Key{Table: tableWorkers, Name: string(id)}
		p.rows[key] = rowstore.Row{Key: key, Version: 1}
	}
	return p
}

func (p *benchPlatform) startOwner(b *testing.B) *Owner {
	m := &manifest.Manifest{Version: 1}
	for i := range benchKinds {
		m.Queues = append(m.Queues, benchKinds[i].queue)
	}
	me := ledger.Owner{Host: "host", Incarnation: "host/1", Addr: netip.MustParseAddrPort("10.0.0.1:1"), Epoch: 1}
	initial := InitialState{Row: me, PredecessorsEnded: true, OtherHosts: benchHosts}
	ports := Ports{Store: p, Workers: p, Registrations: benchRegistrations{}, Advisor: p, Machines: p, WaveRows: p}
	log, stop := logging.New(zapcore.InfoLevel, io.Discard)
	b.Cleanup(stop)
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Reporter: tally.NullStatsReporter}, time.Second)
	b.Cleanup(func() { _ = closer.Close() })
	return New(fakeConfig(), initial, m, ports, benchAdvisors{p}, timer.NewSystem(), scope, log.With(zap.String("Host", "edge-1")))
}

func (p *benchPlatform) addJob(id workload.JobID, k *benchKind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kinds[id] = k
}

func (p *benchPlatform) counts() (starts, holds, commits int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts, p.holds, p.commits
}

func (p *benchPlatform) written() (rows, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rowsWritten, p.bytesWritten
}

func (p *benchPlatform) holdsOf() int {
	_, holds, _ := p.counts()
	return holds
}

func (p *benchPlatform) now() time.Duration { return time.Since(p.begin) }

// Commit stores nothing.
func (p *benchPlatform) Commit(ctx context.Context, t rowstore.Transaction) (rowstore.Result, error) {
	if err := sleep(ctx, benchCommit); err != nil {
		return rowstore.Result{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.commits++
	p.rowsWritten += len(t.Writes)
	for _, w := range t.Writes {
		p.bytesWritten += len(w.Value)
	}
	return rowstore.Result{Version: uint64(p.commits), Clock: p.now()}, nil
}

// Hold returns the report of a worker as soon as a run has ended, or after the wait.
func (p *benchPlatform) Hold(ctx context.Context, request cell.HoldRequest, _ uint64) (cell.Report, error) {
	p.mu.Lock()
	p.holds++
	p.mu.Unlock()
	w := p.byID[request.Worker]
	w.acknowledge(request.Acknowledged)
	if request.Wait > 0 {
		timeout := time.NewTimer(request.Wait)
		defer timeout.Stop()
		select {
		case <-w.changed:
		case <-timeout.C:
		case <-ctx.Done():
			return cell.Report{}, ctx.Err()
		}
	}
	return w.report(p.now()), nil
}

func (w *benchWorker) acknowledge(number int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.ended) > 0 && w.ended[0].Number <= number {
		w.ended = w.ended[1:]
	}
}

func (w *benchWorker) report(clock time.Duration) cell.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := cell.Report{Incarnation: 1, Clock: clock}
	out.Running = make([]cell.Running, len(w.running))
	for i, r := range w.running {
		out.Running[i] = r.Running
		out.Running[i].Percent = min(int(100*time.Since(r.begin)/r.took), 100)
	}
	out.Ended = append(out.Ended, w.ended...)
	return out
}

// end ends a run.
func (w *benchWorker) end(id workload.TaskID, how cell.EndKind) {
	w.mu.Lock()
	for i, r := range w.running {
		if r.Task == id {
			w.running = append(w.running[:i], w.running[i+1:]...)
			w.number++
			w.ended = append(w.ended, cell.Ended{Number: w.number, Task: id, Run: r.Run, Kind: how})
			break
		}
	}
	w.mu.Unlock()
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// Start starts a run.
func (p *benchPlatform) Start(_ context.Context, _ netip.AddrPort, s cell.SendStart, _ uint64) (cell.StartOutcome, error) {
	p.mu.Lock()
	p.starts++
	kind := p.kinds[s.Task.Job]
	p.mu.Unlock()
	w := p.byID[s.Worker]
	took := kind.took(s.Task)
	w.mu.Lock()
	w.running = append(w.running, benchRun{cell.Running{Task: s.Task, Run: s.Run}, time.Now(), took})
	w.mu.Unlock()
	if kind.lasts {
		return cell.StartOutcome{Clock: p.now()}, nil
	}
	time.AfterFunc(took, func() { w.end(s.Task, cell.EndDone) })
	return cell.StartOutcome{Clock: p.now()}, nil
}

// Stop ends a run.
func (p *benchPlatform) Stop(_ context.Context, _ netip.AddrPort, s cell.SendStop, _ uint64) (time.Duration, error) {
	p.mu.Lock()
	p.stops++
	p.mu.Unlock()
	p.byID[s.Worker].end(s.Task, cell.EndStopped)
	return p.now(), nil
}

// Advise allows the share of the workers that the kind of job is allowed on.
func (p *benchPlatform) Advise(ctx context.Context, step workload.StepID, asked []cell.WorkerID) (cell.Advice, error) {
	p.mu.Lock()
	kind := p.kinds[step.Job]
	p.mu.Unlock()
	if err := sleep(ctx, kind.queue.Advice.Cost(len(asked))); err != nil {
		return cell.Advice{}, err
	}
	out := cell.Advice{Step: step, Asked: asked, Valid: ticketValid}
	for _, id := range asked {
		h := fnv.New32a()
		_, _ = io.WriteString(h, string(step.Job)+string(id))
		if float64(h.Sum32()%1000) < 1000*kind.allowed {
			out.Allowed = append(out.Allowed, cell.Ticket{Worker: id, Value: "0123456789abcdef"})
		}
	}
	return out, nil
}

// benchHosts is the number of hosts besides the owner.
const benchHosts = 146

// benchAdvisors are the other hosts of the benchmark.
type benchAdvisors struct{ platform *benchPlatform }

func (benchAdvisors) List() []netip.AddrPort {
	out := make([]netip.AddrPort, benchHosts)
	for i := range out {
		out[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(i)}), 1)
	}
	return out
}

func (benchAdvisors) CountActive(time.Duration) int { return benchHosts }

func (a benchAdvisors) Advise(ctx context.Context, _ netip.AddrPort, step workload.StepID, asked []cell.WorkerID) (cell.Advice, error) {
	return a.platform.Advise(ctx, step, asked)
}

// benchRegistrations decodes the registrations of workers with 32 cores.
type benchRegistrations struct{ fakeRegistrations }

func (benchRegistrations) Decode(row rowstore.Row) (cell.Registration, error) {
	return cell.Registration{
		ID: cell.WorkerID(row.Name), Incarnation: 1, Machine: "m-" + row.Name, Service: "s",
		Addr: netip.MustParseAddrPort("10.0.1.1:1"), Labels: []string{"ka", "r1-1"},
		Capacity: job.Size{MilliCores: 32_000, MemoryMB: 131_072},
	}, nil
}
