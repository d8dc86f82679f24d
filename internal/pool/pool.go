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
	cfg     Config
	epoch   uint64
	workers map[string]*worker
	order   []*worker
	// opens are the open workers in the current pass.
	opens []*worker
	jobs  map[string]*openJob
	// accepted holds the IDs of the open jobs and of those in recent.
	accepted map[string]bool
	// recent holds the IDs of the jobs that ended last, the oldest first.
	recent  []string
	queue   queue
	chooser chooser
	// claims are the waiting tasks for which others are stopped.
	claims      []*task
	victims     []*task
	reservation reservation
	openings    []opening
	preemptions int
	// fairAt is when beFair is due.
	fairAt time.Time
	// claimAt is where the next search for a claim begins.
	claimAt int
	teams   map[string]*team
	// quotas is set when any team has a quota.
	quotas bool
	// room is that of all open workers in the current pass.
	room job.Size
	// spare is what normal work may still take in the current pass.
	spare job.Size
	// ordinary is all room without the headroom.
	ordinary job.Size
	// roomFilter belongs to the current pass.
	roomFilter roomFilter
	// cancels are the jobs of a wave that are still to be cancelled.
	cancels []string
	// listed is the list of workers last adopted.
	listed []platform.Host
	// largest is the room of the largest worker known.
	largest   job.Size
	openTasks int
	arrivals  uint64
	token     uint64
	intents   map[uint64][]intent
	records   []Record
	backoff   []*task
	// opening holds the gangs in a round that is not whole yet.
	opening []*openJob
	// takenAt is when this owner took over, by Clock.Now.
	takenAt time.Time
	// quietUntil is set after an owner that may have started work that no
	// journal names; nothing is placed before it.
	quietUntil time.Time
	// settled is the epoch of the last RecordSettled. Until it is the own one,
	// an earlier owner may renew inherited attempts up to strangersUntil.
	settled        uint64
	strangersUntil time.Time
	// accounted is the epoch of the last RecordAccounted.
	accounted uint64
	doubt     doubt
	// held are the waiting tasks that the doubt keeps out of the queue.
	held []*task
	// unjournaled is set while ScheduleUnjournaled places tasks.
	unjournaled bool
}

// New returns the pool of an owner that took over at the given time, from what
// the owners before it left.
func New(cfg Config, t Takeover, past RecoveredState, now time.Time) *Pool {
	p := &Pool{
		cfg: cfg, epoch: t.Epoch, takenAt: now, chooser: newChooser(cfg.Policy),
		workers:  make(map[string]*worker),
		jobs:     make(map[string]*openJob),
		teams:    make(map[string]*team),
		accepted: make(map[string]bool),
		intents:  make(map[uint64][]intent),
	}
	p.queue.one = cfg.Policy == PolicyFIFO
	p.roomFilter.off = p.queue.one
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
	if p.listed != nil && slices.Equal(hosts, p.listed) {
		return
	}
	p.listed = append([]platform.Host{}, hosts...)
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = true
		w := p.worker(h.Name)
		w.setHost(h)
		w.gone = false
		p.largest = p.largest.Max(h.Room)
	}
	for name, w := range p.workers {
		if !listed[name] && !w.gone {
			w.gone = true
			w.silentSince = now
		}
	}
	p.order = slices.SortedFunc(maps.Values(p.workers), func(a, b *worker) int {
		return cmp.Compare(a.host.Name, b.host.Name)
	})
}

// worker returns the worker of a name, making it known first if need be.
func (p *Pool) worker(name string) *worker {
	w, ok := p.workers[name]
	if !ok {
		w = &worker{
			host:   platform.Host{Name: name},
			tasks:  make(map[platform.Attempt]*task),
			strays: make(map[platform.Attempt]job.Size),
			// A worker that becomes known in doubt may run something, too.
			uncounted: p.doubt.open,
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
	p.endBackoff(now)
	p.settleStrangers(now)
	p.account(now)
	p.releaseHeld(now)
	out := p.closeRounds(now)
	for _, w := range p.order {
		p.probe(w, now)
		out = append(out, p.lapse(w, now)...)
		if a, ok := p.askReport(w, now); ok {
			out = append(out, a)
		}
	}
	return append(out, p.flush()...)
}

func (p *Pool) endBackoff(now time.Time) {
	p.backoff = slices.DeleteFunc(p.backoff, func(t *task) bool {
		if t.phase != phaseBackoff {
			return true
		}
		if now.Before(t.notUntil) {
			return false
		}
		p.enqueue(t, now)
		return true
	})
}

// flush turns the records gathered so far into one Journal action.
func (p *Pool) flush() []Action {
	if len(p.records) == 0 {
		return nil
	}
	p.token++
	records := p.records
	p.records = nil
	var started []intent
	for _, r := range records {
		if r.Kind != RecordIntent {
			continue
		}
		if t := p.find(r.Attempt); t != nil {
			started = append(started, intent{task: t, number: t.attempt})
		}
	}
	if len(started) > 0 {
		p.intents[p.token] = started
	}
	return []Action{PersistRecords{BatchID: p.token, Records: records}}
}

// find returns the task whose current attempt is the given one.
func (p *Pool) find(a platform.Attempt) *task {
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
		return cmp.Compare(a.queuedAt, b.queuedAt)
	})
}
