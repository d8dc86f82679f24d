package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/journal"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/pool"
	"cicadabarrow.example/cicadabarrow/internal/ring"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	// poolEventBuffer is the capacity of the event queue of the pool. While the
	// queue is full, queries and submissions are refused and other producers
	// wait.
	poolEventBuffer = 4096
	poolTick        = 50 * time.Millisecond
	// workerTimeout limits one call to a worker.
	workerTimeout = 2 * time.Second
	// maxWorkerCalls limits the concurrent calls to workers.
	maxWorkerCalls = 64
	// submitRetryAfter is the time after which a submission that was not
	// accepted may be retried.
	submitRetryAfter = 2 * time.Second
)

// Guard checks the authority of this host over its units.
type Guard interface {
	// MayAct returns an error if this host may not act on the unit under the
	// epoch at this moment.
	MayAct(u lease.Unit, epoch uint64) error
}

// TaskGuard is a Guard that also checks whether this host may renew the leases of
// running tasks and start tasks unjournaled, which means before their records are
// durable.
type TaskGuard interface {
	Guard
	// MayRenew returns an error if the authority ended longer than the grace
	// period ago, or if the unit is no longer held under the epoch.
	MayRenew(u lease.Unit, epoch uint64, grace time.Duration) error
	// SetUnjournaled sets whether this host wants to start tasks unjournaled, and
	// announces it to every possible successor.
	SetUnjournaled(on bool)
	// MayStartUnjournaled reports whether this host has set that it wants to, and
	// every possible successor has confirmed that it knows of this.
	MayStartUnjournaled() bool
}

// PoolOwner serves the pool of workers of a data centre while this host owns it.
// Its event loop drives a pool.Pool.
type PoolOwner struct {
	dataCentre    string
	gained        lease.Gained
	cfg           pool.Config
	id            string
	plat          Platform
	hosts         *HostView
	guard         TaskGuard
	startObserver StartObserver
	timers        timer.Service
	log           *zap.Logger

	pool   *pool.Pool
	writer *journal.Writer
	// acceptKeys holds the keys of the rows with the records of accepted jobs that
	// the pool has and that no snapshot replaces yet.
	acceptKeys map[string]struct{}
	// accepts holds the submissions in flight by the ID of their job.
	accepts map[string]*acceptsInFlight
	// recoverErr is the error of the last attempt to recover the pool; nil if
	// none has failed.
	recoverErr atomic.Pointer[error]
	backlog    backlog
	// cancelWaiters are closed once the pool has processed all cancels.
	cancelWaiters []chan struct{}
	// lastHosts is the host list that the pool's workers were last set from.
	lastHosts *[]platform.Host
	// unjournaled is the value last passed to guard.SetUnjournaled.
	unjournaled bool
	// releasing is set once no more tasks may be scheduled.
	releasing     atomic.Bool
	pendingQuotas atomic.Pointer[map[string]pool.Quota]
	events        *ring.Ring[poolEvent]
	// workerCalls is a semaphore that limits the concurrent calls to workers to
	// maxWorkerCalls.
	workerCalls chan struct{}
	// pendingAccepts is a semaphore that limits the submissions whose commit has no
	// known outcome yet to maxPendingAccepts.
	pendingAccepts chan struct{}
	work           sync.WaitGroup
	ctx            context.Context
	cancel         context.CancelFunc
	done           chan struct{}
	ready          chan struct{}
}

// poolEvent is a function that the event loop calls with the pool. It may change
// the pool, and returns the actions to carry out.
type poolEvent func(p *pool.Pool, now time.Time) []pool.Action

// NewPoolOwner returns the owner of a gained pool and starts its event loop.
func NewPoolOwner(
	dataCentre string, g lease.Gained, cfg pool.Config, id string, plat Platform, hosts *HostView, guard TaskGuard,
	startObserver StartObserver, timers timer.Service, log *zap.Logger,
) *PoolOwner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &PoolOwner{
		dataCentre: dataCentre, gained: g, cfg: cfg, id: id, plat: plat, hosts: hosts, guard: guard, startObserver: startObserver,
		timers: timers,
		log:    log.Named("pool"), events: ring.New[poolEvent](poolEventBuffer), workerCalls: make(chan struct{}, maxWorkerCalls),
		pendingAccepts: make(chan struct{}, maxPendingAccepts),
		acceptKeys:     make(map[string]struct{}), accepts: make(map[string]*acceptsInFlight),
		ctx: ctx, cancel: cancel, done: make(chan struct{}), ready: make(chan struct{}),
	}
	go func() {
		defer close(o.done)
		o.run()
	}()
	return o
}

func (o *PoolOwner) run() {
	if !o.recover() {
		return
	}
	defer o.writer.Close()
	close(o.ready)
	sub := o.timers.Every(poolTick)
	defer sub.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-sub.C:
			now := o.timers.Now()
			if q := o.pendingQuotas.Swap(nil); q != nil {
				o.pool.SetQuotas(*q)
			}
			o.setWorkers(now)
			o.perform(o.pool.Tick(now))
			o.catchUpJournal()
			o.compactIfDue()
			o.schedule(now)
		case event := <-o.events.C():
			o.perform(event(o.pool, o.timers.Now()))
			o.handleQueuedEvents()
			if o.writer.StalledSince().IsZero() {
				o.schedule(o.timers.Now())
			}
		}
		o.notifyCancelWaiters()
	}
}

// setWorkers sets the pool's workers if the host list is a new one.
func (o *PoolOwner) setWorkers(now time.Time) {
	if listed := o.hosts.hosts.Load(); listed != o.lastHosts {
		o.lastHosts = listed
		o.pool.SetWorkers(o.hosts.Workers(o.dataCentre), now)
	}
}

// handleQueuedEvents handles the events that are queued, so that one scheduling
// pass serves them all.
func (o *PoolOwner) handleQueuedEvents() {
	for range o.events.Len() {
		event := <-o.events.C()
		o.perform(event(o.pool, o.timers.Now()))
	}
}

func (o *PoolOwner) post(e poolEvent) { _ = o.events.Put(o.ctx, e) }

func (o *PoolOwner) perform(actions []pool.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case pool.PersistRecords:
			o.appendRecords(a)
		case pool.StartTasks:
			o.goCall(func() { o.start(a) })
		case pool.RequestReport:
			o.goCall(func() { o.report(a) })
		case pool.FirstStart:
			o.startObserver.FirstStarted(a.Team, a.Name, a.Wait)
		case pool.StopTasks:
			o.goCall(func() { o.stop(a) })
		}
	}
}

// goCall runs a call to a worker in a goroutine of its own, within the limit on
// concurrent calls.
func (o *PoolOwner) goCall(call func()) {
	o.work.Go(func() {
		select {
		case o.workerCalls <- struct{}{}:
		case <-o.ctx.Done():
			return
		}
		defer func() { <-o.workerCalls }()
		call()
	})
}

func (o *PoolOwner) start(a pool.StartTasks) {
	ctx, cancel := context.WithTimeout(o.ctx, workerTimeout)
	defer cancel()
	results := make([]pool.StartResult, len(a.Starts))
	for i, s := range a.Starts {
		results[i] = pool.StartResult{Attempt: s.Attempt, Outcome: pool.StartNotRun}
	}
	// The authority is checked right before the starts are sent.
	if o.mayStart(a) {
		errs, err := o.plat.Workers.Start(ctx, a.Worker, a.Starts)
		for i := range results {
			results[i].Outcome = startOutcome(errs, i, err)
		}
	}
	o.post(func(p *pool.Pool, now time.Time) []pool.Action { return p.Started(results, now) })
}

// mayStart reports whether starts may be sent at this moment.
func (o *PoolOwner) mayStart(a pool.StartTasks) bool {
	if a.Unjournaled && !o.guard.MayStartUnjournaled() {
		return false
	}
	return o.guard.MayAct(o.gained.Unit, o.gained.Epoch) == nil
}

func startOutcome(errs []error, i int, err error) pool.StartOutcome {
	if err == nil && i < len(errs) {
		err = errs[i]
	}
	switch {
	case err == nil:
		return pool.StartAccepted
	case fault.Is(err, platform.KindNotRun):
		return pool.StartNotRun
	}
	return pool.StartUnknown
}

func (o *PoolOwner) report(a pool.RequestReport) {
	ctx, cancel := context.WithTimeout(o.ctx, workerTimeout)
	defer cancel()
	name := a.Worker.Name
	if o.guard.MayRenew(o.gained.Unit, o.gained.Epoch, o.cfg.RenewGrace) != nil {
		// From now on another owner may assume that these leases have lapsed.
		a.Request.Renewals = nil
	}
	r, err := o.plat.Workers.Report(ctx, a.Worker, a.Request)
	o.post(func(p *pool.Pool, now time.Time) []pool.Action {
		if err != nil {
			p.Unreachable(name, now)
			return nil
		}
		return p.Reported(name, a.Request.Since, r, now)
	})
}

func (o *PoolOwner) stop(a pool.StopTasks) {
	ctx, cancel := context.WithTimeout(o.ctx, workerTimeout)
	defer cancel()
	if o.guard.MayAct(o.gained.Unit, o.gained.Epoch) != nil {
		return
	}
	if err := o.plat.Workers.Stop(ctx, a.Worker, a.Stops); err != nil {
		o.log.Info("stop call to a worker failed", zap.String("Worker", a.Worker.Name), zap.Error(err))
	}
}

// queryPool runs a query in the event loop and returns its result.
func queryPool[T any](ctx context.Context, o *PoolOwner, query func(p *pool.Pool, now time.Time) T) (T, error) {
	var none T
	if err := o.recoverErr.Load(); err != nil && !o.isReady() {
		return none, fault.New("ask", KindUnavailable, "the pool cannot be rebuilt: %w", *err)
	}
	select {
	case <-o.ready:
	case <-ctx.Done():
		return none, fault.New("ask", KindUnavailable, "the pool is still being rebuilt")
	case <-o.done:
		return none, fault.New("ask", KindNotOwner, "the pool has another owner")
	}
	reply := make(chan T, 1)
	event := func(p *pool.Pool, now time.Time) []pool.Action {
		reply <- query(p, now)
		return nil
	}
	if !o.events.Offer(event) {
		return none, fault.New("ask", KindUnavailable, "the pool is too busy")
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return none, fault.New("ask", KindUnavailable, "no answer from the pool in time")
	case <-o.done:
		return none, fault.New("ask", KindNotOwner, "the pool has another owner")
	}
}

func (o *PoolOwner) isReady() bool {
	select {
	case <-o.ready:
		return true
	default:
		return false
	}
}

// Jobs returns the open jobs that match a query. One for a certain job gives
// KindUnavailable while a submission of it is in flight.
func (o *PoolOwner) Jobs(ctx context.Context, q message.JobQuery) ([]message.JobStatus, error) {
	if q.ID != "" {
		if err := o.awaitAccepts(ctx, q.ID); err != nil {
			return nil, err
		}
	}
	return queryPool(ctx, o, func(p *pool.Pool, _ time.Time) []message.JobStatus {
		var out []message.JobStatus
		for _, v := range p.Jobs() {
			if matches(v.Spec, q.ID, q.Team, q.Name) {
				out = append(out, message.JobStatus{
					Spec: v.Spec, State: v.State, Waiting: v.Waiting, Running: v.Running, Ended: v.Ended,
				})
			}
		}
		return out
	})
}

func matches(s job.Spec, id, team, name string) bool {
	return (id == "" || s.ID == id) && (team == "" || s.Team == team) && (name == "" || s.Name == name)
}

// SetQuotas sets the quotas of the teams. The event loop applies them at its next
// tick.
func (o *PoolOwner) SetQuotas(quotas map[string]pool.Quota) {
	o.pendingQuotas.Store(&quotas)
}

// Workers returns the status of the workers.
func (o *PoolOwner) Workers(ctx context.Context) ([]message.WorkerStatus, error) {
	return queryPool(ctx, o, func(p *pool.Pool, now time.Time) []message.WorkerStatus {
		var out []message.WorkerStatus
		for _, v := range p.Workers(now) {
			out = append(out, message.WorkerStatus{
				Name: v.Name, Rack: v.Rack, Capacity: v.Capacity, Used: v.Used, Tasks: v.Tasks, Schedulable: v.Schedulable,
				Leaving: v.Leaving, Cordoned: v.Cordoned, Quarantined: v.Quarantined, UnreachableFor: v.UnreachableFor,
			})
		}
		return out
	})
}

// Cordon cordons, uncordons or quarantines a worker.
func (o *PoolOwner) Cordon(ctx context.Context, c message.Cordon) error {
	result, err := queryPool(ctx, o, func(p *pool.Pool, now time.Time) error {
		if c.Quarantine {
			return p.Quarantine(c.Worker, now)
		}
		return p.Cordon(c.Worker, c.Closed)
	})
	if err != nil {
		return err
	}
	return result
}

// Release stops scheduling, waits until all records are durable, and closes the
// owner. It reports whether the successor can know of everything that may be
// running.
func (o *PoolOwner) Release(ctx context.Context) bool {
	known := !o.isReady() || o.handover(ctx)
	o.Close()
	return known
}

// Close stops the event loop and waits for its calls.
func (o *PoolOwner) Close() {
	o.cancel()
	<-o.done
	o.work.Wait()
}
