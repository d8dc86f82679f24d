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
// concurrent use; one duty drives it.
type Pool struct {
	cfg           Config
	epoch         uint64
	workers       map[string]*worker
	sortedWorkers []*worker
	// schedulable are the open workers in the current pass.
	schedulable []*worker
	jobs        map[string]*openJob
	// accepted holds the IDs of the open jobs and of those in recent.
	accepted map[string]bool
	// recentlyEnded holds the IDs of the jobs that ended last, the oldest first.
	recentlyEnded []string
	queue         queue
	chooser       chooser
	// claims are the waiting tasks for which others are stopped.
	claims      []*task
	victims     []*task
	reservation reservation
	futureSlots []futureSlot
	preemptions int
	// nextFairnessAt is when beFair is due.
	nextFairnessAt time.Time
	// claimCursor is where the next search for a claim begins.
	claimCursor int
	teams       map[string]*team
	// hasQuotas is set when any team has a quota.
	hasQuotas bool
	// totalCapacity is that of all open workers in the current pass.
	totalCapacity job.Size
	// normalFree is what normal work may still take in the current pass.
	normalFree job.Size
	// normalCapacity is all room without the headroom.
	normalCapacity job.Size
	// capacityFilter belongs to the current pass.
	capacityFilter capacityFilter
	// pendingCancels are the jobs of a wave that are still to be cancelled.
	pendingCancels []string
	// lastHosts is the list of workers last adopted.
	lastHosts []platform.Host
	// maxCapacity is the room of the maxCapacity worker known.
	maxCapacity    job.Size
	openTasks      int
	arrivals       uint64
	lastBatchID    uint64
	intents        map[uint64][]intent
	pendingRecords []Record
	backoff        []*task
	// startingGangs holds the gangs in a round that is not whole yet.
	startingGangs []*openJob
	// tookOverAt is when this owner took over, by Clock.Now.
	tookOverAt time.Time
	// noPlacementBefore is set after an owner that may have started work that no
	// journal names; nothing is placed before it.
	noPlacementBefore time.Time
	// renewalsEnded is the epoch of the last RecordSettled. Until it is the own one,
	// an earlier owner may renew inherited attempts up to strangersUntil.
	renewalsEnded          uint64
	predecessorsRenewUntil time.Time
	// reconciled is the epoch of the last RecordAccounted.
	reconciled     uint64
	reconciliation reconciliation
	// heldTasks are the waiting tasks that the doubt keeps out of the queue.
	heldTasks []*task
	// unjournaled is set while ScheduleUnjournaled places tasks.
	unjournaled bool
}

// New returns the pool of an owner that took over at the given time, from what
// the owners before it left.
func New(cfg Config, t Takeover, past RecoveredState, now time.Time) *Pool {
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
	p.restore(past.Snapshot, now)
	for _, r := range past.Records {
		p.replay(r, now)
	}
	p.takeOver(t, now)
	for _, j := range p.sortedJobs() {
		p.requeueRecovered(j, now)
		p.resumeRound(j, now)
	}
	return p
}

// SetWorkers adopts the platform's list of workers. Room of a worker that is
// no longer listed stays reserved until its leases have lapsed.
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
		p.maxCapacity = p.maxCapacity.Max(h.Room)
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

// ensureWorker returns the ensureWorker of a name, making it known first if need be.
func (p *Pool) ensureWorker(name string) *worker {
	w, ok := p.workers[name]
	if !ok {
		w = &worker{
			host:    platform.Host{Name: name},
			tasks:   make(map[platform.Attempt]*task),
			orphans: make(map[platform.Attempt]job.Size),
			// A worker that becomes known in doubt may run something, too.
			unreconciled: p.reconciliation.active,
		}
		p.workers[name] = w
	}
	return w
}

// Cordon opens or closes a worker for new work on an operator's word.
func (p *Pool) Cordon(name string, closed bool) error {
	w, ok := p.workers[name]
	if !ok {
		return fault.New("cordon", KindMissing, "no worker is named %q", name)
	}
	w.cordoned = closed
	return nil
}

// Tick moves what is due: tasks out of their backoff, lapsed leases of silent
// workers, and the reports to ask for.
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

// flush turns the records gathered so far into one Journal action.
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

// findTask returns the task whose current attempt is the given one.
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
