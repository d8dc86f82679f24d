package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

const (
	// maxBlocked bounds the different sizes that one pass may find no room for
	// before it gives up on a class.
	maxBlocked = 16
	// maxLanes bounds the lanes of a class that one pass looks at.
	maxLanes = 512
)

// Schedule places waiting tasks onto workers, urgent ones first, and returns the
// journal action that holds their intents. A task that finds no room does not
// hold up smaller ones behind it.
func (p *Pool) Schedule(now time.Time) []Action {
	if now.Before(p.quietUntil) {
		return nil
	}
	p.findOpen()
	var out []Action
	if !p.unjournaled {
		p.placeClaims(now)
		out = p.placeReserved(now)
	}
	budget := p.cfg.MaxPlacementsPerPass
	for c := range classes {
		budget = p.scheduleClass(&p.queue.classes[c], budget, now)
		if c == classUrgent && !p.unjournaled {
			// Room comes first to urgent work, before the others look for it.
			out = append(out, p.claimRoom(&p.queue.classes[c], maxClaimsPerPass, now)...)
		}
	}
	if !p.unjournaled && !now.Before(p.fairAt) {
		p.fairAt = now.Add(fairEvery)
		out = append(out, p.beFair(now)...)
	}
	out = append(out, p.cancelSome(now)...)
	return append(out, p.flush()...)
}

func (p *Pool) scheduleClass(c *classQueue, budget int, now time.Time) int {
	c.restart()
	s := &p.roomFilter
	s.restart(p.opens)
	for range maxLanes + budget {
		if budget == 0 || len(s.blocked) == maxBlocked {
			break
		}
		tq, t := p.next(c)
		if t == nil {
			break
		}
		switch {
		case !p.mayPlace(t, now):
			tq.drop()
		case p.unjournaled && !t.mayStartUnjournaled():
			tq.skip()
		case s.rulesOut(t.size):
			tq.skip()
		case p.placeFrom(t, now):
			tq.drop()
			budget--
		default:
			if p.cfg.Policy == PolicyFIFO {
				return 0
			}
			s.blocked = append(s.blocked, shapeOf(t).total())
			tq.skip()
		}
	}
	return budget
}

// fairEvery is the period of looking for work that has waited too long.
const fairEvery = 20 * time.Millisecond

// beFair helps what the order of the queue leaves behind: work that is owed its
// guarantee, and gangs that smaller work overtakes.
func (p *Pool) beFair(now time.Time) []Action {
	var out []Action
	if p.quotas {
		out = p.claimRoom(&p.queue.classes[classService], 2*maxClaimsPerPass, now)
		out = append(out, p.claimRoom(&p.queue.classes[classNormal], 2*maxClaimsPerPass, now)...)
	}
	p.reserveRoom(now)
	return append(out, p.moveServices(now)...)
}

// findOpen gathers the workers that the pass may place on.
func (p *Pool) findOpen() {
	p.opens = p.opens[:0]
	var free, room job.Size
	for _, w := range p.order {
		if w.open() && !w.busyProbing() {
			p.opens = append(p.opens, w)
			free, room = free.Add(w.free()), room.Add(w.host.Room)
		}
	}
	p.room = room
	headroom := room.Scale(p.cfg.Headroom)
	p.spare, p.ordinary = free.Sub(headroom), room.Sub(headroom)
}

// keepsHeadroom reports whether a task or gang has to leave what is left to
// services and urgent work. Accelerators have no headroom.
func (p *Pool) keepsHeadroom(t *task) bool {
	if p.cfg.Headroom <= 0 || classOf(t.job.spec) != classNormal {
		return false
	}
	need := shapeOf(t).total()
	if need.MilliCores > p.ordinary.MilliCores || need.MemoryMB > p.ordinary.MemoryMB {
		// It could never start beside the headroom.
		return false
	}
	return need.MilliCores > p.spare.MilliCores || need.MemoryMB > p.spare.MemoryMB
}

// next returns the task whose turn it is, and its team.
func (p *Pool) next(c *classQueue) (*teamQueue, *task) {
	var team *teamQueue
	var first rank
	for _, tq := range c.teams {
		r, ok := p.firstOf(tq)
		if ok && (team == nil || r.before(first)) {
			team, first = tq, r
		}
	}
	if team == nil {
		return nil, nil
	}
	return team, team.first
}

// firstOf returns the rank of the team's next task that its limit allows.
func (p *Pool) firstOf(tq *teamQueue) (rank, bool) {
	for t := tq.head(&p.roomFilter); t != nil; t = tq.head(&p.roomFilter) {
		if r, ok := p.rankOf(t, tq.order[tq.cursor].age); ok {
			return r, true
		}
		tq.skip()
	}
	return rank{}, false
}

// roomFilter rules tasks out without a look at every worker.
type roomFilter struct {
	// roomiest is the most that any open worker has left of each resource.
	roomiest job.Size
	// blocked is what the pass has found no room for.
	blocked []job.Size
	// off lets everything through.
	off bool
}

func (s *roomFilter) restart(opens []*worker) {
	s.roomiest, s.blocked = job.Size{}, s.blocked[:0]
	for _, w := range opens {
		s.roomiest = s.roomiest.Max(w.free())
	}
}

// rulesOut reports whether a task of a size surely finds no room.
func (s *roomFilter) rulesOut(size job.Size) bool {
	if s.off {
		return false
	}
	if !size.Fits(s.roomiest) {
		return true
	}
	for i := range s.blocked {
		if s.blocked[i].Fits(size) {
			return true
		}
	}
	return false
}

// mayPlace reports whether a task may be placed now. A member of a gang whose
// round has closed waits until the last of them is back, which then stands in
// the queue for all.
func (p *Pool) mayPlace(t *task, now time.Time) bool {
	return !t.job.isGang() || t.job.opening(now) || t.leadsGang()
}

// placeFrom places a task, or the whole gang that it stands for.
func (p *Pool) placeFrom(t *task, now time.Time) bool {
	if p.keepsHeadroom(t) {
		return false
	}
	if t.job.isGang() {
		return p.placeGang(t.job, now)
	}
	p.mayAvoid(t, now)
	t.backfills = p.mayBackfill(t, now)
	w := p.chooser.choose(t, p.opens)
	if w == nil {
		return false
	}
	p.spare = p.spare.Sub(t.size)
	p.intend(t, w, now)
	return true
}

// placeGang places every member, or none.
func (p *Pool) placeGang(j *openJob, now time.Time) bool {
	var placed []*task
	for _, t := range j.tasks {
		if t.phase != phaseWaiting {
			continue
		}
		p.mayAvoid(t, now)
		t.backfills = p.mayBackfill(t, now)
		w := p.chooser.choose(t, p.opens)
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
		p.spare = p.spare.Sub(t.size)
		w.release(t)
		p.intend(t, w, now)
	}
	return true
}

// intend reserves the room for the next attempt of a task and records the
// intent to start it.
func (p *Pool) intend(t *task, w *worker, now time.Time) {
	p.unclaim(t)
	t.avoid = nil
	t.attempt += 1 + t.skip
	t.skip = 0
	t.round = t.job.gang.round
	t.phase = phaseIntent
	t.inherited, t.doubtful = false, false
	t.worker = w
	t.until = w.clock(now).Add(p.cfg.TaskLease)
	t.endsBy = now.Add(p.cfg.TaskLease)
	w.reserve(t)
	if at := now.Add(p.cfg.ReportEvery); at.Before(w.nextAskAt) {
		// A worker that ran nothing is asked too seldom to renew a lease.
		w.nextAskAt = at
	}
	p.records = append(p.records, Record{
		Kind: RecordIntent, Attempt: t.current(), Worker: w.host.Name, Size: t.size, Until: t.until,
	})
}
