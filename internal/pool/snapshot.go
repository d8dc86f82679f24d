package pool

import (
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// maxRecentlyEnded bounds the number of ended jobs whose IDs a pool keeps.
const maxRecentlyEnded = 4096

// Snapshot is the state that a pool's records build up. It replaces all records
// up to the moment at which it was taken.
type Snapshot struct {
	// Jobs are the open jobs in the order of their acceptance.
	Jobs []JobSnapshot
	// Ended are the IDs of the jobs that ended last, oldest first.
	Ended []string
	// RenewalsEnded is the epoch of the last RecordRenewalsEnded.
	RenewalsEnded uint64
	// Reconciled is the epoch of the last RecordReconciled.
	Reconciled uint64
}

// JobSnapshot is the state of an open job.
type JobSnapshot struct {
	Spec      job.Spec
	Cancelled bool
	// Failed and Parked give the reason why no further attempt may start. They
	// are empty if the job has not failed or been parked.
	Failed string
	Parked string
	Tasks  []TaskSnapshot
}

// TaskSnapshot is the state of one task of an open job.
type TaskSnapshot struct {
	Ended bool
	// Attempt is the number of the last attempt.
	Attempt int
	// Tries counts the attempts that may have run.
	Tries int
	// Worker is the worker on which the last attempt may run. When it has
	// ended, Worker is empty, and Size and Until are not set.
	Worker string
	Size   job.Size
	// Until is the end of the attempt's lease by the worker's clock.
	Until time.Time
}

// Tasks returns the number of tasks of all jobs.
func (s Snapshot) Tasks() int {
	n := 0
	for _, j := range s.Jobs {
		n += len(j.Tasks)
	}
	return n
}

// Snapshot returns the state built up by all records handed out so far. It
// reports false while there are records that no PersistRecords action has
// carried yet.
func (p *Pool) Snapshot() (Snapshot, bool) {
	if len(p.pendingRecords) > 0 {
		return Snapshot{}, false
	}
	s := Snapshot{Ended: slices.Clone(p.recentlyEnded), RenewalsEnded: p.renewalsEnded, Reconciled: p.reconciled}
	for _, j := range p.sortedJobs() {
		js := JobSnapshot{Spec: j.spec, Cancelled: j.cancelled, Failed: j.failReason, Parked: j.parkReason}
		for _, t := range j.tasks {
			js.Tasks = append(js.Tasks, t.snapshot())
		}
		s.Jobs = append(s.Jobs, js)
	}
	return s, true
}

func (t *task) snapshot() TaskSnapshot {
	if t.phase == phaseEnded {
		return TaskSnapshot{Ended: true}
	}
	s := TaskSnapshot{Attempt: t.attempt, Tries: t.tries}
	if !t.holdsCapacity() {
		return s
	}
	if t.phase == phaseIntent {
		// To a successor that reads it later, an intent may have been sent.
		s.Tries++
	}
	s.Worker, s.Size, s.Until = t.worker.host.Name, t.size, t.leaseUntil
	return s
}

// restore rebuilds the state of a snapshot.
func (p *Pool) restore(s Snapshot, now time.Time) {
	p.renewalsEnded, p.reconciled = s.RenewalsEnded, s.Reconciled
	for _, id := range s.Ended {
		p.rememberEnded(id)
	}
	for _, js := range s.Jobs {
		j := p.addJob(js.Spec)
		j.cancelled, j.failReason, j.parkReason = js.Cancelled, js.Failed, js.Parked
		for i, ts := range js.Tasks {
			if i < len(j.tasks) {
				p.restoreTask(j.tasks[i], ts, now)
			}
		}
	}
}

func (p *Pool) restoreTask(t *task, s TaskSnapshot, now time.Time) {
	t.attempt, t.tries = s.Attempt, s.Tries
	switch {
	case s.Ended:
		p.endTask(t)
	case s.Worker != "":
		p.restoreAttempt(t, s.Worker, s.Size, s.Until, now)
	}
}

// rememberEnded keeps the ID of an ended job, so that a caller that read the
// job's row before it ended cannot have it accepted again.
func (p *Pool) rememberEnded(id string) {
	p.accepted[id] = true
	p.recentlyEnded = append(p.recentlyEnded, id)
	if len(p.recentlyEnded) > maxRecentlyEnded {
		delete(p.accepted, p.recentlyEnded[0])
		p.recentlyEnded = slices.Delete(p.recentlyEnded, 0, 1)
	}
}

// removeJob removes a job that has its outcome.
func (p *Pool) removeJob(j *openJob) {
	delete(p.jobs, j.spec.ID)
	p.openTasks -= len(j.tasks)
	p.rememberEnded(j.spec.ID)
}
