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

// Listing reads the rows by which workers register.
type Listing interface {
	Table() string
	Decode(row rowstore.Row) (cell.Registration, error)
}

// Ports are the adapters through which an owner meets the platform.
type Ports struct {
	Store    Store
	Workers  Workers
	Listing  Listing
	Advisor  Advisor
	Machines Machines
	WaveRows WaveRows
}

// Config holds the durations and bounds of an owner.
type Config struct {
	Cell cell.Config
	// RenewEvery is the longest time between two commits.
	RenewEvery time.Duration
	// Readers bounds the reads of the store that run at the same time.
	Readers int
}

// Tenure is the owner's place in the order of owners.
type Tenure struct {
	// Me is the owner's row.
	Me ledger.Owner
	// Version is that of the row.
	Version uint64
	// PreviousEnded is set when the processes of all earlier owners have surely
	// ended.
	PreviousEnded bool
	// Others is how many hosts there were beside the last owner.
	Others int
}

const (
	// ringSize bounds the events that wait for the duty.
	ringSize = 8192
	// tickEvery is the period of the cell's clock.
	tickEvery = 100 * time.Millisecond
	// showEvery is the period at which the backlog is shown.
	showEvery = time.Second
	// drainLimit is how many events are applied before the cell decides.
	drainLimit = 256
)

// Owner runs the cell for as long as this host owns it.
type Owner struct {
	config Config
	tenure Tenure
	// began is when the takeover began.
	began   time.Time
	ports   Ports
	store   Store
	workers Workers
	listing Listing
	advice  *questions
	timers  timer.Service
	log     *zap.Logger
	meters  *meters

	// cell is empty until the store has been read.
	cell     *cell.Cell
	recovery recovery
	events   *ring.Ring[event]
	// orders is the line of stops and changes of pace, and startsOut how many
	// starts are on their way.
	orders    *orderLine
	startsOut int
	// stops holds the runs whose stop waits or is on its way, and paces the pace
	// that each run should have whose change of pace does.
	stops map[runKey]bool
	paces map[runKey]int
	// holds has the workers that are called, with their pending plan.
	holds map[cell.WorkerID]*holder
	// version is that of the owner's row, as far as it is known.
	version uint64
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
	expiring bool
	removes  []workload.JobID
	// showAt is when the backlog is next shown among the metrics.
	showAt time.Time
	// leaving says whether and why the owner gives the cell up.
	leaving   leaving
	isolation isolation
	slow      slowStore
	load      load

	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup
	done   chan struct{}

	mu        sync.Mutex
	err       error
	renewedAt time.Time
	// decides is set once the store has been read, and yields when the owner
	// gives the cell up.
	decides bool
	yields  bool
}

// New takes the cell over for a host that has won the owner's row: it reads the
// store, renews the row meanwhile, and then starts to decide. The manifest is
// the one in force on this host.
func New(
	config Config, tenure Tenure, m *manifest.Manifest, ports Ports, remote RemoteAdvisors,
	timers timer.Service, scope tally.Scope, log *zap.Logger,
) *Owner {
	now := timers.Now()
	meters := newMeters(scope)
	o := &Owner{
		config: config, tenure: tenure, began: now, ports: ports, store: ports.Store, workers: ports.Workers, listing: ports.Listing, timers: timers,
		log:    log.Named("owner").With(zap.Uint64("Epoch", tenure.Me.Epoch)),
		meters: meters,
		events: ring.New[event](ringSize),
		orders: newOrderLine(meters), stops: make(map[runKey]bool), paces: make(map[runKey]int),
		holds:   make(map[cell.WorkerID]*holder),
		version: tenure.Version, storeClock: tenure.Me.Before, attempt: tenure.Me.Attempt, renewAt: now.Add(config.RenewEvery),
		done: make(chan struct{}), renewedAt: now, isolation: isolation{hosts: tenure.Others},
	}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	o.advice = newQuestions(ports.Advisor, remote, timers, o.log)
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
	c := cell.New(now, o.config.Cell, o.meters, o.log)
	if o.tenure.PreviousEnded {
		c.PredecessorEnded()
	}
	c.RestoreEarlyStartWorkers(workerIDs(o.tenure.Me.Ahead))
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
	return o.err == nil && !o.yields
}

// Decides reports whether the owner has read the store, so that it decides and
// answers questions.
func (o *Owner) Decides() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.decides
}

// Leave gives the cell up in good order: what is decided already becomes
// durable with the word that the cell is free. It returns when the owner has
// ended.
func (o *Owner) Leave(ctx context.Context) {
	o.put(leave{fault.New("own", KindClosed, "the host is stopping")})
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
func (o *Owner) Epoch() uint64 { return o.tenure.Me.Epoch }

// Renewed returns how long ago the owner's row was renewed.
func (o *Owner) Renewed() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.timers.Now().Sub(o.renewedAt)
}

func (o *Owner) run() {
	tick := o.timers.Every(tickEvery)
	defer tick.Stop()
	o.decide()
	for {
		select {
		case <-o.ctx.Done():
			o.calls.Wait()
			return
		case e := <-o.events.C():
			o.load.begin(o.timers.Now())
			o.take(e, o.timers.Now())
			o.load.events += 1 + o.drain()
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
	o.endIfCutOff()
	o.endIfNotReleased(now)
	if o.recovery.underWay {
		return
	}
	o.cell.SetAdviceHosts(o.advice.hosts())
	o.cell.Tick(now)
	if !now.Before(o.showAt) {
		o.showAt = now.Add(showEvery)
		o.showLoad(now)
		o.expire(now)
	}
}

// drain applies the events that wait already, and returns how many there were.
func (o *Owner) drain() int {
	now := o.timers.Now()
	for n := range drainLimit {
		select {
		case e := <-o.events.C():
			o.take(e, now)
		default:
			return n
		}
	}
	return drainLimit
}

// decide carries out what the cell wants done.
func (o *Owner) decide() {
	now := o.timers.Now()
	if o.leaving.is || o.recovery.underWay {
		o.commit(now)
		return
	}
	o.limitStarts()
	for _, a := range o.cell.TakeActions(now) {
		o.perform(a)
	}
	o.commit(now)
	o.plan(now)
}

// put hands an event to the duty, and waits while its ring is full.
func (o *Owner) put(e event) {
	if err := o.events.Put(o.ctx, e); err != nil {
		o.log.Debug("event left out, the owner is ending", zap.Error(err))
	}
}
