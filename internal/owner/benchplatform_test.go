package owner

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/netip"
	"sync"
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
	ports := portsOf(p, benchRegistrations{})
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

func (a benchAdvisors) Successors() []netip.AddrPort { return a.List() }

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
