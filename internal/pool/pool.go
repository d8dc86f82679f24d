package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// Pool is the state of the owner of a data centre's workers. It is not safe for
// concurrent use; a single event loop drives it.
type Pool struct {
	cfg           Config
	epoch         uint64
	workers       map[string]*worker
	sortedWorkers []*worker
	// schedulable holds the schedulable workers of the current pass.
	schedulable []*worker
	jobs        map[string]*openJob
	// accepted holds the IDs of the open jobs and of those in recentlyEnded.
	accepted map[string]bool
	// recentlyEnded holds the IDs of the jobs that ended last, oldest first.
	recentlyEnded []string
	queue         queue
	chooser       chooser
	// claimants are the waiting tasks for which other tasks are being stopped.
	claimants   []*task
	victims     []*task
	reservation reservation
	futureSlots []futureSlot
	preemptions int
	// nextPeriodicStepsAt is when runPeriodicSteps is due.
	nextPeriodicStepsAt time.Time
	// claimCursor is the index of the worker at which the next search for a
	// claim starts.
	claimCursor int
	teams       map[string]*team
	// hasQuotas is set when any team has a quota.
	hasQuotas bool
	// totalCapacity is the capacity of all schedulable workers in the current
	// pass.
	totalCapacity job.Size
	// normalFree is the capacity that normal work may still take in the current
	// pass.
	normalFree job.Size
	// normalCapacity is totalCapacity without the headroom.
	normalCapacity job.Size
	// capacityFilter is reset for each class of a pass.
	capacityFilter capacityFilter
	// pendingCancels are the jobs passed to CancelAll that are still to be
	// cancelled.
	pendingCancels []string
	// lastHosts is the list of workers last passed to SetWorkers.
	lastHosts []platform.Host
	// maxCapacity is the maximum of each resource over all known workers.
	maxCapacity    job.Size
	openTasks      int
	arrivals       uint64
	lastBatchID    uint64
	intents        map[uint64][]intent
	pendingRecords []Record
	backoff        []*task
	// startingGangs holds the gangs whose current round is not complete yet.
	startingGangs []*openJob
	// tookOverAt is when this owner took over, by Clock.Now.
	tookOverAt time.Time
	// noPlacementBefore is set when the predecessor may have started tasks
	// unjournaled. Nothing is placed before that time.
	noPlacementBefore time.Time
	// renewalsEnded is the epoch of the last RecordRenewalsEnded. Until it
	// equals this owner's epoch, a predecessor may renew the leases of
	// inherited attempts up to predecessorsRenewUntil.
	renewalsEnded          uint64
	predecessorsRenewUntil time.Time
	// reconciled is the epoch of the last RecordReconciled.
	reconciled     uint64
	reconciliation reconciliation
	// heldTasks are the waiting tasks kept out of the queue until
	// reconciliation shows that no attempt of them runs.
	heldTasks []*task
	// unjournaled is set while ScheduleUnjournaled places tasks.
	unjournaled bool
}

// New returns the pool of an owner that took over at the given time, built from
// the state that its predecessors left.
func New(cfg Config, t Takeover, recovered RecoveredState, now time.Time) *Pool {
	p := &Pool{
		cfg: cfg, epoch: t.Epoch, tookOverAt: now, chooser: newChooser(cfg.Policy),
		workers:  make(map[string]*worker),
		jobs:     make(map[string]*openJob),
		teams:    make(map[string]*team),
		accepted: make(map[string]bool),
		intents:  make(map[uint64][]intent),
	}
	p.queue.singleClass = cfg.Policy == PolicyFIFO
	p.capacityFilter.disabled = p.queue.singleClass
	p.restore(recovered.Snapshot, now)
	for _, r := range recovered.Records {
		p.replay(r, now)
	}
	p.takeOver(t, now)
	for _, j := range p.sortedJobs() {
		p.requeueRecovered(j, now)
		p.resumeRound(j, now)
	}
	return p
}

// SetWorkers replaces the list of workers with the platform's. The capacity
// reserved on a worker that is no longer listed stays reserved until its leases
// have lapsed.
func (p *Pool) SetWorkers(hosts []platform.Host, now time.Time) {
	if p.lastHosts != nil && slices.Equal(hosts, p.lastHosts) {
		return
	}
	p.lastHosts = append([]platform.Host{}, hosts...)
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = true
		w := p.ensureWorker(h.Name)
		w.setHost(h)
		w.unlisted = false
		p.maxCapacity = p.maxCapacity.Max(h.Capacity)
	}
	for name, w := range p.workers {
		if !listed[name] && !w.unlisted {
			w.unlisted = true
			w.unreachableSince = now
		}
	}
	p.sortedWorkers = slices.SortedFunc(maps.Values(p.workers), func(a, b *worker) int {
		return cmp.Compare(a.host.Name, b.host.Name)
	})
}

// ensureWorker returns the worker of a name, adding it if it is unknown.
func (p *Pool) ensureWorker(name string) *worker {
	w, ok := p.workers[name]
	if !ok {
		w = &worker{
			host:    platform.Host{Name: name},
			tasks:   make(map[platform.Attempt]*task),
			orphans: make(map[platform.Attempt]job.Size),
			// A worker first seen during reconciliation may also run
			// unjournaled work.
			unreconciled: p.reconciliation.active,
		}
		p.workers[name] = w
	}
	return w
}

// Cordon closes a worker to new work, or opens it again, at an operator's
// request.
func (p *Pool) Cordon(name string, closed bool) error {
	w, ok := p.workers[name]
	if !ok {
		return fault.New("cordon", KindMissing, "no worker is named %q", name)
	}
	w.cordoned = closed
	return nil
}

// Tick handles what is due by now: backoffs that have ended, leases of
// unreachable workers that have lapsed, and reports to request.
func (p *Pool) Tick(now time.Time) []Action {
	p.requeueAfterBackoff(now)
	p.checkRenewalsEnded(now)
	p.reconcile(now)
	p.releaseHeld(now)
	out := p.rollBackExpired(now)
	for _, w := range p.sortedWorkers {
		p.startProbe(w, now)
		out = append(out, p.expireLeases(w, now)...)
		if a, ok := p.requestReport(w, now); ok {
			out = append(out, a)
		}
	}
	return append(out, p.flush()...)
}

func (p *Pool) requeueAfterBackoff(now time.Time) {
	p.backoff = slices.DeleteFunc(p.backoff, func(t *task) bool {
		if t.phase != phaseBackoff {
			return true
		}
		if now.Before(t.backoffUntil) {
			return false
		}
		p.enqueue(t, now)
		return true
	})
}

// flush moves the pending records into one PersistRecords action.
func (p *Pool) flush() []Action {
	if len(p.pendingRecords) == 0 {
		return nil
	}
	p.lastBatchID++
	records := p.pendingRecords
	p.pendingRecords = nil
	var started []intent
	for _, r := range records {
		if r.Kind != RecordIntent {
			continue
		}
		if t := p.findTask(r.Attempt); t != nil {
			started = append(started, intent{task: t, number: t.attempt})
		}
	}
	if len(started) > 0 {
		p.intents[p.lastBatchID] = started
	}
	return []Action{PersistRecords{BatchID: p.lastBatchID, Records: records}}
}

// findTask returns the task whose current attempt is the given one, or nil.
func (p *Pool) findTask(a platform.Attempt) *task {
	j, ok := p.jobs[a.Task.Job]
	if !ok || a.Task.Index < 0 || a.Task.Index >= len(j.tasks) {
		return nil
	}
	if t := j.tasks[a.Task.Index]; t.attempt == a.Number {
		return t
	}
	return nil
}

func (p *Pool) sortedJobs() []*openJob {
	return slices.SortedFunc(maps.Values(p.jobs), func(a, b *openJob) int {
		return cmp.Compare(a.arrival, b.arrival)
	})
}
