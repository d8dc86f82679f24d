package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
)

const (
	// MaxTasks is the maximum number of tasks of one job.
	MaxTasks = 10_000
	// MaxAttempts is the maximum of the bound that a job may set on its
	// attempts.
	MaxAttempts = 100
)

// Check returns an error when a job is malformed, could never start, or would
// pass the bound on open tasks.
func (p *Pool) Check(s job.Spec) error {
	if err := CheckSpec(s); err != nil {
		return err
	}
	if len(p.workers) > 0 && !s.Size.Fits(p.maxCapacity) {
		return fault.New("submit", KindNeverFits, "job %s: Size %+v; the largest worker has room for %+v", s.ID, s.Size, p.maxCapacity)
	}
	if s.Kind == job.KindAllAtOnce && !p.gangCouldFit(s) {
		return fault.New("submit", KindNeverFits, "job %s: %d tasks of Size %+v at once; all workers together have no room for them even when idle", s.ID, s.Tasks, s.Size)
	}
	if err := p.checkQuota(s); err != nil {
		return err
	}
	if p.openTasks+s.Tasks > p.cfg.MaxOpenTasks {
		return fault.New("submit", KindFull, "job %s: %d tasks more would pass the bound of %d open tasks", s.ID, s.Tasks, p.cfg.MaxOpenTasks)
	}
	return nil
}

// CheckSpec returns an error for a malformed job. The error names the field,
// its value and the allowed range.
func CheckSpec(s job.Spec) error {
	bad := func(field string, value any, allowed string) error {
		return fault.New("submit", KindInvalid, "job %q: %s is %v; allowed: %s", s.ID, field, value, allowed)
	}
	switch {
	case s.ID == "" || len(s.ID) > 128:
		return bad("ID", s.ID, "1 to 128 characters")
	case s.Team == "":
		return bad("Team", `""`, "the name of a team")
	case s.Kind != job.KindService && s.Kind != job.KindBatch && s.Kind != job.KindAllAtOnce:
		return bad("Kind", s.Kind, "Service, Batch or AllAtOnce")
	case s.Priority != "" && s.Priority != job.PriorityNormal && s.Priority != job.PriorityUrgent:
		return bad("Priority", s.Priority, "Normal or Urgent")
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return bad("Tasks", s.Tasks, "1 to 10000")
	case s.Size.MilliCores < 1 || s.Size.MemoryMB < 1 || s.Size.Accelerators < 0:
		return bad("Size", s.Size, "at least 1 MilliCores and 1 MemoryMB")
	case s.Kind != job.KindService && s.RunTime <= 0:
		return bad("RunTime", s.RunTime, "more than 0s for a job that ends")
	case s.MaxAttempts < 0 || s.MaxAttempts > MaxAttempts:
		return bad("MaxAttempts", s.MaxAttempts, "0 (the default) to 100")
	}
	return nil
}

// gangCouldFit reports whether all members would fit onto idle workers.
func (p *Pool) gangCouldFit(s job.Spec) bool {
	if len(p.workers) == 0 {
		return true
	}
	left := s.Tasks
	for _, w := range p.workers {
		left -= tasksThatFit(s.Size, w.host.Capacity)
	}
	return left <= 0
}

// tasksThatFit returns how many tasks of a size fit into a capacity.
func tasksThatFit(size, capacity job.Size) int {
	n := capacity.MilliCores / size.MilliCores
	n = min(n, capacity.MemoryMB/size.MemoryMB)
	if size.Accelerators > 0 {
		n = min(n, capacity.Accelerators/size.Accelerators)
	}
	return int(max(n, 0))
}

// Accept adds a job whose acceptance is durable. Accepting a job again has no
// effect, even after it has ended.
func (p *Pool) Accept(s job.Spec, now time.Time) {
	if p.accepted[s.ID] {
		return
	}
	j := p.addJob(s)
	if j.isGang() {
		// The first member is queued on behalf of the whole gang.
		for _, t := range j.tasks[1:] {
			t.phase, t.waitingSince = phaseWaiting, now
		}
		p.enqueue(j.tasks[0], now)
		return
	}
	for _, t := range j.tasks {
		p.enqueue(t, now)
	}
}

func (p *Pool) addJob(s job.Spec) *openJob {
	p.arrivals++
	j := &openJob{spec: s, team: p.ensureTeam(s.Team), arrival: p.arrivals, tasks: make([]*task, s.Tasks)}
	for i := range j.tasks {
		j.tasks[i] = &task{job: j, id: job.TaskID{Job: s.ID, Index: i}, size: s.Size}
	}
	p.jobs[s.ID] = j
	p.accepted[s.ID] = true
	p.openTasks += s.Tasks
	return j
}
