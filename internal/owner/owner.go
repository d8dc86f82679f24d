// Package owner runs the cell on the host that owns it.
//
// Owner holds a cell.Cell and is the only one to touch it. Its duty takes
// events from a bounded ring, applies them to the cell, and carries out what
// the cell wants done: calls to workers and the advice service run beside the
// duty and come back as events. It ends when it has been replaced.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/ring"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Kind tells why an owner ended or could not answer.
type Kind string

const (
	// KindReplaced means that another host owns the cell.
	KindReplaced Kind = "replaced"
	// KindClosed means that the owner was told to end.
	KindClosed Kind = "closed"
	// KindStore means that the store could not be read at the takeover, or that
	// a row cannot be encoded or decoded.
	KindStore Kind = "store"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Store is the part of the platform's store that an owner needs.
type Store interface {
	Commit(ctx context.Context, t rowstore.Transaction) (rowstore.Result, error)
	Read(ctx context.Context, r rowstore.Range) (rowstore.Snapshot, error)
	Follow(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Snapshot, error)
}

// Registrations reads the rows by which workers register.
type Registrations interface {
	Table() string
	Decode(row rowstore.Row) (cell.Registration, error)
}

// Ports are the adapters through which an owner meets the platform.
type Ports struct {
	Store         Store
	Workers       Workers
	Registrations Registrations
	Advisor       Advisor
	Machines      Machines
	WaveRows      WaveRows
}

// Config holds the durations and bounds of an owner.
type Config struct {
	Cell cell.Config
	// RenewEvery is the longest time between two commits.
	RenewEvery time.Duration
	// MaxReads bounds the reads of the store that run at the same time.
	MaxReads int
}

// Tenure is the owner's place in the order of owners.
type Tenure struct {
	// Row is the owner's row.
	Row ledger.Owner
	// Version is that of the row.
	Version uint64
	// PredecessorsEnded is set when the processes of all earlier owners have surely
	// ended.
	PredecessorsEnded bool
	// OtherHosts is how many hosts there were beside the last owner.
	OtherHosts int
}

const (
	// eventQueueSize bounds the events that wait for the duty.
	eventQueueSize = 8192
	// tickInterval is the period of the cell's clock.
	tickInterval = 100 * time.Millisecond
	// reportInterval is the period at which the backlog is shown.
	reportInterval = time.Second
	// maxEventsPerDecision is how many events are applied before the cell decides.
	maxEventsPerDecision = 256
)

// Owner runs the cell for as long as this host owns it.
type Owner struct {
	config Config
	tenure Tenure
	// takeoverStart is when the takeover takeoverStart.
	takeoverStart time.Time
	ports         Ports
	store         Store
	workers       Workers
	registrations Registrations
	advice        *adviceBalancer
	timers        timer.Service
	log           *zap.Logger
	metrics       *ownerMetrics

	// cell is empty until the store has been read.
	cell     *cell.Cell
	recovery recovery
	events   *ring.Ring[event]
	// orders is the line of stops and changes of pace, and startsOut how many
	// starts are on their way.
	orders         *orderQueue
	startsInFlight int
	// pendingStops holds the runs whose stop waits or is on its way, and paces the pace
	// that each run should have whose change of pace does.
	pendingStops map[runKey]bool
	wantedPaces  map[runKey]int
	// holdLoops has the workers that are called, with their pending plan.
	holdLoops map[cell.WorkerID]*holdLoop
	// rowVersion is that of the owner's row, as far as it is known.
	rowVersion uint64
	// storeClock is the store's steady clock at the last commit.
	storeClock time.Duration
	// attempt counts the transactions of this owner.
	attempt uint64
	// committing is set while a commit is on its way.
	committing bool
	// renewAt is when the row is written even without records, and retryAt
	// when a failed commit may be repeated.
	renewAt time.Time
	retryAt time.Time
	// expiring is set while rows of ended jobs are being removed, and removes
	// has the jobs whose records the next commit removes.
	expiring       bool
	pendingDeletes []workload.JobID
	// reportAt is when the backlog is next shown among the metrics.
	reportAt time.Time
	// release says whether and why the owner gives the cell up.
	release   releaseState
	isolation isolation
	slowStore slowStore
	load      load

	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup
	done   chan struct{}

	mu        sync.Mutex
	err       error
	renewedAt time.Time
	// ready is set once the store has been read, and yields when the owner
	// gives the cell up.
	ready     bool
	releasing bool
}

// New takes the cell over for a host that has won the owner's row: it reads the
// store, renews the row meanwhile, and then starts to decide. The manifest is
// the one in force on this host.
func New(
	config Config, tenure Tenure, m *manifest.Manifest, ports Ports, remote RemoteAdvisors,
	timers timer.Service, scope tally.Scope, log *zap.Logger,
) *Owner {
	now := timers.Now()
	metrics := newOwnerMetrics(scope)
	o := &Owner{
		config: config, tenure: tenure, takeoverStart: now, ports: ports, store: ports.Store, workers: ports.Workers, registrations: ports.Registrations, timers: timers,
		log:     log.Named("owner").With(zap.Uint64("Epoch", tenure.Row.Epoch)),
		metrics: metrics,
		events:  ring.New[event](eventQueueSize),
		orders:  newOrderQueue(metrics), pendingStops: make(map[runKey]bool), wantedPaces: make(map[runKey]int),
		holdLoops:  make(map[cell.WorkerID]*holdLoop),
		rowVersion: tenure.Version, storeClock: tenure.Row.WrittenAfter, attempt: tenure.Row.Attempt, renewAt: now.Add(config.RenewEvery),
		done: make(chan struct{}), renewedAt: now, isolation: isolation{otherHosts: tenure.OtherHosts},
	}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	o.advice = newAdviceBalancer(ports.Advisor, remote, timers, o.log)
	o.cell = o.newCell(now)
	o.recover(now, m)
	go func() {
		defer close(o.done)
		o.run()
	}()
	return o
}

// newCell returns the cell as it is before the store has been read: it knows the
// workers at which starts may have gone ahead of their record.
func (o *Owner) newCell(now time.Time) *cell.Cell {
	c := cell.New(now, o.config.Cell, o.metrics, o.log)
	if o.tenure.PredecessorsEnded {
		c.PreviousOwnerEnded()
	}
	c.RestoreAhead(workerIDs(o.tenure.Row.EarlyStartWorkers))
	return c
}

// Done is closed when the owner has ended.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Err tells why the owner ended.
func (o *Owner) Err() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err
}

// Owns reports whether the owner holds the cell and means to keep it, also while
// it still reads the store.
func (o *Owner) Owns() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err == nil && !o.releasing
}

// Ready reports whether the owner has read the store, so that it decides and
// answers questions.
func (o *Owner) Ready() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ready
}

// Release gives the cell up in good order: what is decided already becomes
// durable with the word that the cell is free. It returns when the owner has
// ended.
func (o *Owner) Release(ctx context.Context) {
	o.put(releaseRequested{fault.New("own", KindClosed, "the host is stopping")})
	select {
	case <-o.done:
	case <-ctx.Done():
		o.Close()
	}
}

// Close ends the owner at once and waits for its calls.
func (o *Owner) Close() {
	o.end(fault.New("own", KindClosed, "the host is stopping"))
	<-o.done
}

func (o *Owner) end(err error) {
	o.mu.Lock()
	if o.err == nil {
		o.err = err
	}
	o.mu.Unlock()
	o.cancel()
}

// Epoch returns the owner's fencing token.
func (o *Owner) Epoch() uint64 { return o.tenure.Row.Epoch }

// SinceRenewal returns how long ago the owner's row was renewed.
func (o *Owner) SinceRenewal() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.timers.Now().Sub(o.renewedAt)
}

func (o *Owner) run() {
	tick := o.timers.Every(tickInterval)
	defer tick.Stop()
	o.decide()
	for {
		select {
		case <-o.ctx.Done():
			o.calls.Wait()
			return
		case e := <-o.events.C():
			o.load.begin(o.timers.Now())
			o.applyOrDefer(e, o.timers.Now())
			o.load.events += 1 + o.applyQueued()
		case <-tick.C:
			o.load.begin(o.timers.Now())
			o.tick(o.timers.Now())
		}
		o.decide()
		o.load.end(o.timers.Now())
	}
}

// tick does what is due by the clock.
func (o *Owner) tick(now time.Time) {
	o.endIfIsolated()
	o.endIfNotReleased(now)
	if o.recovery.active {
		return
	}
	o.cell.SetAdvisers(o.advice.hosts())
	o.cell.Tick(now)
	if !now.Before(o.reportAt) {
		o.reportAt = now.Add(reportInterval)
		o.reportLoad(now)
		o.expire(now)
	}
}

// applyQueued applies the events that wait already, and returns how many there were.
func (o *Owner) applyQueued() int {
	now := o.timers.Now()
	for n := range maxEventsPerDecision {
		select {
		case e := <-o.events.C():
			o.applyOrDefer(e, now)
		default:
			return n
		}
	}
	return maxEventsPerDecision
}

// decide carries out what the cell wants done.
func (o *Owner) decide() {
	now := o.timers.Now()
	if o.release.requested || o.recovery.active {
		o.commit(now)
		return
	}
	o.limitStarts()
	for _, a := range o.cell.Take(now) {
		o.perform(a)
	}
	o.commit(now)
	o.planHolds(now)
}

// put hands an event to the duty, and waits while its ring is full.
func (o *Owner) put(e event) {
	if err := o.events.Put(o.ctx, e); err != nil {
		o.log.Debug("event left out, the owner is ending", zap.Error(err))
	}
}
