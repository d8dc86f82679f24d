package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
)

// Quota is a team's allotment of the workers of this data centre.
type Quota struct {
	// Guaranteed is what the team gets back from those who borrowed it.
	Guaranteed job.Size
	// Limit is the most that the team may use; the zero size is no limit.
	Limit job.Size
}

// team is what the pool knows of one team.
type team struct {
	quota Quota
	// used is reserved by the team's tasks; stopping is the part of it that
	// preempted tasks will give back.
	used     job.Size
	stopping job.Size
	// claimed is what waiting tasks of the team have claimed.
	claimed job.Size
	// planned adds up the victims of the plan that is being made.
	planned job.Size
}

// SetQuotas adopts the allotments of the teams. Teams that are not named have
// no guarantee and no limit. With no quotas at all, jobs wait by age only.
func (p *Pool) SetQuotas(quotas map[string]Quota) {
	p.hasQuotas = len(quotas) > 0
	for _, t := range p.teams {
		t.quota = Quota{}
	}
	for name, q := range quotas {
		p.ensureTeam(name).quota = q
	}
}

// ensureTeam returns a ensureTeam, making it known first if need be.
func (p *Pool) ensureTeam(name string) *team {
	t, ok := p.teams[name]
	if !ok {
		t = &team{}
		p.teams[name] = t
	}
	return t
}

// checkQuota refuses a job of which a part that has to start together is larger
// than the team's limit.
func (p *Pool) checkQuota(s job.Spec) error {
	limit := p.ensureTeam(s.Team).quota.Limit
	need := s.Size
	if s.Kind == job.KindAllAtOnce {
		need = need.Times(int64(s.Tasks))
	}
	if limit.IsZero() || need.Fits(limit) {
		return nil
	}
	return fault.New("submit", KindNeverFits, "job %s: needs %+v at once; the limit of team %s in this data centre is %+v",
		s.ID, need, s.Team, limit)
}

// rank orders the teams that wait: those within their guarantee first, by the
// age of their jobs, then the borrowers, by their dominant share.
type rank struct {
	borrows bool
	share   float64
	arrival uint64
}

func (r rank) before(o rank) bool {
	switch {
	case r.borrows != o.borrows:
		return !r.borrows
	case r.borrows && r.share != o.share:
		return r.share < o.share
	}
	return r.arrival < o.arrival
}

// rankOf returns the rank of a waiting task. It reports false when the task
// would pass its team's limit.
func (p *Pool) rankOf(t *task, age uint64) (rank, bool) {
	if !p.hasQuotas {
		return rank{arrival: age}, true
	}
	team := t.job.team
	after := team.used.Add(team.claimed).Add(shapeOf(t).total())
	if t.claim != nil {
		after = after.Sub(t.size)
	}
	if !team.quota.Limit.IsZero() && !after.Fits(team.quota.Limit) {
		return rank{}, false
	}
	if after.Fits(team.quota.Guaranteed) {
		return rank{arrival: age}, true
	}
	return rank{borrows: true, share: team.used.Share(p.totalCapacity), arrival: age}, true
}

// withinLimit reports whether a task may start beside what its team uses.
func (p *Pool) withinLimit(t *task) bool {
	_, ok := p.rankOf(t, 0)
	return ok
}

// mayReclaim reports whether a task has waited long enough, within the guarantee of
// its team, to get back what others have borrowed.
func (p *Pool) mayReclaim(t *task, now time.Time) bool {
	if !p.hasQuotas || p.cfg.ReclaimAfter <= 0 || now.Sub(t.waitingSince) < p.cfg.ReclaimAfter {
		return false
	}
	r, ok := p.rankOf(t, 0)
	return ok && !r.borrows
}

// stillBorrows reports whether a team would still have borrowed room if the victims so
// far gave theirs back.
func (t *team) stillBorrows() bool {
	return !t.used.Sub(t.stopping).Sub(t.planned).Fits(t.quota.Guaranteed)
}

// mayPreempt reports whether a task may be stopped for another one: any batch
// work for urgent work, borrowed room for a team that is owed its own.
func (p *Pool) mayPreempt(victim, t *task) bool {
	if !victim.preemptible() {
		return false
	}
	if classOf(t.job.spec) == classUrgent {
		return true
	}
	return victim.job.team != t.job.team && victim.job.team.stillBorrows()
}
