package owner

import (
	"maps"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// leasedWorker is a worker that keeps its lease, refuses starts that are late or old, and
// lists ends until they are acknowledged. Times are durations since the start of the
// test, which are also the readings of the worker's clock. Its methods first advance it
// to the current time.
type leasedWorker struct {
	id    cell.WorkerID
	slots int
	// maxLease is the longest lease that it grants.
	maxLease time.Duration
	deadline time.Duration
	// fence is the highest fencing token seen.
	fence   uint64
	running map[workload.TaskID]*leasedRun
	// highest has the highest run of each task that was stopped or has ended.
	highest map[workload.TaskID]int
	// ends has all ends, by number minus 1, and acknowledged the number of the last one
	// that was acknowledged.
	ends         []*leasedEnd
	acknowledged int64
	// lapses holds when the lease has expired.
	lapses []time.Duration
}

// leasedRun is a run that has been accepted.
type leasedRun struct {
	task   workload.TaskID
	number int
	worker cell.WorkerID
	start  time.Duration
	// due is when it ends as done, unless the lease expires before that.
	due time.Duration
}

// leasedEnd is the end of a run.
type leasedEnd struct {
	cell.Ended
	at time.Duration
	// listed is set once an answer has listed the end, for the first time at listedAt,
	// and acknowledged once a hold call has acknowledged it, at acknowledgedAt.
	listed         bool
	listedAt       time.Duration
	acknowledged   bool
	acknowledgedAt time.Duration
}

func newLeasedWorker(id cell.WorkerID, slots int, maxLease time.Duration) *leasedWorker {
	return &leasedWorker{
		id: id, slots: slots, maxLease: maxLease,
		running: make(map[workload.TaskID]*leasedRun), highest: make(map[workload.TaskID]int),
	}
}

// advance ends the runs that have ended by now, in order, and the lease if it has expired.
func (w *leasedWorker) advance(now time.Duration) {
	expired := now > w.deadline
	runs := slices.SortedFunc(maps.Values(w.running), func(a, b *leasedRun) int {
		if a.due != b.due {
			return int(a.due - b.due)
		}
		return int(a.start - b.start)
	})
	for _, r := range runs {
		switch {
		case r.due <= now && r.due <= w.deadline:
			w.end(r, r.due, cell.EndDone)
		case expired:
			w.end(r, w.deadline, cell.EndLeaseExpired)
		}
	}
	if expired && (len(w.lapses) == 0 || w.lapses[len(w.lapses)-1] < w.deadline) {
		w.lapses = append(w.lapses, w.deadline)
	}
}

func (w *leasedWorker) end(r *leasedRun, at time.Duration, how cell.EndKind) {
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	e := cell.Ended{Number: int64(len(w.ends)) + 1, Task: r.task, Run: r.number, Kind: how}
	w.ends = append(w.ends, &leasedEnd{Ended: e, at: at})
}

func (w *leasedWorker) extendLease(now, deadline time.Duration) {
	w.deadline = max(w.deadline, min(deadline, now+w.maxLease))
}

// begin takes a hold call. It returns cell.ErrFenced if the call is of an earlier owner.
func (w *leasedWorker) begin(now time.Duration, request cell.HoldRequest, fence uint64) error {
	w.advance(now)
	if fence < w.fence {
		return cell.ErrFenced
	}
	w.fence = fence
	w.extendLease(now, request.Deadline)
	for w.acknowledged < min(request.Acknowledged, int64(len(w.ends))) {
		e := w.ends[w.acknowledged]
		e.acknowledged, e.acknowledgedAt = true, now
		w.acknowledged++
	}
	return nil
}

// hasEnds reports whether there are ends to list.
func (w *leasedWorker) hasEnds(now time.Duration) bool {
	w.advance(now)
	return w.acknowledged < int64(len(w.ends))
}

// report returns the answer to a hold call, and records when ends are first listed.
func (w *leasedWorker) report(now time.Duration) cell.Report {
	w.advance(now)
	out := cell.Report{Incarnation: 1, Clock: now}
	byStart := func(a, b *leasedRun) int { return int(a.start - b.start) }
	for _, r := range slices.SortedFunc(maps.Values(w.running), byStart) {
		percent := int(100 * (now - r.start) / (r.due - r.start))
		out.Running = append(out.Running, cell.Running{Task: r.task, Run: r.number, Percent: percent})
	}
	for _, e := range w.ends[w.acknowledged:] {
		if !e.listed {
			e.listed, e.listedAt = true, now
		}
		out.Ended = append(out.Ended, e.Ended)
	}
	return out
}

// start takes a start of a run that lasts for a time, and returns the run if it has begun.
func (w *leasedWorker) start(now time.Duration, s cell.SendStart, fence uint64, lasts time.Duration) (*leasedRun, cell.Refusal) {
	w.advance(now)
	if fence < w.fence {
		return nil, cell.RefusedFence
	}
	w.fence = fence
	if s.Deadline < now {
		return nil, cell.RefusedLate
	}
	w.extendLease(now, s.Deadline)
	if s.Run <= w.highest[s.Task] {
		return nil, cell.RefusedStale
	}
	if r, there := w.running[s.Task]; there && r.number == s.Run {
		return nil, ""
	}
	if len(w.running) >= w.slots {
		return nil, cell.RefusedCapacity
	}
	r := &leasedRun{task: s.Task, number: s.Run, worker: w.id, start: now, due: now + lasts}
	w.running[s.Task] = r
	return r, ""
}

// stop takes a stop. Starts of the run that arrive later are refused as old.
func (w *leasedWorker) stop(now time.Duration, s cell.SendStop, fence uint64) error {
	w.advance(now)
	if fence < w.fence {
		return cell.ErrFenced
	}
	w.fence = fence
	w.highest[s.Task] = max(w.highest[s.Task], s.Run)
	if r, there := w.running[s.Task]; there && r.number <= s.Run {
		w.end(r, now, cell.EndStopped)
	}
	return nil
}

// lapsedWithin reports whether the lease has expired in a period.
func (w *leasedWorker) lapsedWithin(from, to time.Duration) bool {
	return slices.ContainsFunc(w.lapses, func(at time.Duration) bool { return from <= at && at <= to })
}
