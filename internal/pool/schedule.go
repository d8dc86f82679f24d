package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

const (
	// maxUnplaceable bounds the sizes for which one pass finds no capacity
	// before it gives up on a class.
	maxUnplaceable = 16
	// maxShapes bounds the shape queues of a class that one pass examines.
	maxShapes = 512
)

// Schedule places waiting tasks onto workers, urgent ones first, and returns
// the action that persists their intents, along with the stops that free
// capacity. A task that finds no capacity does not block smaller ones behind
// it.
func (p *Pool) Schedule(now time.Time) []Action {
	if now.Before(p.noPlacementBefore) {
		return nil
	}
	p.collectSchedulable()
	var out []Action
	if !p.unjournaled {
		p.placeClaims(now)
		out = p.placeReserved(now)
	}
	budget := p.cfg.MaxPlacementsPerPass
	for c := range numClasses {
		budget = p.scheduleClass(&p.queue.classes[c], budget, now)
		if c == classUrgent && !p.unjournaled {
			// Urgent work claims capacity before the other classes are placed.
			out = append(out, p.claimCapacity(&p.queue.classes[c], maxClaimsPerPass, now)...)
		}
	}
	if !p.unjournaled && !now.Before(p.nextPeriodicStepsAt) {
		p.nextPeriodicStepsAt = now.Add(periodicStepsInterval)
		out = append(out, p.runPeriodicSteps(now)...)
	}
	out = append(out, p.cancelBatch(now)...)
	return append(out, p.flush()...)
}

func (p *Pool) scheduleClass(c *classQueue, budget int, now time.Time) int {
	c.beginPass()
	filter := &p.capacityFilter
	filter.reset(p.schedulable)
	for range maxShapes + budget {
		if budget == 0 || len(filter.unplaceable) == maxUnplaceable {
			break
		}
		tq, t := p.nextTask(c)
		if t == nil {
			break
		}
		switch {
		case !p.mayPlace(t, now):
			tq.dropHead()
		case p.unjournaled && !t.mayStartUnjournaled():
			tq.skipShape()
		case filter.rulesOut(t.size):
			tq.skipShape()
		case p.place(t, now):
			tq.dropHead()
			budget--
		default:
			if p.cfg.Policy == PolicyFIFO {
				return 0
			}
			filter.unplaceable = append(filter.unplaceable, shapeOf(t).total())
			tq.skipShape()
		}
	}
	return budget
}

// periodicStepsInterval is the interval between two runs of runPeriodicSteps.
const periodicStepsInterval = 20 * time.Millisecond

// runPeriodicSteps runs the steps that need not be part of every pass. It claims
// capacity for work within its team's guarantee, reserves capacity for a gang
// that smaller work has overtaken for too long, and moves services off draining
// workers.
func (p *Pool) runPeriodicSteps(now time.Time) []Action {
	var out []Action
	if p.hasQuotas {
		out = p.claimCapacity(&p.queue.classes[classService], 2*maxClaimsPerPass, now)
		out = append(out, p.claimCapacity(&p.queue.classes[classNormal], 2*maxClaimsPerPass, now)...)
	}
	p.reserveCapacity(now)
	return append(out, p.drainServices(now)...)
}

// collectSchedulable collects the workers on which the pass may place tasks.
func (p *Pool) collectSchedulable() {
	p.schedulable = p.schedulable[:0]
	var free, capacity job.Size
	for _, w := range p.sortedWorkers {
		if w.schedulable() && !w.probeRunning() {
			p.schedulable = append(p.schedulable, w)
			free, capacity = free.Add(w.free()), capacity.Add(w.host.Capacity)
		}
	}
	p.totalCapacity = capacity
	headroom := capacity.Scale(p.cfg.Headroom)
	p.normalFree, p.normalCapacity = free.Sub(headroom), capacity.Sub(headroom)
}

// headroomBlocks reports whether a task or gang has to leave the remaining
// capacity to services and urgent work. Accelerators have no headroom.
func (p *Pool) headroomBlocks(t *task) bool {
	if p.cfg.Headroom <= 0 || classOf(t.job.spec) != classNormal {
		return false
	}
	need := shapeOf(t).total()
	if need.MilliCores > p.normalCapacity.MilliCores || need.MemoryMB > p.normalCapacity.MemoryMB {
		// The headroom would keep it from starting at all.
		return false
	}
	return need.MilliCores > p.normalFree.MilliCores || need.MemoryMB > p.normalFree.MemoryMB
}

// nextTask returns the next task to place, and the queue of its team.
func (p *Pool) nextTask(c *classQueue) (*teamQueue, *task) {
	var team *teamQueue
	var first rank
	for _, tq := range c.teams {
		r, ok := p.nextOfTeam(tq)
		if ok && (team == nil || r.before(first)) {
			team, first = tq, r
		}
	}
	if team == nil {
		return nil, nil
	}
	return team, team.cachedHead
}

// nextOfTeam returns the rank of the team's next task that its limit allows.
func (p *Pool) nextOfTeam(tq *teamQueue) (rank, bool) {
	for t := tq.head(&p.capacityFilter); t != nil; t = tq.head(&p.capacityFilter) {
		if r, ok := p.rankOf(t, tq.entries[tq.cursor].arrival); ok {
			return r, true
		}
		tq.skipShape()
	}
	return rank{}, false
}

// capacityFilter rules out tasks without examining every worker.
type capacityFilter struct {
	// maxFree is the maximum over all schedulable workers of each free
	// resource.
	maxFree job.Size
	// unplaceable holds the sizes for which the pass has found no capacity.
	unplaceable []job.Size
	// disabled makes the filter rule out nothing.
	disabled bool
}

func (f *capacityFilter) reset(workers []*worker) {
	f.maxFree, f.unplaceable = job.Size{}, f.unplaceable[:0]
	for _, w := range workers {
		f.maxFree = f.maxFree.Max(w.free())
	}
}

// rulesOut reports whether no worker can have capacity for a task of a size.
func (f *capacityFilter) rulesOut(size job.Size) bool {
	if f.disabled {
		return false
	}
	if !size.Fits(f.maxFree) {
		return true
	}
	for i := range f.unplaceable {
		if f.unplaceable[i].Fits(size) {
			return true
		}
	}
	return false
}

// mayPlace reports whether a task may be placed now. Outside of its start window
// a gang is placed only as a whole: a member may be placed only as its leader,
// that is once every other member is in phaseWaiting or phaseEnded.
func (p *Pool) mayPlace(t *task, now time.Time) bool {
	return !t.job.isGang() || t.job.inStartWindow(now) || t.leadsGang()
}

// place places a task, or the whole gang that it leads.
func (p *Pool) place(t *task, now time.Time) bool {
	if p.headroomBlocks(t) {
		return false
	}
	if t.job.isGang() {
		return p.placeGang(t.job, now)
	}
	p.relaxAvoid(t, now)
	t.backfills = p.mayBackfill(t, now)
	w := p.chooser.choose(t, p.schedulable)
	if w == nil {
		return false
	}
	p.normalFree = p.normalFree.Sub(t.size)
	p.recordIntent(t, w, now)
	return true
}

// placeGang places every waiting member, or none.
func (p *Pool) placeGang(j *openJob, now time.Time) bool {
	var placed []*task
	for _, t := range j.tasks {
		if t.phase != phaseWaiting {
			continue
		}
		p.relaxAvoid(t, now)
		t.backfills = p.mayBackfill(t, now)
		w := p.chooser.choose(t, p.schedulable)
		if w == nil {
			for _, o := range placed {
				o.worker.release(o)
				o.worker = nil
			}
			return false
		}
		t.worker = w
		w.reserve(t)
		placed = append(placed, t)
	}
	for _, t := range placed {
		w := t.worker
		p.normalFree = p.normalFree.Sub(t.size)
		w.release(t)
		p.recordIntent(t, w, now)
	}
	return true
}

// recordIntent reserves capacity for the next attempt of a task and records the
// intent to start it.
func (p *Pool) recordIntent(t *task, w *worker, now time.Time) {
	p.unclaim(t)
	t.avoid = nil
	t.attempt += 1 + t.attemptSkip
	t.attemptSkip = 0
	t.round = t.job.gang.round
	t.phase = phaseIntent
	t.inherited, t.unreconciled = false, false
	t.worker = w
	t.leaseUntil = w.clock(now).Add(p.cfg.TaskLease)
	t.lapsedBy = now.Add(p.cfg.TaskLease)
	w.reserve(t)
	if at := now.Add(p.cfg.ReportEvery); at.Before(w.nextReportAt) {
		// The report period of an idle worker is too long to renew a lease.
		w.nextReportAt = at
	}
	p.pendingRecords = append(p.pendingRecords, Record{
		Kind: RecordIntent, Attempt: t.currentAttempt(), Worker: w.host.Name, Size: t.size, Until: t.leaseUntil,
	})
}
