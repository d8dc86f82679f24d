package pool

import (
	"cmp"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

const (
	// maxClaimsPerPass bounds the claims that one pass makes.
	maxClaimsPerPass = 8
	// maxClaimCandidates bounds the entries of a shape queue that a pass
	// considers for claims.
	maxClaimCandidates = 256
	// maxFailedClaims bounds the searches of one pass that end without a claim.
	maxFailedClaims = 1
	// maxPlansCompared bounds the plans, one per worker, that are compared to
	// find the cheapest one for a claim.
	maxPlansCompared = 32
)

// claimPlan describes how one worker could free capacity for a waiting task.
type claimPlan struct {
	worker  *worker
	victims []*task
	cost    float64
}

// placeClaims places the tasks whose victims have freed enough capacity, and
// gives up the claims that have timed out.
func (p *Pool) placeClaims(now time.Time) {
	p.claimants = slices.DeleteFunc(p.claimants, func(t *task) bool {
		w := t.claimedWorker
		switch {
		case w == nil || !isWaiting(t):
			p.unclaim(t)
			return true
		case w.schedulable() && t.size.Fits(w.free()) && p.withinLimit(t):
			p.queue.markStale(t)
			p.recordIntent(t, w, now)
			return true
		case !w.schedulable() || !now.Before(t.claimUntil):
			p.unclaim(t)
			return true
		}
		return false
	})
}

// claimCapacity stops batch work, at the least cost, where that frees capacity
// for tasks of a class that found none, and claims the capacity for them.
func (p *Pool) claimCapacity(c *classQueue, claims int, now time.Time) []Action {
	if p.cfg.ClaimTimeout <= 0 {
		return nil
	}
	var out []Action
	b := claimBudget{claims: claims, failures: maxFailedClaims}
	for _, tq := range c.teams {
		for _, entry := range tq.entries {
			if b.claims <= 0 || b.failures <= 0 {
				return out
			}
			out = append(out, p.claimInQueue(entry.queue, &b, now)...)
		}
	}
	return out
}

// claimBudget bounds what a pass spends on claims.
type claimBudget struct{ claims, failures int }

func (p *Pool) claimInQueue(sq *shapeQueue, b *claimBudget, now time.Time) []Action {
	var out []Action
	for _, t := range sq.tasks[sq.first:min(len(sq.tasks), sq.first+maxClaimCandidates)] {
		if b.claims == 0 || t.job.isGang() {
			break
		}
		if !isWaiting(t) || t.claimedWorker != nil {
			continue
		}
		if !p.mayClaim(t, now) {
			// The tasks behind are younger, and of the same team.
			break
		}
		stops, ok := p.makeClaim(t, now)
		if !ok {
			// The next task of the same size finds no plan either.
			b.failures--
			break
		}
		out = append(out, stops...)
		b.claims--
	}
	return out
}

// mayClaim reports whether other tasks may be stopped for a task: for urgent
// work that its team's limit allows, and for work that may reclaim capacity.
func (p *Pool) mayClaim(t *task, now time.Time) bool {
	if classOf(t.job.spec) == classUrgent {
		return p.withinLimit(t)
	}
	return p.mayReclaim(t, now)
}

// makeClaim makes the cheapest claim for a task. It reports false when no
// worker could free enough capacity.
func (p *Pool) makeClaim(t *task, now time.Time) ([]Action, bool) {
	best := p.cheapestPlan(t, now)
	if best.worker == nil {
		return nil, false
	}
	t.claimedWorker, t.claimUntil = best.worker, now.Add(p.cfg.ClaimTimeout)
	best.worker.claimed = best.worker.claimed.Add(t.size)
	t.job.team.claimed = t.job.team.claimed.Add(t.size)
	p.claimants = append(p.claimants, t)
	var out []Action
	for _, v := range best.victims {
		out = append(out, p.preempt(v, now)...)
	}
	return out, true
}

// cheapestPlan compares up to maxPlansCompared workers that could free enough
// capacity, starting where the last search stopped.
func (p *Pool) cheapestPlan(t *task, now time.Time) claimPlan {
	var best claimPlan
	found := 0
	for i := range p.schedulable {
		w := p.schedulable[(p.claimCursor+i)%len(p.schedulable)]
		plan, ok := p.planClaim(w, t, now)
		if !ok {
			continue
		}
		if best.worker == nil || plan.cost < best.cost {
			plan.victims = append(best.victims[:0], plan.victims...)
			best = plan
		}
		found++
		if found == maxPlansCompared {
			p.claimCursor = (p.claimCursor + i + 1) % len(p.schedulable)
			break
		}
	}
	return best
}

// planClaim returns the cheapest victims on a worker that free enough capacity
// for a task. The victims are valid until the next call.
func (p *Pool) planClaim(w *worker, t *task, now time.Time) (claimPlan, bool) {
	size := t.size
	free := p.gatherVictims(w, t, now)
	maxFree := free
	for _, v := range p.victims {
		maxFree = maxFree.Add(v.size)
	}
	if !size.Fits(maxFree) {
		return claimPlan{}, false
	}
	n := 0
	for ; !size.Fits(free); n++ {
		free = free.Add(p.victims[n].size)
	}
	plan := claimPlan{worker: w, victims: p.victims[:n]}
	for i := n - 1; i >= 0; i-- {
		// A costlier victim can make a cheaper one unnecessary.
		if v := plan.victims[i]; size.Fits(free.Sub(v.size)) {
			free = free.Sub(v.size)
			plan.victims = slices.Delete(plan.victims, i, i+1)
		}
	}
	for _, v := range plan.victims {
		plan.cost += v.preemptionCost(now)
	}
	return plan, true
}

// gatherVictims collects the possible victims on a worker, cheapest first, and
// returns the capacity that is available without stopping any of them: the free
// capacity plus that of the tasks that are already stopping, minus the capacity
// claimed for other tasks.
func (p *Pool) gatherVictims(w *worker, t *task, now time.Time) job.Size {
	free := w.free().Sub(w.claimed)
	p.victims = p.victims[:0]
	for _, v := range w.tasks {
		switch {
		case v.stopping:
			free = free.Add(v.size)
		case v.preemptible():
			v.job.team.plannedVictimSize = job.Size{}
			p.victims = append(p.victims, v)
		}
	}
	slices.SortFunc(p.victims, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.preemptionCost(now), b.preemptionCost(now)), cmp.Compare(a.job.arrival, b.job.arrival),
			cmp.Compare(a.id.Index, b.id.Index))
	})
	p.victims = slices.DeleteFunc(p.victims, func(v *task) bool {
		if !p.mayPreempt(v, t) {
			return true
		}
		v.job.team.plannedVictimSize = v.job.team.plannedVictimSize.Add(v.size)
		return false
	})
	return free
}

// preemptible reports whether a task may be stopped for others: batch work that
// runs, is not urgent, and may run again.
func (t *task) preemptible() bool {
	return t.phase == phaseRunning && !t.stopping && t.job.spec.Kind == job.KindBatch &&
		classOf(t.job.spec) != classUrgent && t.job.spec.Replayable
}

// preemptionCost returns the core-seconds that are lost when the task is
// stopped without a checkpoint, plus a fixed cost of the stop itself.
func (t *task) preemptionCost(now time.Time) float64 {
	const stopCost = 1.0
	return stopCost + now.Sub(t.sentAt).Seconds()*float64(t.size.MilliCores)/1000
}

// unclaim gives up the claim of a task, if it has one.
func (p *Pool) unclaim(t *task) {
	if t.claimedWorker == nil {
		return
	}
	t.claimedWorker.claimed = t.claimedWorker.claimed.Sub(t.size)
	t.job.team.claimed = t.job.team.claimed.Sub(t.size)
	t.claimedWorker = nil
}

// Preemptions returns the number of tasks preempted so far.
func (p *Pool) Preemptions() int { return p.preemptions }
