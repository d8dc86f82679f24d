package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

const (
	// maxUnplaceable bounds the different sizes that one pass may find no room for
	// before it gives up on a class.
	maxUnplaceable = 16
	// maxShapes bounds the lanes of a class that one pass looks at.
	maxShapes = 512
)

// Schedule places waiting tasks onto workers, urgent ones first, and returns the
// journal action that holds their intents. A task that finds no room does not
// hold up smaller ones behind it.
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
			// Room comes first to urgent work, before the others look for it.
			out = append(out, p.claimCapacity(&p.queue.classes[c], maxClaimsPerPass, now)...)
		}
	}
	if !p.unjournaled && !now.Before(p.nextFairnessAt) {
		p.nextFairnessAt = now.Add(fairnessInterval)
		out = append(out, p.enforceFairness(now)...)
	}
	out = append(out, p.cancelBatch(now)...)
	return append(out, p.flush()...)
}

func (p *Pool) scheduleClass(c *classQueue, budget int, now time.Time) int {
	c.beginPass()
	s := &p.capacityFilter
	s.reset(p.schedulable)
	for range maxShapes + budget {
		if budget == 0 || len(s.unplaceable) == maxUnplaceable {
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
		case s.rulesOut(t.size):
			tq.skipShape()
		case p.place(t, now):
			tq.dropHead()
			budget--
		default:
			if p.cfg.Policy == PolicyFIFO {
				return 0
			}
			s.unplaceable = append(s.unplaceable, shapeOf(t).total())
			tq.skipShape()
		}
	}
	return budget
}

// fairnessInterval is the period of looking for work that has waited too long.
const fairnessInterval = 20 * time.Millisecond

// enforceFairness helps what the order of the queue leaves behind: work that is owed its
// guarantee, and gangs that smaller work overtakes.
func (p *Pool) enforceFairness(now time.Time) []Action {
	var out []Action
	if p.hasQuotas {
		out = p.claimCapacity(&p.queue.classes[classService], 2*maxClaimsPerPass, now)
		out = append(out, p.claimCapacity(&p.queue.classes[classNormal], 2*maxClaimsPerPass, now)...)
	}
	p.reserveCapacity(now)
	return append(out, p.drainServices(now)...)
}

// collectSchedulable gathers the workers that the pass may place on.
func (p *Pool) collectSchedulable() {
	p.schedulable = p.schedulable[:0]
	var free, capacity job.Size
	for _, w := range p.sortedWorkers {
		if w.schedulable() && !w.probeRunning() {
			p.schedulable = append(p.schedulable, w)
			free, capacity = free.Add(w.free()), capacity.Add(w.host.Room)
		}
	}
	p.totalCapacity = capacity
	headroom := capacity.Scale(p.cfg.Headroom)
	p.normalFree, p.normalCapacity = free.Sub(headroom), capacity.Sub(headroom)
}

// headroomBlocks reports whether a task or gang has to leave what is left to
// services and urgent work. Accelerators have no headroom.
func (p *Pool) headroomBlocks(t *task) bool {
	if p.cfg.Headroom <= 0 || classOf(t.job.spec) != classNormal {
		return false
	}
	need := shapeOf(t).total()
	if need.MilliCores > p.normalCapacity.MilliCores || need.MemoryMB > p.normalCapacity.MemoryMB {
		// It could never start beside the headroom.
		return false
	}
	return need.MilliCores > p.normalFree.MilliCores || need.MemoryMB > p.normalFree.MemoryMB
}

// nextTask returns the task whose turn it is, and its team.
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

// capacityFilter rules tasks out without a look at every worker.
type capacityFilter struct {
	// maxFree is the most that any open worker has left of each resource.
	maxFree job.Size
	// unplaceable is what the pass has found no room for.
	unplaceable []job.Size
	// disabled lets everything through.
	disabled bool
}

func (s *capacityFilter) reset(workers []*worker) {
	s.maxFree, s.unplaceable = job.Size{}, s.unplaceable[:0]
	for _, w := range workers {
		s.maxFree = s.maxFree.Max(w.free())
	}
}

// rulesOut reports whether a task of a size surely finds no room.
func (s *capacityFilter) rulesOut(size job.Size) bool {
	if s.disabled {
		return false
	}
	if !size.Fits(s.maxFree) {
		return true
	}
	for i := range s.unplaceable {
		if s.unplaceable[i].Fits(size) {
			return true
		}
	}
	return false
}

// mayPlace reports whether a task may be placed now. A member of a gang whose
// round has closed waits until the last of them is back, which then stands in
// the queue for all.
func (p *Pool) mayPlace(t *task, now time.Time) bool {
	return !t.job.isGang() || t.job.inStartWindow(now) || t.leadsGang()
}

// place places a task, or the whole gang that it stands for.
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

// placeGang places every member, or none.
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

// recordIntent reserves the room for the next attempt of a task and records the
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
		// A worker that ran nothing is asked too seldom to renew a lease.
		w.nextReportAt = at
	}
	p.pendingRecords = append(p.pendingRecords, Record{
		Kind: RecordIntent, Attempt: t.currentAttempt(), Worker: w.host.Name, Size: t.size, Until: t.leaseUntil,
	})
}
