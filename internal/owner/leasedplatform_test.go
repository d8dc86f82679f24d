package owner

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	leasedWorkers = 4
	// leasedSlots is the number of tasks that fit on a worker.
	leasedSlots = 16
	// shortRun is how long most tasks run, and longRun how long one of longRunShare does.
	shortRun     = 700 * time.Millisecond
	longRun      = 4 * time.Second
	longRunShare = 8
	submitEvery  = 40 * time.Millisecond
	// entryInterval is the interval at which workers renew their entries.
	entryInterval = 500 * time.Millisecond
	// holdPollInterval is how often a waiting hold call looks for ends, and
	// followPollInterval how often the feed of the entries looks for changes.
	holdPollInterval   = 5 * time.Millisecond
	followPollInterval = 50 * time.Millisecond
)

// leasedPlatform is a fakePlatform with workers that keep leases and renew their entries.
// Answers to calls of the owner can be lost or late, although nothing else is impaired.
type leasedPlatform struct {
	*fakePlatform

	// mu of the fakePlatform guards the fields below.
	machines map[cell.WorkerID]*leasedWorker
	// starts holds the runs that have begun, in order.
	starts []*leasedRun
	// outages has what happens to the answers of workers to hold calls.
	outages map[cell.WorkerID]*answerOutage
	// unread counts the ends that were listed in answers that were lost or late.
	unread int
	// orderDelay is by how much starts and stops arrive late at a worker, which may be
	// after their timeout, and stopsPrompt is set if stops are not late.
	orderDelay  map[cell.WorkerID]time.Duration
	stopsPrompt bool
	// startSent is called with each start that the owner sends, if it is set.
	startSent func(cell.SendStart)
	// stalled is the period in which the owner's process gets no processor time.
	stalled stall
	// jobs holds the submitted jobs, and runTime how long their tasks run.
	jobs    []workload.JobID
	runTime map[workload.JobID]time.Duration
}

// answerFault is what happens to an answer.
type answerFault int

const (
	// answerReset loses each answer: its connection is reset, so that the call fails at
	// once.
	answerReset answerFault = iota
	// answerLate delays each answer to the end of the outage; its call may have timed out
	// by then.
	answerLate
	// requestLost loses each request, and its call fails at once.
	requestLost
)

func (f answerFault) String() string {
	return [...]string{"connections reset", "answers late", "requests lost"}[f]
}

// answerOutage is a period in which the answers of a worker are lost or late.
type answerOutage struct {
	fault answerFault
	lasts time.Duration
	// begun is set once the last answer before the outage has arrived, at begin.
	begun bool
	begin time.Duration
}

// stall is a period in which the owner's process gets no processor time. What arrives in
// it is read afterwards: the answers of one worker after last, all others after first.
type stall struct {
	from, to    time.Duration
	last, first time.Duration
	worker      cell.WorkerID
}

func newLeasedPlatform() *leasedPlatform {
	p := &leasedPlatform{
		fakePlatform: newFakePlatform(leasedWorkers), machines: make(map[cell.WorkerID]*leasedWorker),
		outages: make(map[cell.WorkerID]*answerOutage), orderDelay: make(map[cell.WorkerID]time.Duration),
		runTime: make(map[workload.JobID]time.Duration),
	}
	for id := range p.workers {
		p.machines[id] = newLeasedWorker(id, leasedSlots, fakeConfig().Cell.MaxLease)
	}
	return p
}

// startOwner starts the owner of an epoch. No earlier owner can grant a lease any longer.
func (p *leasedPlatform) startOwner(epoch uint64) *Owner {
	me := ledger.Owner{Host: "host", Incarnation: fmt.Sprintf("host/%d", epoch), Addr: netip.MustParseAddrPort("10.0.0.1:1"), Epoch: epoch}
	ports := portsOf(p, leasedRegistrations{})
	log := p.log
	if log == nil {
		log = zap.NewNop()
	}
	initial := InitialState{Row: me, PredecessorsEnded: true}
	return New(fakeConfig(), initial, overloadManifest, ports, noHosts{p.otherHostsHeard}, stalledTimers{timer.NewSystem(), p}, tally.NoopScope, log)
}

// submit stores a job of one task, which runs for a time, and notifies the owner.
func (p *leasedPlatform) submit(t *testing.T, o *Owner, runTime time.Duration) {
	t.Helper()
	step := workload.Step{Tasks: 1, Size: job.Size{MilliCores: 100, MemoryMB: 10}, Estimate: runTime}
	accepted := cell.AcceptedJob{Queue: overloadManifest.Queues[0]}
	accepted.Job = workload.Job{ID: jobID(len(p.jobs)), Queue: accepted.Queue.Name, Steps: []workload.Step{step}}
	value, err := ledger.EncodeJob(accepted)
	if err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	p.jobs = append(p.jobs, accepted.Job.ID)
	p.runTime[accepted.Job.ID] = runTime
	p.version++
	key := ledger.JobKey(accepted.Job.ID)
	p.rows[key] = rowstore.Row{Key: key, Value: value, Version: p.version}
	p.mu.Unlock()
	o.JobAccepted(accepted)
}

// submitFor submits jobs for some time. The runs of some of them last for longer than a
// lease, so that they end with the lease of a worker that gets no hold calls.
func (p *leasedPlatform) submitFor(t *testing.T, o *Owner, lasts time.Duration) {
	t.Helper()
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(submitEvery) {
		runTime := shortRun
		if len(p.jobs)%longRunShare == 0 {
			runTime = longRun
		}
		p.submit(t, o, runTime)
	}
}

// renewEntries renews the entries of all workers until the context ends.
func (p *leasedPlatform) renewEntries(ctx context.Context) {
	for n := 1; sleep(ctx, entryInterval) == nil; n++ {
		p.mu.Lock()
		for id := range p.machines {
			key := rowstore.Key{Table: tableWorkers, Name: string(id)}
			p.version++
			p.rows[key] = rowstore.Row{Key: key, Value: []byte(strconv.Itoa(n)), Version: p.version}
		}
		p.mu.Unlock()
	}
}

// busiest returns the worker with the most runs.
func (p *leasedPlatform) busiest() cell.WorkerID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found cell.WorkerID
	for i := range leasedWorkers {
		id := workerID(i)
		if found == "" || len(p.machines[id].running) > len(p.machines[found].running) {
			found = id
		}
	}
	return found
}

// breakAnswers loses or delays the answers of a worker to hold calls for some time since
// its next answer.
func (p *leasedPlatform) breakAnswers(id cell.WorkerID, f answerFault, lasts time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outages[id] = &answerOutage{fault: f, lasts: lasts}
}

// stallOwner takes the processor from the process of an owner. What arrives meanwhile is
// read after the event loop has handled the tick that is due: the answers of the given
// worker after last, all others after first.
func (p *leasedPlatform) stallOwner(o *Owner, lasts time.Duration, id cell.WorkerID, first, last time.Duration) {
	p.mu.Lock()
	p.stalled = stall{from: p.clock(), to: p.clock() + lasts, first: first, last: last, worker: id}
	p.mu.Unlock()
	o.put(loopFunc(func(*Owner) { time.Sleep(lasts) }))
}

// stalledTimers is the timer service of an owner whose process may be stalled: what is due
// in that period happens at its end.
type stalledTimers struct {
	*timer.System
	platform *leasedPlatform
}

func (s stalledTimers) After(wait time.Duration) *timer.Subscription {
	p := s.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	if due := p.clock() + wait; due >= p.stalled.from && due < p.stalled.to {
		wait = p.stalled.to - p.clock()
	}
	return s.System.After(wait)
}

// Follow returns the entries of workers that were renewed since a version.
func (p *leasedPlatform) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Snapshot, error) {
	if table != tableWorkers {
		return p.fakePlatform.Follow(ctx, table, after, wait)
	}
	until := time.Now().Add(wait)
	for {
		if err := sleep(ctx, followPollInterval); err != nil {
			return rowstore.Snapshot{}, err
		}
		p.mu.Lock()
		out := rowstore.Snapshot{Version: max(p.version, after)}
		for i := range leasedWorkers {
			if row := p.rows[rowstore.Key{Table: tableWorkers, Name: string(workerID(i))}]; row.Version > after {
				out.Rows = append(out.Rows, row)
			}
		}
		p.mu.Unlock()
		if len(out.Rows) > 0 || !time.Now().Before(until) {
			p.awaitProcessor("")
			return out, nil
		}
	}
}

// Commit applies the writes of a transaction.
func (p *leasedPlatform) Commit(ctx context.Context, t rowstore.Transaction) (rowstore.Result, error) {
	defer p.awaitProcessor("")
	return p.fakePlatform.Commit(context.WithoutCancel(ctx), t)
}

// Read returns the rows of a range.
func (p *leasedPlatform) Read(ctx context.Context, r rowstore.Range) (rowstore.Snapshot, error) {
	defer p.awaitProcessor("")
	return p.fakePlatform.Read(context.WithoutCancel(ctx), r)
}

// awaitProcessor returns once an answer that has arrived now is read. The answers of a
// worker may be read later than others.
func (p *leasedPlatform) awaitProcessor(from cell.WorkerID) {
	p.mu.Lock()
	s, now := p.stalled, p.clock()
	p.mu.Unlock()
	if now < s.from || now >= s.to {
		return
	}
	read := s.to + s.first
	if from != "" && from == s.worker {
		read = s.to + s.last
	}
	time.Sleep(read - now)
}

// Hold returns the report of a worker, as soon as there are ends or after the wait.
func (p *leasedPlatform) Hold(ctx context.Context, request cell.HoldRequest, fence uint64) (cell.Report, error) {
	lost := fault.New("hold", rowstore.KindUnknown, "connection reset")
	if err := sleep(ctx, fakeLatency/2); err != nil {
		return cell.Report{}, err
	}
	if o := p.outageOf(request.Worker); o != nil && o.fault == requestLost {
		return cell.Report{}, lost
	}
	p.mu.Lock()
	w := p.machines[request.Worker]
	err := w.begin(p.clock(), request, fence)
	p.mu.Unlock()
	if err != nil {
		return cell.Report{}, err
	}
	for until := time.Now().Add(request.Wait); time.Now().Before(until) && !p.hasEnds(w); {
		if err := sleep(ctx, holdPollInterval); err != nil {
			return cell.Report{}, err
		}
		if o := p.outageOf(request.Worker); o != nil && o.fault == requestLost {
			return cell.Report{}, lost
		}
	}
	p.mu.Lock()
	report := w.report(p.clock())
	p.mu.Unlock()
	if err := sleep(ctx, fakeLatency/2); err != nil {
		return cell.Report{}, err
	}
	if o := p.outageOf(request.Worker); o != nil {
		p.countUnread(report)
		if o.fault != answerLate {
			return cell.Report{}, lost
		}
		if err := sleep(ctx, o.begin+o.lasts-p.clock()); err != nil {
			return cell.Report{}, err
		}
		return report, nil
	}
	p.beginOutage(request.Worker)
	p.awaitProcessor(request.Worker)
	return report, nil
}

func (p *leasedPlatform) hasEnds(w *leasedWorker) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return w.hasEnds(p.clock())
}

// outageOf returns the outage that affects an answer of a worker now, or nil.
func (p *leasedPlatform) outageOf(id cell.WorkerID) *answerOutage {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o := p.outages[id]; o != nil && o.begun && p.clock() < o.begin+o.lasts {
		return o
	}
	return nil
}

// beginOutage begins the outage of a worker, if there is one, with an answer that arrives.
func (p *leasedPlatform) beginOutage(id cell.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o := p.outages[id]; o != nil && !o.begun {
		o.begun, o.begin = true, p.clock()
	}
}

func (p *leasedPlatform) countUnread(report cell.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range report.Ended {
		if e.Kind == cell.EndDone {
			p.unread++
		}
	}
}

// Start starts a run, which may happen after the call has timed out.
func (p *leasedPlatform) Start(ctx context.Context, _ netip.AddrPort, s cell.SendStart, fence uint64) (cell.StartOutcome, error) {
	p.mu.Lock()
	delay, sent := p.orderDelay[s.Worker], p.startSent
	p.mu.Unlock()
	if sent != nil {
		sent(s)
	}
	answers := make(chan cell.StartOutcome, 1)
	go func() {
		time.Sleep(fakeLatency/2 + delay)
		answers <- p.startRun(s, fence)
	}()
	select {
	case outcome := <-answers:
		time.Sleep(fakeLatency / 2)
		p.awaitProcessor(s.Worker)
		return outcome, nil
	case <-ctx.Done():
		return cell.StartOutcome{Unknown: true}, fault.New("start", rowstore.KindUnknown, "%w", ctx.Err())
	}
}

func (p *leasedPlatform) startRun(s cell.SendStart, fence uint64) cell.StartOutcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, refused := p.machines[s.Worker].start(p.clock(), s, fence, p.runTime[s.Task.Job])
	if r != nil {
		p.starts = append(p.starts, r)
	}
	if refused != "" {
		p.refused[refused]++
	}
	return cell.StartOutcome{Refused: refused, Clock: p.clock()}
}

// Stop stops a run, which may happen after the call has timed out.
func (p *leasedPlatform) Stop(ctx context.Context, _ netip.AddrPort, s cell.SendStop, fence uint64) (time.Duration, error) {
	p.mu.Lock()
	delay := p.orderDelay[s.Worker]
	if p.stopsPrompt {
		delay = 0
	}
	p.mu.Unlock()
	answers := make(chan error, 1)
	go func() {
		time.Sleep(fakeLatency/2 + delay)
		p.mu.Lock()
		defer p.mu.Unlock()
		answers <- p.machines[s.Worker].stop(p.clock(), s, fence)
	}()
	select {
	case err := <-answers:
		clock := p.clock()
		time.Sleep(fakeLatency / 2)
		p.awaitProcessor(s.Worker)
		return clock, err
	case <-ctx.Done():
		return 0, fault.New("stop", rowstore.KindUnknown, "%w", ctx.Err())
	}
}

// leasedRegistrations decodes the entries of the workers of a leasedPlatform, whose value
// counts the renewals.
type leasedRegistrations struct{ fakeRegistrations }

func (r leasedRegistrations) Decode(row rowstore.Row) (cell.Registration, error) {
	out, err := r.fakeRegistrations.Decode(row)
	out.Machine = "machine of " + row.Name
	out.Capacity = job.Size{MilliCores: 100 * leasedSlots, MemoryMB: 100_000}
	if len(row.Value) > 0 {
		out.Renewal, _ = strconv.ParseInt(string(row.Value), 10, 64)
	}
	return out, err
}
