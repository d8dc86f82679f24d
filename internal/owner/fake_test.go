package owner

import (
	"context"
	"encoding/base64"
	"errors"
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

// fakePlatform is an in-memory store, advice service and set of workers for tests in
// virtual time.
type fakePlatform struct {
	mu      sync.Mutex
	start   time.Time
	version uint64
	rows    map[rowstore.Key]rowstore.Row
	workers map[cell.WorkerID]*fakeWorker
	// tickets holds when each ticket was issued.
	tickets map[string]time.Time
	// startTakes is the latency of a start, and runTakes how long a task runs.
	startTakes time.Duration
	runTakes   time.Duration
	// linkTakes is how long the owner's link takes for a start, and linkFree when it has
	// sent the earlier ones.
	linkTakes time.Duration
	linkFree  time.Time
	// stopTakes is the latency of a stop.
	stopTakes time.Duration
	// connectTakes is the time until a stop, a change of pace or a maintenance
	// order arrives.
	connectTakes time.Duration
	// silent holds the workers that answer no call.
	silent map[cell.WorkerID]bool
	// paceTakes is the latency of a change to each pace, and paces holds those that
	// arrived.
	paceTakes map[int]time.Duration
	paces     []int
	// refused counts the refused starts by reason.
	refused map[cell.Refusal]int
	stops   map[string]int
	started map[workload.TaskID]bool
	// readTakes is the latency of a read if it exceeds fakeLatency.
	readTakes time.Duration
	// commitsHang is set while commits get no response. commitTakes is the latency of a
	// commit if it exceeds twice fakeLatency.
	commitsHang bool
	commitTakes time.Duration
	// commits is the number of commits in flight, and mostCommits the most there were.
	commits, mostCommits int
	// leaseUntil is the latest lease deadline of the hold calls.
	leaseUntil time.Duration
	// otherHosts is the number of other hosts. heardAt is when the owner last heard
	// from all of them, by the monotonic clock, or zero if it does all the time.
	otherHosts int
	heardAt    time.Time
	// inherited holds the workers that the row of the takeover names.
	inherited []string
	// firstHolds is the number of hold calls in flight that wait for nothing, and
	// maxFirstHolds the most there were. held holds the workers that have answered.
	firstHolds    int
	maxFirstHolds int
	held          map[cell.WorkerID]bool
	// log is the log of the owner, if it is set.
	log *zap.Logger
	// maintained counts the maintenance orders.
	maintained int
}

// fakeWorker holds the runs of a worker, and their ends until they are acknowledged.
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
	// maxRowBytes is the largest value that the platform's store accepts, and
	// maxCallBytes the largest call, in which values are base64.
	maxRowBytes  = 65536
	maxCallBytes = 1_000_000
)

var fakeManifest = &manifest.Manifest{Version: 1, Queues: []manifest.Queue{{
	Name: queueUrgent, Service: "s", MaxAttempts: 2, SlackFactor: 2, TargetLatency: time.Second,
	Advice: manifest.Advice{Fixed: 25 * time.Millisecond, PerWorker: time.Millisecond, ValidFor: ticketValid},
}}}

// newFakePlatform must be called in the synctest bubble of the test.
func newFakePlatform(workers int) *fakePlatform {
	p := &fakePlatform{
		start: time.Now(), rows: make(map[rowstore.Key]rowstore.Row), workers: make(map[cell.WorkerID]*fakeWorker),
		tickets: make(map[string]time.Time), refused: make(map[cell.Refusal]int), stops: make(map[string]int),
		started: make(map[workload.TaskID]bool), held: make(map[cell.WorkerID]bool), silent: make(map[cell.WorkerID]bool),
	}
	for i := range workers {
		id := workerID(i)
		p.workers[id] = &fakeWorker{running: make(map[workload.TaskID]fakeRun)}
		key := rowstore.Key{Table: tableWorkers, Name: string(id)}
		p.version++
		p.rows[key] = rowstore.Row{Key: key, Version: p.version}
	}
	return p
}

// startOwner starts an owner of the cell.
func (p *fakePlatform) startOwner() *Owner { return p.startOwnerWith(fakeConfig(), timer.NewSystem()) }

func fakeConfig() Config {
	return Config{
		RenewEvery: 400 * time.Millisecond,
		Cell: cell.Config{
			Lease: 3200 * time.Millisecond, MaxLease: 6 * time.Second, ContactTimeout: 1500 * time.Millisecond,
			StopRetryInterval: 800 * time.Millisecond, KeepEnded: time.Minute,
		},
	}
}

// wholePlatform is a platform but for the entries of its workers.
type wholePlatform interface {
	Store
	Workers
	Advisor
	Machines
	WaveRows
}

// portsOf returns the ports of an owner on a platform.
func portsOf(p wholePlatform, registrations Registrations) Ports {
	return Ports{Store: p, Workers: p, Registrations: registrations, Advisor: p, Machines: p, WaveRows: p}
}

func (p *fakePlatform) startOwnerWith(config Config, timers timer.Service) *Owner {
	ports := portsOf(p, fakeRegistrations{})
	return p.startOwnerOn(config, ports, timers)
}

func (p *fakePlatform) startOwnerOn(config Config, ports Ports, timers timer.Service) *Owner {
	me := ledger.Owner{Host: "host", Incarnation: "host/1", Addr: netip.MustParseAddrPort("10.0.0.1:1"), Epoch: 1, EarlyStartWorkers: p.inherited}
	initial := InitialState{Row: me, PredecessorsEnded: true, OtherHosts: p.otherHosts}
	log := p.log
	if log == nil {
		log = zap.NewNop()
	}
	return New(config, initial, fakeManifest, ports, noHosts{p.otherHostsHeard}, timers, tally.NoopScope, log)
}

// otherHostsHeard returns the number of hosts that the owner heard within a time.
func (p *fakePlatform) otherHostsHeard(within time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.heardAt.IsZero() && time.Since(p.heardAt) > within {
		return 0
	}
	return p.otherHosts
}

// accept notifies the owner of accepted jobs with one step each.
func accept(o *Owner, jobs, tasks int) { acceptFrom(o, 0, jobs, tasks) }

// acceptFrom is accept with the number of the first job.
func acceptFrom(o *Owner, first, jobs, tasks int) {
	acceptSized(o, first, jobs, tasks, job.Size{MilliCores: 100, MemoryMB: 10})
}

// acceptSized is acceptFrom with the size of each task.
func acceptSized(o *Owner, first, jobs, tasks int, size job.Size) {
	for i := first; i < first+jobs; i++ {
		step := workload.Step{Tasks: tasks, Size: size, Estimate: time.Second, Checkpoints: true}
		id := jobID(i)
		o.JobAccepted(cell.AcceptedJob{
			Job:   workload.Job{ID: id, Queue: queueUrgent, Steps: []workload.Step{step}},
			Queue: fakeManifest.Queues[0],
		})
	}
}

func jobID(number int) workload.JobID { return workload.JobID(fmt.Sprintf("%016x", number+1)) }

func workerID(number int) cell.WorkerID { return cell.WorkerID(fmt.Sprintf("w%02d", number)) }

// awaitAnswer returns at once, or with the error of the context if the worker is silent.
func (p *fakePlatform) awaitAnswer(ctx context.Context, id cell.WorkerID) error {
	p.mu.Lock()
	silent := p.silent[id]
	p.mu.Unlock()
	if !silent {
		return nil
	}
	return sleep(ctx, time.Hour)
}

func (p *fakePlatform) clock() time.Duration { return time.Since(p.start) }

func sleep(ctx context.Context, took time.Duration) error {
	select {
	case <-time.After(took):
		return nil
	case <-ctx.Done():
		return fault.New("call", rowstore.KindUnknown, "%w", ctx.Err())
	}
}

// Commit applies the writes and then the deletes of a transaction. It ignores conditions,
// and rejects values above maxRowBytes and calls above maxCallBytes.
func (p *fakePlatform) Commit(ctx context.Context, t rowstore.Transaction) (rowstore.Result, error) {
	p.mu.Lock()
	p.commits++
	p.mostCommits = max(p.mostCommits, p.commits)
	takes, hang := max(2*fakeLatency, p.commitTakes), p.commitsHang
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.commits--
	}()
	if err := sleep(ctx, takes); err != nil {
		return rowstore.Result{}, err
	}
	if hang {
		<-ctx.Done()
		return rowstore.Result{}, fault.New("commit", rowstore.KindUnknown, "%w", ctx.Err())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	size := 0
	for _, w := range t.Writes {
		if len(w.Value) > maxRowBytes {
			return rowstore.Result{}, fault.New("commit", rowstore.KindInvalid, "row %s has %d bytes", w.Name, len(w.Value))
		}
		size += base64.StdEncoding.EncodedLen(len(w.Value)) + len(w.Table) + len(w.Partition) + len(w.Name)
	}
	if size > maxCallBytes {
		return rowstore.Result{}, fault.New("commit", rowstore.KindInvalid, "a call of %d bytes", size)
	}
	p.version++
	for _, w := range t.Writes {
		p.rows[w.Key] = rowstore.Row{Key: w.Key, Value: w.Value, Version: p.version}
	}
	for _, key := range t.Deletes {
		delete(p.rows, key)
	}
	return rowstore.Result{Version: p.version, Clock: p.clock()}, nil
}

// Read returns the rows of a range.
func (p *fakePlatform) Read(ctx context.Context, r rowstore.Range) (rowstore.Snapshot, error) {
	p.mu.Lock()
	takes := max(fakeLatency, p.readTakes)
	p.mu.Unlock()
	if err := sleep(ctx, takes); err != nil {
		return rowstore.Snapshot{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	out := rowstore.Snapshot{Version: p.version, Clock: p.clock()}
	for key, row := range p.rows {
		if key.Table == r.Table && key.Partition == r.Partition {
			out.Rows = append(out.Rows, row)
		}
	}
	slices.SortFunc(out.Rows, func(a, b rowstore.Row) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// Follow returns after the wait without a change.
func (p *fakePlatform) Follow(ctx context.Context, _ string, after uint64, wait time.Duration) (rowstore.Snapshot, error) {
	return rowstore.Snapshot{Version: after}, sleep(ctx, wait)
}

func (p *fakePlatform) countFirstHold(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.firstHolds += n
	p.maxFirstHolds = max(p.maxFirstHolds, p.firstHolds)
}

// Hold returns the report of a worker, as soon as a run has ended or after the wait.
func (p *fakePlatform) Hold(ctx context.Context, request cell.HoldRequest, _ uint64) (cell.Report, error) {
	if request.Wait == 0 {
		p.countFirstHold(1)
		defer p.countFirstHold(-1)
	}
	if err := p.awaitAnswer(ctx, request.Worker); err != nil {
		return cell.Report{}, err
	}
	until := time.Now().Add(max(request.Wait, fakeLatency))
	for {
		report, done := p.report(request)
		if done || !time.Now().Before(until) {
			return report, nil
		}
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return cell.Report{}, err
		}
	}
}

func (p *fakePlatform) report(request cell.HoldRequest) (cell.Report, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaseUntil = max(p.leaseUntil, request.Deadline)
	p.held[request.Worker] = true
	w := p.workers[request.Worker]
	w.ended = slices.DeleteFunc(w.ended, func(e cell.Ended) bool { return e.Number <= request.Acknowledged })
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

// Start starts a run, unless its ticket or its lease has expired.
func (p *fakePlatform) Start(ctx context.Context, _ netip.AddrPort, s cell.SendStart, _ uint64) (cell.StartOutcome, error) {
	if err := errors.Join(p.awaitAnswer(ctx, s.Worker), sleep(ctx, p.startLatency())); err != nil {
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

func (p *fakePlatform) startLatency() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.linkTakes == 0 {
		return p.startTakes
	}
	p.linkFree = latest(p.linkFree, time.Now()).Add(p.linkTakes)
	return time.Until(p.linkFree) + p.startTakes
}

// Stop counts the stops of each run and ends the run.
func (p *fakePlatform) Stop(ctx context.Context, _ netip.AddrPort, s cell.SendStop, _ uint64) (time.Duration, error) {
	if err := errors.Join(p.awaitAnswer(ctx, s.Worker), sleep(ctx, p.connectTakes)); err != nil {
		return 0, err
	}
	p.mu.Lock()
	p.stops[fmt.Sprint(s.Task, " ", s.Run)]++
	p.mu.Unlock()
	if err := sleep(ctx, p.stopTakes); err != nil {
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

// SetPace records the pace when the call arrives.
func (p *fakePlatform) SetPace(ctx context.Context, _ netip.AddrPort, order cell.SetPace, _ uint64) error {
	if err := sleep(ctx, p.connectTakes+p.paceTakes[order.Percent]); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paces = append(p.paces, order.Percent)
	return nil
}

// Advise allows every worker.
func (p *fakePlatform) Advise(ctx context.Context, step workload.StepID, asked []cell.WorkerID) (cell.Advice, error) {
	if err := sleep(ctx, fakeManifest.Queues[0].Advice.Cost(len(asked))); err != nil {
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

// Maintenance counts the orders and carries none out.
func (p *fakePlatform) Maintenance(ctx context.Context, _ cell.Maintenance, _ uint64) (cell.MaintenanceOutcome, error) {
	if err := sleep(ctx, p.connectTakes); err != nil {
		return cell.MaintenanceRetry, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maintained++
	return cell.MaintenanceRetry, nil
}

// WaveRow is never called, since there is no wave.
func (p *fakePlatform) WaveRow(cell.WaveStatus) (rowstore.Write, error) { return rowstore.Write{}, nil }

// fakeRegistrations decodes the registrations of workers, all of the same size.
type fakeRegistrations struct{}

func (fakeRegistrations) Table() string { return tableWorkers }

func (fakeRegistrations) Decode(row rowstore.Row) (cell.Registration, error) {
	return cell.Registration{
		ID: cell.WorkerID(row.Name), Incarnation: 1, Service: "s", Addr: netip.MustParseAddrPort("10.0.1.1:1"),
		Capacity: job.Size{MilliCores: 100_000, MemoryMB: 100_000},
	}, nil
}

// noHosts is the RemoteAdvisors of an owner whose other hosts give no advice.
type noHosts struct{ heard func(time.Duration) int }

func (noHosts) List() []netip.AddrPort                 { return nil }
func (noHosts) Successors() []netip.AddrPort           { return nil }
func (h noHosts) CountActive(within time.Duration) int { return h.heard(within) }
func (noHosts) Advise(context.Context, netip.AddrPort, workload.StepID, []cell.WorkerID) (cell.Advice, error) {
	return cell.Advice{}, fault.New("advise", KindClosed, "there is no other host")
}
