package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
)

// Quota is a team's share of the capacity of this data centre.
type Quota struct {
	// Guaranteed is the capacity that the team can reclaim from borrowers.
	Guaranteed job.Size
	// Limit is the maximum that the team may use. The zero size means no limit.
	Limit job.Size
}

// team is the pool's state of one team.
type team struct {
	quota Quota
	// used is the capacity reserved by the team's tasks. stopping is the part
	// of it that preempted tasks are about to release.
	used     job.Size
	stopping job.Size
	// claimed is the capacity claimed by the team's waiting tasks.
	claimed job.Size
	// plannedVictimSize is the total size of the team's victims in the claimPlan
	// that is being made.
	plannedVictimSize job.Size
}

// SetQuotas replaces the quotas of all teams. Teams that are not named have no
// guarantee and no limit. Without any quotas, jobs wait by age only.
func (p *Pool) SetQuotas(quotas map[string]Quota) {
	p.hasQuotas = len(quotas) > 0
	for _, t := range p.teams {
		t.quota = Quota{}
	}
	for name, q := range quotas {
		p.ensureTeam(name).quota = q
	}
}

// ensureTeam returns the team of a name, adding it if it is unknown.
func (p *Pool) ensureTeam(name string) *team {
	t, ok := p.teams[name]
	if !ok {
		t = &team{}
		p.teams[name] = t
	}
	return t
}

// checkQuota returns an error when the part of a job that has to start together
// is larger than the team's limit.
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

// rank orders the waiting teams: first those within their guarantee, by the age
// of their jobs, then the borrowers, by their dominant share.
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
// would exceed its team's limit.
func (p *Pool) rankOf(t *task, arrival uint64) (rank, bool) {
	if !p.hasQuotas {
		return rank{arrival: arrival}, true
	}
	team := t.job.team
	after := team.used.Add(team.claimed).Add(shapeOf(t).total())
	if t.claimedWorker != nil {
		after = after.Sub(t.size)
	}
	if !team.quota.Limit.IsZero() && !after.Fits(team.quota.Limit) {
		return rank{}, false
	}
	if after.Fits(team.quota.Guaranteed) {
		return rank{arrival: arrival}, true
	}
	return rank{borrows: true, share: team.used.DominantShare(p.totalCapacity), arrival: arrival}, true
}

// withinLimit reports whether a task may start in addition to what its team
// uses.
func (p *Pool) withinLimit(t *task) bool {
	_, ok := p.rankOf(t, 0)
	return ok
}

// mayReclaim reports whether a task, within the guarantee of its team, has
// waited long enough to reclaim capacity from borrowers.
func (p *Pool) mayReclaim(t *task, now time.Time) bool {
	if !p.hasQuotas || p.cfg.ReclaimAfter <= 0 || now.Sub(t.waitingSince) < p.cfg.ReclaimAfter {
		return false
	}
	r, ok := p.rankOf(t, 0)
	return ok && !r.borrows
}

// stillBorrows reports whether a team would still borrow capacity after the
// victims so far have released theirs.
func (t *team) stillBorrows() bool {
	return !t.used.Sub(t.stopping).Sub(t.plannedVictimSize).Fits(t.quota.Guaranteed)
}

// mayPreempt reports whether a victim may be stopped for another task: any
// batch work for urgent work, and borrowed capacity for a team that reclaims
// its own.
func (p *Pool) mayPreempt(victim, t *task) bool {
	if !victim.preemptible() {
		return false
	}
	if classOf(t.job.spec) == classUrgent {
		return true
	}
	return victim.job.team != t.job.team && victim.job.team.stillBorrows()
}
