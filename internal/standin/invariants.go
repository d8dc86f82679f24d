package standin

import (
	"cmp"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

type upstreamLimits struct{ slots, connections int }

// endAt returns the end of a run, or now if it is still running.
func (r TaskRun) endAt(now time.Time) time.Time {
	if r.State == platform.TaskRunning {
		return now
	}
	return r.End
}

// hasDuration reports whether a run took any time or is still running.
func (r TaskRun) hasDuration() bool { return r.State == platform.TaskRunning || r.End.After(r.Start) }

// usageChange is the start or the end of a run, which changes the resources in use
// on a worker.
type usageChange struct {
	at    time.Time
	size  job.Size
	start bool
}

// countOverfullHosts counts the workers whose runs exceeded their capacity at some
// instant. A run that ends and one that starts at the same instant do not overlap.
func countOverfullHosts(runs []TaskRun, capacities map[string]job.Size) int {
	changes := make(map[string][]usageChange)
	for _, r := range runs {
		if !r.hasDuration() {
			continue
		}
		changes[r.Worker] = append(changes[r.Worker], usageChange{at: r.Start, size: r.Size, start: true})
		if r.State != platform.TaskRunning {
			changes[r.Worker] = append(changes[r.Worker], usageChange{at: r.End, size: r.Size})
		}
	}
	n := 0
	for worker, steps := range changes {
		if exceedsCapacity(steps, capacities[worker]) {
			n++
		}
	}
	return n
}

func exceedsCapacity(steps []usageChange, capacity job.Size) bool {
	slices.SortStableFunc(steps, func(a, b usageChange) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return cmp.Compare(sortRank(a.start), sortRank(b.start))
	})
	var used job.Size
	for _, s := range steps {
		if !s.start {
			used = used.Sub(s.size)
			continue
		}
		used = used.Add(s.size)
		if !used.Fits(capacity) {
			return true
		}
	}
	return false
}

// sortRank orders the end of a run before a start at the same instant.
func sortRank(start bool) int {
	if start {
		return 1
	}
	return 0
}

// countOverfullUpstreams counts the instances that exceeded their slots or
// connections.
func countOverfullUpstreams(runs []RequestRun, limits map[string]upstreamLimits) int {
	over := make(map[string]bool)
	for _, r := range runs {
		limit := limits[r.Upstream]
		if r.Running > limit.slots || r.Connections > limit.connections {
			over[r.Upstream] = true
		}
	}
	return len(over)
}

// countTasksInTwoPlaces counts the tasks with two runs that overlap.
func countTasksInTwoPlaces(runs []TaskRun, now time.Time) int {
	byTask := make(map[job.TaskID][]TaskRun)
	for _, r := range runs {
		byTask[r.Attempt.Task] = append(byTask[r.Attempt.Task], r)
	}
	n := 0
	for _, own := range byTask {
		if overlaps(own, now) {
			n++
		}
	}
	return n
}

func overlaps(runs []TaskRun, now time.Time) bool {
	sortByStart(runs)
	var lastEnd time.Time
	running := false
	for _, r := range runs {
		if !r.hasDuration() {
			continue
		}
		if running || r.Start.Before(lastEnd) {
			return true
		}
		running, lastEnd = r.State == platform.TaskRunning, r.endAt(now)
	}
	return false
}

func sortByStart(runs []TaskRun) {
	slices.SortStableFunc(runs, func(a, b TaskRun) int { return a.Start.Compare(b.Start) })
}

// countSplitGangs counts the all-at-once jobs of which only some members started.
func countSplitGangs(runs []TaskRun, gangs map[string]gang, now time.Time) int {
	byJob := make(map[string][]TaskRun)
	for _, r := range runs {
		if _, ok := gangs[r.Attempt.Task.Job]; ok {
			byJob[r.Attempt.Task.Job] = append(byJob[r.Attempt.Task.Job], r)
		}
	}
	n := 0
	for id, own := range byJob {
		if isSplit(own, gangs[id], now) {
			n++
		}
	}
	return n
}

// isSplit checks the rounds in which a gang was started. A round is valid if every
// member started within the window, or if it was rolled back within the window;
// the next start then begins a new round. After a round in which every member
// started, single members may be restarted.
func isSplit(runs []TaskRun, g gang, now time.Time) bool {
	sortByStart(runs)
	for len(runs) > 0 {
		windowEnd := runs[0].Start.Add(g.window)
		round := slices.IndexFunc(runs, func(r TaskRun) bool { return r.Start.After(windowEnd) })
		if round < 0 {
			round = len(runs)
		}
		members := make(map[int]bool)
		for _, r := range runs[:round] {
			members[r.Attempt.Task.Index] = true
		}
		if len(members) >= g.members {
			return false
		}
		if !windowEnd.Before(now) {
			return false
		}
		for _, r := range runs[:round] {
			if r.State == platform.TaskDone || r.endAt(now).After(windowEnd) {
				return true
			}
		}
		runs = runs[round:]
	}
	return false
}

// firstStarts returns the instant at which each task first started. It ignores
// runs that took no time, such as those on a worker that fails every start.
func firstStarts(runs []TaskRun) map[job.TaskID]time.Time {
	first := make(map[job.TaskID]time.Time)
	for _, r := range runs {
		if !r.hasDuration() {
			continue
		}
		at, known := first[r.Attempt.Task]
		if !known || r.Start.Before(at) {
			first[r.Attempt.Task] = r.Start
		}
	}
	return first
}

// fillRequests compares the outcomes that callers received with the requests that
// upstreams ran.
func (a *Audit) fillRequests(f *Findings, runs []RequestRun) {
	runCounts, idempotent := make(map[string]int), make(map[string]bool)
	for _, r := range runs {
		key := requestLabel(platform.UpstreamRequest{ID: r.ID, IdempotencyKey: r.IdempotencyKey})
		runCounts[key]++
		idempotent[key] = r.Idempotent
	}
	for key, n := range runCounts {
		if n > 1 && !idempotent[key] {
			f.Doubled++
		}
	}
	f.Accepted = len(a.requests)
	for key, outcome := range a.requests {
		ran := runCounts[key] > 0
		switch outcome {
		case OutcomeAnswered:
			f.Answered++
			if !ran {
				f.Lost++
			}
		case OutcomeNotRun:
			f.NotRun++
			if ran {
				f.RefusedButRan++
			}
		case OutcomeUnknown:
			f.Unknown++
		default:
			f.Lost++
		}
	}
}
