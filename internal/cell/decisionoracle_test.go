package cell_test

import (
	"fmt"
	"strings"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// The oracle judges starts by the ends that the platform has taken note of. One success,
// or the failures of as many runs as a task has attempts, decide about a task, and the
// platform forbids each start after these ends, whether they are taken note of before the
// start or later. An end is taken note of when it is acknowledged, unless the lease of its
// worker has lapsed between the two; an end that is not taken note of does not count.
//
// Where no fault is near, an end is also taken note of soon after its worker has listed it,
// whether that answer was read or not. So owners have to wait for a worker whose answers are
// lost, as long as they promise to: for 2.3 s after its lease.

// listedNotice is how long after an end was listed it is taken note of.
const listedNotice = 100 * time.Millisecond

// decisionKey identifies the ends that decide about a task together. All ends of a gang have
// one key.
type decisionKey struct {
	task workload.TaskID
	kind cell.EndKind
}

// decision holds the ends that may decide about a task, and the starts of the task.
type decision struct {
	// limit is how many of the ends decide.
	limit  int
	ends   []*decidingEnd
	starts []startAfterEnds
}

// decidingEnd is a success, or a failure.
type decidingEnd struct {
	decision *decision
	worker   *simWorker
	ended    cell.Ended
	// listed is when the worker first listed the end in an answer; zero until then.
	listed time.Time
	// noted is set once the platform has taken note of the end.
	noted bool
}

// startAfterEnds is a start that a worker has accepted after a number of ends.
type startAfterEnds struct {
	task   workload.TaskID
	run    int
	worker cell.WorkerID
	ends   int
}

// decisionOf returns the decision that ends of a kind belong to.
func (w *simulation) decisionOf(id workload.TaskID, kind cell.EndKind) *decision {
	key := decisionKey{failureKey(w.step(id), id), kind}
	d, known := w.decisions[key]
	if !known {
		d = &decision{limit: 1}
		if kind == cell.EndFailed {
			d.limit = maxAttempts
		}
		w.decisions[key] = d
	}
	return d
}

// noteEnd records an end that may decide about its task. A long-running task is started
// again however its runs end.
func (w *simulation) noteEnd(s *simWorker, e cell.Ended) {
	if e.Kind != cell.EndDone && e.Kind != cell.EndFailed || w.step(e.Task).LongRunning {
		return
	}
	d := w.decisionOf(e.Task, e.Kind)
	end := &decidingEnd{decision: d, worker: s, ended: e}
	d.ends = append(d.ends, end)
	w.decidingEnds[s.keyOf(e)] = end
}

// checkDecisions checks a start that its worker accepts against the ends so far, and notes
// it for those that are taken note of later.
func (w *simulation) checkDecisions(s *simWorker, a *cell.SendStart) {
	if w.step(a.Task).LongRunning {
		return
	}
	for _, kind := range []cell.EndKind{cell.EndDone, cell.EndFailed} {
		d := w.decisionOf(a.Task, kind)
		d.starts = append(d.starts, startAfterEnds{a.Task, a.Run, s.id, len(d.ends)})
		w.checkDecision(d)
	}
}

// takeNote takes note of an end, unless the lease of its worker has lapsed since.
func (w *simulation) takeNote(s *simWorker, e cell.Ended) {
	end, decides := w.decidingEnds[s.keyOf(e)]
	if !decides || end.noted || s.lapsedSince(e.Number, s.clock(w.now)) {
		return
	}
	end.noted = true
	w.checkDecision(end.decision)
}

// noteListed records that a worker lists its ends in an answer.
func (w *simulation) noteListed(s *simWorker) {
	for _, e := range s.ends {
		if end, decides := w.decidingEnds[s.keyOf(e)]; decides && end.listed.IsZero() {
			end.listed = w.now
		}
	}
}

// takeNoteOfListed takes note of the ends that were listed listedNotice ago.
func (w *simulation) takeNoteOfListed() {
	if !w.listedEndsCount {
		return
	}
	for _, s := range w.workers {
		for _, e := range s.ends {
			end, decides := w.decidingEnds[s.keyOf(e)]
			if decides && !end.listed.IsZero() && w.now.Sub(end.listed) >= listedNotice {
				w.takeNote(s, e)
			}
		}
	}
}

// checkDecision checks that no start has followed the ends that decide about its task.
func (w *simulation) checkDecision(d *decision) {
	for _, start := range d.starts {
		var noted []string
		for _, e := range d.ends[:start.ends] {
			if e.noted {
				noted = append(noted, e.String())
			}
		}
		if len(noted) >= d.limit {
			w.fail("task %s was started as run %d at %s after ends that were taken note of: %s",
				start.task, start.run, start.worker, strings.Join(noted, ", "))
		}
	}
}

func (e *decidingEnd) String() string {
	return fmt.Sprintf("run %d of %s had ended as %s at %s", e.ended.Run, e.ended.Task, e.ended.Kind, e.worker.id)
}
