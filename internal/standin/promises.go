package standin

import (
	"cmp"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

type upstreamLimits struct{ slots, connections int }

// end returns the end of a run, or now while it goes on.
func (r TaskRun) end(now time.Time) time.Time {
	if r.State == platform.TaskRunning {
		return now
	}
	return r.End
}

// lasted reports whether a run took any time or still goes on.
func (r TaskRun) lasted() bool { return r.State == platform.TaskRunning || r.End.After(r.Start) }

// change is a step of what a worker runs.
type change struct {
	at    time.Time
	size  job.Size
	start bool
}

// overfull counts the workers whose runs passed their room at some instant. A
// run that ends and one that starts at the same instant do not overlap.
func overfull(runs []TaskRun, rooms map[string]job.Size) int {
	changes := make(map[string][]change)
	for _, r := range runs {
		if !r.lasted() {
			continue
		}
		changes[r.Worker] = append(changes[r.Worker], change{at: r.Start, size: r.Size, start: true})
		if r.State != platform.TaskRunning {
			changes[r.Worker] = append(changes[r.Worker], change{at: r.End, size: r.Size})
		}
	}
	n := 0
	for worker, steps := range changes {
		if passes(steps, rooms[worker]) {
			n++
		}
	}
	return n
}

func passes(steps []change, room job.Size) bool {
	slices.SortStableFunc(steps, func(a, b change) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return cmp.Compare(order(a.start), order(b.start))
	})
	var used job.Size
	for _, s := range steps {
		if !s.start {
			used = used.Sub(s.size)
			continue
		}
		used = used.Add(s.size)
		if !used.Fits(room) {
			return true
		}
	}
	return false
}

// order sorts ends before starts.
func order(start bool) int {
	if start {
		return 1
	}
	return 0
}

// overLimit counts the instances that passed their slots or connections.
func overLimit(runs []RequestRun, limits map[string]upstreamLimits) int {
	over := make(map[string]bool)
	for _, r := range runs {
		limit := limits[r.Upstream]
		if r.Running > limit.slots || r.Connections > limit.connections {
			over[r.Upstream] = true
		}
	}
	return len(over)
}

// inTwoPlaces counts the tasks of which two runs overlapped.
func inTwoPlaces(runs []TaskRun, now time.Time) int {
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
	var busy time.Time
	running := false
	for _, r := range runs {
		if !r.lasted() {
			continue
		}
		if running || r.Start.Before(busy) {
			return true
		}
		running, busy = r.State == platform.TaskRunning, r.end(now)
	}
	return false
}

func sortByStart(runs []TaskRun) {
	slices.SortStableFunc(runs, func(a, b TaskRun) int { return a.Start.Compare(b.Start) })
}

// splitGangs counts the all-at-once jobs of which only a part started.
func splitGangs(runs []TaskRun, gangs map[string]gang, now time.Time) int {
	byJob := make(map[string][]TaskRun)
	for _, r := range runs {
		if _, ok := gangs[r.Attempt.Task.Job]; ok {
			byJob[r.Attempt.Task.Job] = append(byJob[r.Attempt.Task.Job], r)
		}
	}
	n := 0
	for id, own := range byJob {
		if split(own, gangs[id], now) {
			n++
		}
	}
	return n
}

// split looks at the rounds in which a gang was started. A round is in order
// when every member started within the window. One that was rolled back within
// the window is in order too; the next start then begins a new round. Once a
// round was whole, single members may be started again.
func split(runs []TaskRun, g gang, now time.Time) bool {
	sortByStart(runs)
	for len(runs) > 0 {
		closes := runs[0].Start.Add(g.window)
		round := slices.IndexFunc(runs, func(r TaskRun) bool { return r.Start.After(closes) })
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
		if !closes.Before(now) {
			return false
		}
		for _, r := range runs[:round] {
			if r.State == platform.TaskDone || r.end(now).After(closes) {
				return true
			}
		}
		runs = runs[round:]
	}
	return false
}

// firstStarts returns the instant at which each task first started. A run that
// ended as soon as it began, as on a worker that fails every start, is none.
func firstStarts(runs []TaskRun) map[job.TaskID]time.Time {
	first := make(map[job.TaskID]time.Time)
	for _, r := range runs {
		if !r.lasted() {
			continue
		}
		at, known := first[r.Attempt.Task]
		if !known || r.Start.Before(at) {
			first[r.Attempt.Task] = r.Start
		}
	}
	return first
}

// fillRequests compares what callers were told with what upstreams ran.
func (a *Audit) fillRequests(f *Findings, runs []RequestRun) {
	times, repeatable := make(map[string]int), make(map[string]bool)
	for _, r := range runs {
		key := label(platform.UpstreamRequest{ID: r.ID, IdempotencyKey: r.IdempotencyKey})
		times[key]++
		repeatable[key] = r.Idempotent
	}
	for key, n := range times {
		if n > 1 && !repeatable[key] {
			f.Doubled++
		}
	}
	f.Accepted = len(a.requests)
	for key, outcome := range a.requests {
		ran := times[key] > 0
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
