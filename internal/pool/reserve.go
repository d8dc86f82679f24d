package pool

import (
	"cmp"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// reservation reserves capacity for one gang until it starts. There is only one
// at a time, so that no two gangs can hold capacity that the other one needs.
type reservation struct {
	job       *openJob
	madeAt    time.Time
	startBy   time.Time
	expiresAt time.Time
	workers   []*worker
}

// futureSlot is a time at which a worker is expected to have capacity for one
// more member.
type futureSlot struct {
	at     time.Time
	worker *worker
}

// overdueEstimate is how much longer a task is expected to run once it has run
// longer than declared.
const overdueEstimate = time.Second

// placeReserved starts the gang that holds the reservation once there is
// capacity for all of it.
func (p *Pool) placeReserved(now time.Time) []Action {
	r := &p.reservation
	if r.job == nil {
		return nil
	}
	leader := r.job.leader()
	switch {
	case leader == nil || !p.mayPlace(leader, now) || !p.withinLimit(leader):
		p.releaseReservation()
	case p.placeGang(r.job, now):
		p.releaseReservation()
	case !now.Before(r.expiresAt):
		p.expireReservation(r.job, now)
		p.releaseReservation()
	case !now.Before(r.startBy):
		return p.stopBackfill(now)
	}
	return nil
}

// leader returns the member that is queued on behalf of the gang, or nil when
// the gang does not wait.
func (j *openJob) leader() *task {
	for _, t := range j.tasks {
		if isWaiting(t) {
			return t
		}
	}
	return nil
}

// expireReservation puts a gang behind the others that wait for the
// reservation.
func (p *Pool) expireReservation(j *openJob, now time.Time) {
	j.expiredReservations++
	j.nextReservationAt = now.Add(p.cfg.ReserveAfter)
}

func (p *Pool) releaseReservation() {
	for _, w := range p.reservation.workers {
		w.gangReserved = job.Size{}
	}
	p.reservation = reservation{workers: p.reservation.workers[:0]}
}

// reserveCapacity makes a reservation for the gang whose turn it is, if any.
func (p *Pool) reserveCapacity(now time.Time) {
	if p.cfg.ReserveAfter <= 0 || p.reservation.job != nil {
		return
	}
	if j := p.starvedGang(now); j != nil {
		p.makeReservation(j, now)
	}
}

// starvedGang returns the gang whose turn it is to hold the reservation: the
// oldest of those whose reservations have expired least often.
func (p *Pool) starvedGang(now time.Time) *openJob {
	var first *openJob
	for c := range p.queue.classes {
		for _, tq := range p.queue.classes[c].teams {
			for _, entry := range tq.entries {
				if entry.queue.shape.kind != job.KindAllAtOnce {
					continue
				}
				t := entry.queue.head()
				if t == nil || now.Sub(t.waitingSince) < p.cfg.ReserveAfter || now.Before(t.job.nextReservationAt) || !p.withinLimit(t) {
					continue
				}
				if first == nil || cmp.Or(cmp.Compare(t.job.expiredReservations, first.expiredReservations), cmp.Compare(t.job.arrival, first.arrival)) < 0 {
					first = t.job
				}
			}
		}
	}
	return first
}

// makeReservation reserves the capacity that is expected to become free
// soonest.
func (p *Pool) makeReservation(j *openJob, now time.Time) {
	leader := j.leader()
	p.futureSlots = p.futureSlots[:0]
	for _, w := range p.schedulable {
		p.appendFutureSlots(w, leader.size, len(j.tasks), now)
	}
	slices.SortStableFunc(p.futureSlots, func(a, b futureSlot) int { return a.at.Compare(b.at) })
	members := 0
	for _, t := range j.tasks {
		if isWaiting(t) {
			members++
		}
	}
	if len(p.futureSlots) < members {
		// Services and claims leave too little capacity for now.
		p.expireReservation(j, now)
		return
	}
	r := &p.reservation
	r.job, r.madeAt = j, now
	r.startBy = p.futureSlots[members-1].at
	r.expiresAt = r.startBy.Add(p.cfg.ReservationTimeout)
	for _, o := range p.futureSlots[:members] {
		if o.worker.gangReserved.IsZero() {
			r.workers = append(r.workers, o.worker)
		}
		o.worker.gangReserved = o.worker.gangReserved.Add(leader.size)
	}
}

// appendFutureSlots appends the times at which a worker is expected to have
// capacity for a first, second and further member, up to a limit.
func (p *Pool) appendFutureSlots(w *worker, size job.Size, limit int, now time.Time) {
	free := w.free().Sub(w.claimed)
	n := 0
	add := func(at time.Time) {
		for ; n < limit && size.Times(int64(n+1)).Fits(free); n++ {
			p.futureSlots = append(p.futureSlots, futureSlot{at: at, worker: w})
		}
	}
	add(now)
	p.victims = p.victims[:0]
	for _, t := range w.tasks {
		if t.job.spec.Kind != job.KindService {
			p.victims = append(p.victims, t)
		}
	}
	slices.SortFunc(p.victims, func(a, b *task) int { return a.expectedEnd(now).Compare(b.expectedEnd(now)) })
	for _, t := range p.victims {
		free = free.Add(t.size)
		add(t.expectedEnd(now))
	}
}

// expectedEnd returns when a task with a declared run time is expected to end.
func (t *task) expectedEnd(now time.Time) time.Time {
	started := t.sentAt
	if t.phase == phaseIntent {
		started = now
	}
	if at := started.Add(t.job.spec.RunTime); at.After(now.Add(overdueEstimate)) {
		return at
	}
	return now.Add(overdueEstimate)
}

// mayBackfill reports whether a task may run in reserved capacity: its declared
// end must be in time, and it must be possible to stop it if it runs longer.
func (p *Pool) mayBackfill(t *task, now time.Time) bool {
	r := &p.reservation
	s := t.job.spec
	switch {
	case r.job == nil || t.job == r.job || s.Priority == job.PriorityUrgent:
		return true
	case s.Kind != job.KindBatch || !s.Replayable:
		return false
	}
	return !now.Add(s.RunTime).After(r.startBy)
}

// stopBackfill stops work that was started in reserved capacity and has not
// ended in time.
func (p *Pool) stopBackfill(now time.Time) []Action {
	var out []Action
	for _, w := range p.reservation.workers {
		free := w.free().Sub(w.claimed)
		for _, t := range w.sortedTasks() {
			if t.stopping {
				free = free.Add(t.size)
			}
		}
		for _, t := range w.sortedTasks() {
			if w.gangReserved.Fits(free) {
				break
			}
			if t.preemptible() && t.sentAt.After(p.reservation.madeAt) {
				free = free.Add(t.size)
				out = append(out, p.preempt(t, now)...)
			}
		}
	}
	return out
}

// preempt stops a task that waits again afterwards.
func (p *Pool) preempt(t *task, now time.Time) []Action {
	t.preempted = true
	t.job.team.stopping = t.job.team.stopping.Add(t.size)
	p.preemptions++
	return p.stop(t, now)
}
