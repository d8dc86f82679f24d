// Package owner runs the cell on the host that owns it.
//
// Only the event loop of an Owner accesses its cell.Cell. The loop takes events
// from a bounded ring buffer, applies them to the cell and performs the actions
// that the cell requests. Calls to workers and to the advice service run in
// goroutines of their own and return their results as events.
//
// The owning host is the one that the owner's row names; an Owner is the object that
// runs the cell on it for one epoch. An Owner ends when another host has taken over,
// when it is isolated, when it has released the cell (because the host stops or the
// store could not be read), when a row cannot be encoded or decoded, or when it is
// closed. Err gives the reason.
package owner

import (
	"context"
	"sync"
	"sync/atomic"
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

// Kind tells why an owner ended or could not answer a query.
type Kind string

const (
	// KindReplaced means that another host owns the cell, or may own it because this
	// owner is isolated.
	KindReplaced Kind = "replaced"
	// KindClosed means that the host is stopping, that the owner has ended, or
	// that a query was cancelled.
	KindClosed Kind = "closed"
	// KindStore means that the store could not be read during the takeover, or
	// that a row cannot be encoded or decoded.
	KindStore Kind = "store"
)

// Error tells why an owner ended or could not answer a query.
type Error = fault.Error[Kind]

// Store is the subset of the platform's store that an owner uses.
type Store interface {
	Commit(ctx context.Context, t rowstore.Transaction) (rowstore.Result, error)
	Read(ctx context.Context, r rowstore.Range) (rowstore.Snapshot, error)
	Follow(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Snapshot, error)
}

// Registrations decodes the rows by which workers register.
type Registrations interface {
	Table() string
	Decode(row rowstore.Row) (cell.Registration, error)
}

// Ports holds the interfaces through which an owner uses the platform: the clients
// of its services and the encodings of its rows.
type Ports struct {
	Store         Store
	Workers       Workers
	Registrations Registrations
	Advisor       Advisor
	Machines      Machines
	WaveRows      WaveRows
}

// Config holds the durations and limits of an owner.
type Config struct {
	Cell cell.Config
	// RenewEvery is the longest time between two commits.
	RenewEvery time.Duration
	// MaxReads limits the concurrent reads of the store.
	MaxReads int
	// Cores is the processor share of this host; 0 means unknown.
	Cores float64
	// JobBytes is the memory that the owner may use for the jobs that it keeps; 0 means no
	// limit.
	JobBytes int64
}

// InitialState is what the takeover passes to a new owner: its row and what is known
// of its predecessors, the earlier owners of the cell.
type InitialState struct {
	// Row is the owner's row as the takeover wrote it.
	Row ledger.Owner
	// Version is the version of the row.
	Version uint64
	// PredecessorsEnded is set when no earlier owner can grant a lease any longer.
	PredecessorsEnded bool
	// PredecessorIdle is for how long before the takeover no commit of a predecessor
	// had taken effect.
	PredecessorIdle time.Duration
	// OtherHosts is the number of hosts besides the owner, as last known before the
	// takeover.
	OtherHosts int
}

// Owner runs the cell for as long as this host is the owning host.
type Owner struct {
	config  Config
	initial InitialState
	// takeoverStart is when the takeover began.
	takeoverStart time.Time
	ports         Ports
	store         Store
	workers       Workers
	registrations Registrations
	advice        *adviceBalancer
	timers        timer.Service
	log           *zap.Logger
	metrics       *ownerMetrics

	// cell knows only the workers that may have had early starts until the store has
	// been read.
	cell     *cell.Cell
	recovery recovery
	events   *ring.Ring[queuedEvent]
	// reports holds the results of hold calls, which go before other events: a lease is
	// renewed only once the last report of its worker has been applied.
	reports *ring.Ring[queuedEvent]
	// moreStarts has a value while the cell has further starts that may be sent.
	moreStarts chan struct{}
	// orders is the queue of the orders to workers, that is stops and changes of
	// pace, but not of the maintenance orders. starts counts the starts that have no
	// response yet.
	orders       *orderQueue
	starts       startTracker
	startLimiter limiter
	// callClock measures the local delay and the timeouts of calls to workers, which
	// callStats counts. reportedDelay and reportedTimeouts have been reported, and
	// tickedDelay is the local delay up to the last tick.
	callClock        *callClock
	callStats        *callStats
	reportedDelay    time.Duration
	tickedDelay      time.Duration
	reportedTimeouts map[callKind]timeoutCount
	// pendingStops holds the runs whose stop is queued or in flight. wantedPaces
	// holds the latest pace that was requested for each run whose change of pace is
	// queued or in flight.
	pendingStops map[runKey]bool
	wantedPaces  map[runKey]int
	// holdLoops maps each worker to the loop that makes the hold calls to it. A hold
	// call renews the worker's lease and waits for its report.
	holdLoops  map[cell.WorkerID]*holdLoop
	idleHolds  holdQueue
	firstHolds firstHolds
	committer  *committer
	// rowWrites counts the commits of this owner that have taken effect.
	rowWrites atomic.Uint64
	// committing is set while the committer has a batch.
	committing bool
	// renewAt is when a batch is committed even if there are no records, and retryAt
	// is when a failed one may be retried.
	renewAt time.Time
	retryAt time.Time
	// expiring is set while rows of ended jobs are being deleted. pendingDeletes
	// holds the jobs whose progress records the next commits delete.
	expiring       bool
	pendingDeletes []workload.JobID
	// tombstones has those of jobs that were cancelled while there was none, and
	// deletedJobs the jobs whose rows were deleted.
	tombstones  *tombstones
	deletedJobs *deletedJobs
	jobLookups  jobLookups
	// recordParts has the number of rows of each progress record that is, or was,
	// split over several rows.
	recordParts map[workload.JobID]int
	// malformedRegistrations holds the registrations that cannot be decoded.
	malformedRegistrations malformedRegistrations
	// reportAt is when load and backlog are next reported.
	reportAt time.Time
	// release tells whether and why the owner releases the cell.
	release   releaseState
	isolation isolation
	hostsRow  hostsRow
	slowStore slowStore
	load      load
	processor *processorMeter
	admission *jobAdmission
	jobMemory *jobMemory
	// resumedAt is when the event loop last resumed after a suspension, by a clock that
	// includes suspensions.
	resumedAt time.Time
	// delay is how late the event loop handles events.
	delay timer.Delay
	// hearingSince is when the event loop last resumed after any suspension, by the
	// monotonic clock.
	hearingSince time.Time

	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup
	done   chan struct{}

	mu  sync.Mutex
	err error
	// renewedAt is when the last commit that succeeded was confirmed, and
	// renewedVersion the version that it gave the row.
	renewedAt      time.Time
	renewedVersion uint64
	// confirmedAt is when the last commit that succeeded began, by a clock that
	// includes the time in which the process was suspended.
	confirmedAt time.Time
	// activeAt is when the event loop last decided, by the same clock.
	activeAt time.Time
	// ready is set once the store has been read, and releasing once the owner
	// releases the cell.
	ready     bool
	releasing bool
}

// New starts an owner on a host whose takeover has been committed. The owner reads
// the store, renewing its row meanwhile, and then starts to schedule. The manifest
// is the one in force on this host, if any.
func New(
	config Config, tenure InitialState, m *manifest.Manifest, ports Ports, remote RemoteAdvisors,
	timers timer.Service, scope tally.Scope, log *zap.Logger,
) *Owner {
	now := timers.Now()
	metrics := newOwnerMetrics(scope)
	o := &Owner{
		config: config, initial: tenure, takeoverStart: now, ports: ports, store: ports.Store, workers: ports.Workers, registrations: ports.Registrations, timers: timers,
		log:     log.Named("owner").With(zap.Uint64("Epoch", tenure.Row.Epoch)),
		metrics: metrics,
		events:  ring.New[queuedEvent](eventQueueSize), reports: ring.New[queuedEvent](eventQueueSize), moreStarts: make(chan struct{}, 1),
		orders: newOrderQueue(metrics), starts: newStartTracker(), startLimiter: newStartLimiter(config.Cores), pendingStops: make(map[runKey]bool), wantedPaces: make(map[runKey]int),
		holdLoops: make(map[cell.WorkerID]*holdLoop),
		committer: newCommitter(now, tenure, now.Add(config.RenewEvery+renewalGrace)), renewAt: now.Add(config.RenewEvery),
		callClock: newCallClock(timers), callStats: newCallStats(metrics),
		recordParts: make(map[workload.JobID]int), done: make(chan struct{}), renewedAt: now, renewedVersion: tenure.Version, isolation: isolation{otherHosts: tenure.OtherHosts},
		activeAt: timers.Latest(), processor: newProcessorMeter(), admission: newJobAdmission(now, tenure.Row.Admission),
		jobMemory: newJobMemory(config.JobBytes), tombstones: newTombstones(config.Cell.KeepEnded), deletedJobs: newDeletedJobs(), jobLookups: newJobLookups(tenure.Row.EarlyStartWorkers),
	}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	o.advice = newAdviceBalancer(ports.Advisor, remote, timers, o.log)
	o.cell = o.newCell(now)
	o.recover(now, m)
	o.calls.Go(o.runCommitter)
	o.calls.Go(func() { o.callClock.run(o.ctx) })
	go func() {
		defer close(o.done)
		o.run()
	}()
	return o
}

// newCell returns a cell into which no rows of the store have been loaded. It knows
// only the workers that may have had early starts.
func (o *Owner) newCell(now time.Time) *cell.Cell {
	c := cell.New(now, o.config.Cell, o.metrics, o.log)
	if o.initial.PredecessorsEnded {
		c.PredecessorEnded()
	}
	c.SetPredecessorIdle(o.initial.PredecessorIdle)
	c.RestoreEarlyStartWorkers(workerIDs(o.initial.Row.EarlyStartWorkers))
	return c
}

// Done returns a channel that is closed when the owner has ended.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Err returns the reason why the owner ended, or nil if it has not.
func (o *Owner) Err() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err
}

// Owns reports whether the owner holds the cell and is not releasing it. It is
// true also while the owner still reads the store.
func (o *Owner) Owns() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err == nil && !o.releasing
}

// Ready reports whether the owner has read the store, so that it schedules and
// answers queries.
func (o *Owner) Ready() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ready
}

// Release ends the owner gracefully: the commit that marks its row as released
// also makes pending decisions durable. It returns when the owner has ended. When
// ctx is done first, it closes the owner.
func (o *Owner) Release(ctx context.Context) {
	o.put(releaseRequested{fault.New("own", KindClosed, "the host is stopping")})
	select {
	case <-o.done:
	case <-ctx.Done():
		o.Close()
	}
}

// Close ends the owner immediately and waits for its calls to return.
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

// Epoch returns the owner's epoch, which is also the fencing token of its calls to
// workers.
func (o *Owner) Epoch() uint64 { return o.initial.Row.Epoch }

// SinceRenewal returns how long ago the owner's row was renewed.
func (o *Owner) SinceRenewal() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.timers.Now().Sub(o.renewedAt)
}

// LastRenewal returns how long ago the owner's row was renewed, and the version that
// the row has had since.
func (o *Owner) LastRenewal() (since time.Duration, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.timers.Now().Sub(o.renewedAt), o.renewedVersion
}
