package pool

import (
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// gang is the state of the current round in which an all-at-once job starts.
type gang struct {
	// round numbers the rounds. An intent of an earlier round is withdrawn.
	round int
	// complete is set once every member of the round runs or has succeeded.
	complete bool
	// windowEnd is the end of the start window: until then members may start,
	// and their leases may last while the round is incomplete.
	windowEnd time.Time
	// rollBackAt is when an incomplete round is rolled back. It is zero outside
	// of a round.
	rollBackAt time.Time
}

func (j *openJob) isGang() bool { return j.spec.Kind == job.KindAllAtOnce }

// inStartWindow reports whether single members may still join the round.
func (j *openJob) inStartWindow(now time.Time) bool {
	return !j.gang.complete && now.Before(j.gang.windowEnd)
}

// startRound begins the round of a gang when the first of its starts is sent.
func (p *Pool) startRound(j *openJob, now time.Time) {
	if !j.gang.rollBackAt.IsZero() {
		return
	}
	j.gang.windowEnd = now.Add(p.cfg.GangWindow - p.cfg.ClockDriftMargin)
	j.gang.rollBackAt = j.gang.windowEnd
	p.startingGangs = append(p.startingGangs, j)
}

// resumeRound continues the round of a gang whose members a predecessor may
// have started. Their leases are renewed only once all of them are known to
// run.
func (p *Pool) resumeRound(j *openJob, now time.Time) {
	if !j.isGang() || !slices.ContainsFunc(j.tasks, (*task).holdsCapacity) {
		return
	}
	j.gang.rollBackAt = now.Add(p.cfg.GangWindow)
	p.startingGangs = append(p.startingGangs, j)
}

// checkComplete marks the round complete once every member runs or has ended,
// and requests the reports that renew the members' leases.
func (p *Pool) checkComplete(j *openJob, now time.Time) {
	if !j.isGang() || j.gang.complete || j.gang.rollBackAt.IsZero() {
		return
	}
	for _, t := range j.tasks {
		if t.phase != phaseRunning && t.phase != phaseEnded {
			return
		}
	}
	j.gang.complete = true
	for _, t := range j.tasks {
		if t.phase == phaseRunning {
			t.worker.nextReportAt = now
		}
	}
}

// rollBackExpired rolls back the rounds that are not complete in time.
func (p *Pool) rollBackExpired(now time.Time) []Action {
	var out []Action
	p.startingGangs = slices.DeleteFunc(p.startingGangs, func(j *openJob) bool {
		if j.gang.complete || j.gang.rollBackAt.IsZero() || p.jobs[j.spec.ID] != j {
			return true
		}
		if now.Before(j.gang.rollBackAt) {
			return false
		}
		out = append(out, p.rollBack(j, now)...)
		return true
	})
	return out
}

// rollBack stops the members of a gang of which one did not start, so that all
// of them start again together.
func (p *Pool) rollBack(j *openJob, now time.Time) []Action {
	if !j.isGang() {
		return nil
	}
	j.gang = gang{round: j.gang.round + 1}
	var out []Action
	for _, t := range j.tasks {
		if t.phase == phaseSent || t.phase == phaseRunning {
			out = append(out, p.stop(t, now)...)
		}
	}
	return out
}

// retryMember makes a member that did not start wait for another attempt: alone
// while the start window is open, otherwise together with all others.
func (p *Pool) retryMember(t *task, now time.Time, wait time.Duration) []Action {
	if t.job.isGang() && t.job.inStartWindow(now) {
		p.requeue(t, now, 0)
		return nil
	}
	p.requeue(t, now, wait)
	return p.rollBack(t.job, now)
}

// leaseFor returns how long the next lease of a task may last. While its round
// is incomplete, the lease of a gang's member ends with the start window at the
// latest, so that no part of a gang runs on under any network partition.
func (p *Pool) leaseFor(t *task, now time.Time) time.Duration {
	if !t.job.isGang() || t.job.gang.complete {
		return p.cfg.TaskLease
	}
	return min(p.cfg.GangLease, t.job.gang.windowEnd.Sub(now))
}

// queueLeader queues the leader of a gang when the last member that the others
// waited for has ended.
func (p *Pool) queueLeader(j *openJob) {
	if !j.isGang() || j.stopped() {
		return
	}
	for _, t := range j.tasks {
		if t.phase == phaseWaiting && t.leadsGang() {
			p.queue.push(t)
			return
		}
	}
}
