package owner

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// fakePlatform is a store, an advice service and workers in the memory of a
// test, which runs in virtual time.
type fakePlatform struct {
	mu      sync.Mutex
	began   time.Time
	version uint64
	rows    map[rowstore.Key]rowstore.Row
	workers map[cell.WorkerID]*fakeWorker
	// tickets has when each ticket was given.
	tickets map[string]time.Time
	// startTakes is how long a start is on its way, and runTakes how long a task
	// runs.
	startTakes time.Duration
	runTakes   time.Duration
	// stopTakes is how long a stop is on its way.
	stopTakes time.Duration
	// paceTakes is how long a change to each pace is on its way, and paces has
	// those that were carried out.
	paceTakes map[int]time.Duration
	paces     []int
	// refused counts the starts that came too late, by the reason.
	refused map[cell.Refusal]int
	stops   map[string]int
	started map[workload.TaskID]bool
	// readTakes is how long a read takes, if that is long.
	readTakes time.Duration
}

// fakeWorker runs what it is told to.
type fakeWorker struct {
	running map[workload.TaskID]fakeRun
	ended   []cell.Ended
	number  int64
}

type fakeRun struct {
	number int
	until  time.Time
}

const (
	tableWorkers = "workers"
	queueUrgent  = "urgent"
	ticketValid  = 2500 * time.Millisecond
	fakeLatency  = 4 * time.Millisecond
	// maxRowBytes is the largest value that the platform's store takes.
	maxRowBytes = 65536
)

var fakeManifest = &manifest.Manifest{Version: 1, Queues: []manifest.Queue{{
	Name: queueUrgent, Service: "s", MaxAttempts: 2, SlackFactor: 2, TargetLatency: time.Second,
	Advice: manifest.Advice{Fixed: 25 * time.Millisecond, PerWorker: time.Millisecond, Valid: ticketValid},
}}}

// newFakePlatform must be called in the bubble of the test.
func newFakePlatform(workers int) *fakePlatform {
	p := &fakePlatform{
		began: time.Now(), rows: make(map[rowstore.Key]rowstore.Row), workers: make(map[cell.WorkerID]*fakeWorker),
		tickets: make(map[string]time.Time), refused: make(map[cell.Refusal]int), stops: make(map[string]int),
		started: make(map[workload.TaskID]bool),
	}
	for i := range workers {
		id := cell.WorkerID(fmt.Sprintf("w%02d", i))
		p.workers[id] = &fakeWorker{running: make(map[workload.TaskID]fakeRun)}
		key := rowstore.Key{Table: tableWorkers, Name: string(id)}
		p.version++
		p.rows[key] = rowstore.Row{Key: key, Version: p.version}
	}
	return p
}

// own starts an owner of the cell.
func (p *fakePlatform) own() *Owner {
	config := Config{
		RenewEvery: 400 * time.Millisecond,
		Cell: cell.Config{
			Lease: 3200 * time.Millisecond, MaxLease: 6 * time.Second, ContactTimeout: 1500 * time.Millisecond,
			StopRetryInterval: 800 * time.Millisecond, KeepEnded: time.Minute,
		},
	}
	me := ledger.Owner{Host: "host", Incarnation: "host/1", Addr: netip.MustParseAddrPort("10.0.0.1:1"), Epoch: 1}
	tenure := Tenure{Me: me, PreviousEnded: true}
	ports := Ports{Store: p, Workers: p, Listing: fakeListing{}, Advisor: p, Machines: p, WaveRows: p}
	return New(config, tenure, fakeManifest, ports, noHosts{}, timer.NewSystem(), tally.NoopScope, zap.NewNop())
}

// accept hands the owner jobs of one step each.
func accept(o *Owner, jobs, tasks int) { acceptFrom(o, 0, jobs, tasks) }

// acceptFrom is accept for jobs that are numbered from a first one.
func acceptFrom(o *Owner, first, jobs, tasks int) {
	for i := first; i < first+jobs; i++ {
		step := workload.Step{
			Tasks: tasks, Size: job.Size{MilliCores: 100, MemoryMB: 10}, Estimate: time.Second, Checkpoints: true,
		}
		id := jobID(i)
		o.JobAccepted(cell.AcceptedJob{
			Job:   workload.Job{ID: id, Queue: queueUrgent, Steps: []workload.Step{step}},
			Queue: fakeManifest.Queues[0],
		})
	}
}

func jobID(number int) workload.JobID { return workload.JobID(fmt.Sprintf("%016x", number+1)) }

func (p *fakePlatform) clock() time.Duration { return time.Since(p.began) }

func wait(ctx context.Context, took time.Duration) error {
	select {
	case <-time.After(took):
		return nil
	case <-ctx.Done():
		return fault.New("call", rowstore.KindUnknown, "%w", ctx.Err())
	}
}

// Commit carries out a transaction.
func (p *fakePlatform) Commit(ctx context.Context, t rowstore.Transaction) (rowstore.Result, error) {
	if err := wait(ctx, 2*fakeLatency); err != nil {
		return rowstore.Result{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range t.Writes {
		if len(w.Value) > maxRowBytes {
			return rowstore.Result{}, fault.New("commit", rowstore.KindInvalid, "row %s has %d bytes", w.Name, len(w.Value))
		}
	}
	p.version++
	for _, w := range t.Writes {
		p.rows[w.Key] = rowstore.Row{Key: w.Key, Value: w.Value, Version: p.version}
	}
	return rowstore.Result{Version: p.version, Clock: p.clock()}, nil
}

// Read returns the rows of a range.
func (p *fakePlatform) Read(ctx context.Context, r rowstore.Range) (rowstore.Snapshot, error) {
	p.mu.Lock()
	takes := max(fakeLatency, p.readTakes)
	p.mu.Unlock()
	if err := wait(ctx, takes); err != nil {
		return rowstore.Snapshot{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	out := rowstore.Snapshot{Version: p.version, Clock: p.clock()}
	for key, row := range p.rows {
		if key.Table == r.Table && key.Part == r.Part {
			out.Rows = append(out.Rows, row)
		}
	}
	slices.SortFunc(out.Rows, func(a, b rowstore.Row) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// Follow tells of no change.
func (p *fakePlatform) Follow(ctx context.Context, _ string, after uint64, span time.Duration) (rowstore.Snapshot, error) {
	return rowstore.Snapshot{Version: after}, wait(ctx, span)
}

// Hold reports what a worker runs.
func (p *fakePlatform) Hold(ctx context.Context, plan cell.HoldRequest, _ uint64) (cell.Report, error) {
	until := time.Now().Add(max(plan.Wait, fakeLatency))
	for {
		report, done := p.report(plan)
		if done || !time.Now().Before(until) {
			return report, nil
		}
		if err := wait(ctx, 20*time.Millisecond); err != nil {
			return cell.Report{}, err
		}
	}
}

func (p *fakePlatform) report(plan cell.HoldRequest) (cell.Report, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[plan.Worker]
	w.ended = slices.DeleteFunc(w.ended, func(e cell.Ended) bool { return e.Number <= plan.Acknowledged })
	out := cell.Report{Incarnation: 1, Clock: p.clock()}
	byName := func(a, b workload.TaskID) int { return strings.Compare(a.String(), b.String()) }
	for _, id := range slices.SortedFunc(maps.Keys(w.running), byName) {
		r := w.running[id]
		if r.until.After(time.Now()) {
			percent := int(100 - 100*time.Until(r.until)/max(p.runTakes, 1))
			out.Running = append(out.Running, cell.Running{Task: id, Run: r.number, Percent: percent})
			continue
		}
		delete(w.running, id)
		w.number++
		w.ended = append(w.ended, cell.Ended{Number: w.number, Task: id, Run: r.number, Kind: cell.EndDone})
	}
	out.Ended = slices.Clone(w.ended)
	return out, len(out.Ended) > 0
}

// Start begins a run, unless its ticket or its lease has run out.
func (p *fakePlatform) Start(ctx context.Context, _ netip.AddrPort, s cell.SendStart, _ uint64) (cell.StartOutcome, error) {
	if err := wait(ctx, p.startTakes); err != nil {
		return cell.StartOutcome{Unknown: true}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	outcome := cell.StartOutcome{Clock: p.clock()}
	switch {
	case time.Since(p.tickets[s.Ticket]) > ticketValid:
		outcome.Refused = cell.RefusedTicket
	case p.clock() > s.Deadline:
		outcome.Refused = cell.RefusedLate
	}
	if outcome.Refused != "" {
		p.refused[outcome.Refused]++
		return outcome, nil
	}
	p.started[s.Task] = true
	p.workers[s.Worker].running[s.Task] = fakeRun{number: s.Run, until: time.Now().Add(p.runTakes)}
	return outcome, nil
}

// Stop counts the stops of each run.
func (p *fakePlatform) Stop(ctx context.Context, _ netip.AddrPort, s cell.SendStop, _ uint64) (time.Duration, error) {
	p.mu.Lock()
	p.stops[fmt.Sprint(s.Task, " ", s.Run)]++
	p.mu.Unlock()
	if err := wait(ctx, p.stopTakes); err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[s.Worker]
	if r, there := w.running[s.Task]; there && r.number == s.Run {
		delete(w.running, s.Task)
		w.number++
		w.ended = append(w.ended, cell.Ended{Number: w.number, Task: s.Task, Run: s.Run, Kind: cell.EndStopped})
	}
	return p.clock(), nil
}

// SetPace notes the pace when the call arrives.
func (p *fakePlatform) SetPace(ctx context.Context, _ netip.AddrPort, order cell.SetPace, _ uint64) error {
	if err := wait(ctx, p.paceTakes[order.Percent]); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paces = append(p.paces, order.Percent)
	return nil
}

// Advise allows every worker.
func (p *fakePlatform) Advise(ctx context.Context, step workload.StepID, asked []cell.WorkerID) (cell.Advice, error) {
	if err := wait(ctx, fakeManifest.Queues[0].Advice.Cost(len(asked))); err != nil {
		return cell.Advice{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	out := cell.Advice{Step: step, Asked: asked, Valid: ticketValid}
	for _, id := range asked {
		value := fmt.Sprint("ticket ", len(p.tickets))
		p.tickets[value] = time.Now()
		out.Allowed = append(out.Allowed, cell.Ticket{Worker: id, Value: value})
	}
	return out, nil
}

// Maintenance is not called, since there is no wave.
func (p *fakePlatform) Maintenance(context.Context, cell.Maintenance, uint64) (cell.MaintenanceOutcome, error) {
	return cell.MaintenanceRetry, nil
}

// WaveRow is not called, since there is no wave.
func (p *fakePlatform) WaveRow(cell.WaveStatus) (rowstore.Write, error) { return rowstore.Write{}, nil }

// fakeListing reads the list of workers, all of the same size.
type fakeListing struct{}

func (fakeListing) Table() string { return tableWorkers }

func (fakeListing) Decode(row rowstore.Row) (cell.Registration, error) {
	return cell.Registration{
		ID: cell.WorkerID(row.Name), Incarnation: 1, Service: "s", Addr: netip.MustParseAddrPort("10.0.1.1:1"),
		Capacity: job.Size{MilliCores: 100_000, MemoryMB: 100_000},
	}, nil
}

// noHosts are the hosts of a cell that has only one.
type noHosts struct{}

func (noHosts) List() []netip.AddrPort  { return nil }
func (noHosts) Heard(time.Duration) int { return 0 }
func (noHosts) Advise(context.Context, netip.AddrPort, workload.StepID, []cell.WorkerID) (cell.Advice, error) {
	return cell.Advice{}, fault.New("advise", KindClosed, "there is no other host")
}
