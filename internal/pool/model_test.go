package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// modelRun is one attempt on a modelled worker.
type modelRun struct {
	start   platform.Start
	until   time.Time
	ends    time.Time
	changed time.Time
	state   platform.TaskState
}

// modelWorker runs what it is told to under a lease. It keeps time by its own
// clock.
type modelWorker struct {
	host          platform.Host
	clockOffset   time.Duration
	boot          int
	unreachable   bool
	failing       bool
	leaving       bool
	runTimeFactor float64
	runs          map[platform.Attempt]*modelRun
}

func newModelWorker(host platform.Host, offset time.Duration) *modelWorker {
	return &modelWorker{host: host, clockOffset: offset, runTimeFactor: 1, runs: make(map[platform.Attempt]*modelRun)}
}

// settle ends the attempts that are due at the given time of the owner's clock.
func (w *modelWorker) settle(now time.Time) {
	own := now.Add(w.clockOffset)
	for _, r := range w.runs {
		switch {
		case r.state.Ended():
		case !r.ends.IsZero() && !r.ends.After(own) && !r.ends.After(r.until):
			r.state, r.changed = platform.TaskDone, r.ends
		case !r.until.After(own):
			r.state, r.changed = platform.TaskLapsed, r.until
		}
	}
}

func (w *modelWorker) begin(s platform.Start, now time.Time) StartOutcome {
	own := now.Add(w.clockOffset)
	if _, ok := w.runs[s.Attempt]; ok {
		return StartAccepted
	}
	r := &modelRun{start: s, until: s.Until, changed: own, state: platform.TaskRunning}
	w.runs[s.Attempt] = r
	if !s.Until.After(own) {
		r.state = platform.TaskLapsed
		return StartNotRun
	}
	if w.failing {
		r.state = platform.TaskFailed
	}
	if s.RunTime > 0 {
		r.ends = own.Add(time.Duration(float64(s.RunTime) * w.runTimeFactor))
	}
	return StartAccepted
}

func (w *modelWorker) stop(s platform.Stop, now time.Time) {
	if r, ok := w.runs[s.Attempt]; ok && !r.state.Ended() {
		r.state, r.changed = platform.TaskStopped, now.Add(w.clockOffset)
	}
}

func (w *modelWorker) report(req platform.ReportRequest, now time.Time) platform.Report {
	asked := make(map[platform.Attempt]bool)
	for _, renewal := range req.Renewals {
		asked[renewal.Attempt] = true
		if r, ok := w.runs[renewal.Attempt]; ok && !r.state.Ended() && renewal.Until.After(r.until) {
			r.until = renewal.Until
		}
	}
	out := platform.Report{Now: now.Add(w.clockOffset), BootID: fmt.Sprint(w.host.Name, w.boot), Leaving: w.leaving}
	for a, r := range w.runs {
		if r.changed.Before(req.Since) && (!asked[a] || !r.state.Ended()) {
			continue
		}
		out.Tasks = append(out.Tasks, platform.TaskReport{
			Attempt: a, State: r.state, Size: r.start.Size, Until: r.until, Message: "model",
		})
	}
	slices.SortFunc(out.Tasks, func(a, b platform.TaskReport) int { return compareAttempts(a.Attempt, b.Attempt) })
	return out
}

func compareAttempts(a, b platform.Attempt) int {
	return slices.Compare([]string{a.Task.Job, fmt.Sprintf("%06d.%06d", a.Task.Index, a.Number)},
		[]string{b.Task.Job, fmt.Sprintf("%06d.%06d", b.Task.Index, b.Number)})
}

func (w *modelWorker) restart(now time.Time) {
	w.settle(now)
	w.boot++
	clear(w.runs)
}

// running returns the attempts that run, in a fixed order.
func (w *modelWorker) running() []*modelRun {
	keys := slices.SortedFunc(maps.Keys(w.runs), compareAttempts)
	var out []*modelRun
	for _, a := range keys {
		if r := w.runs[a]; !r.state.Ended() {
			out = append(out, r)
		}
	}
	return out
}

// modelGang tracks the starts of one gang.
type modelGang struct {
	members  int
	opened   time.Time
	started  map[int]bool
	complete bool
}

func (g *modelGang) start(index int, now time.Time, window time.Duration) {
	if g.started == nil || now.After(g.opened.Add(window)) {
		g.opened, g.started = now, make(map[int]bool)
	}
	g.started[index] = true
	g.complete = g.complete || len(g.started) == g.members
}

// isSplit reports whether a part of the gang runs beyond its start window.
func (g *modelGang) isSplit(running int, now time.Time, window time.Duration) bool {
	return running > 0 && !g.complete && now.After(g.opened.Add(window))
}

// used returns the sum of what a worker actually runs.
func (w *modelWorker) used() job.Size {
	var sum job.Size
	for _, r := range w.running() {
		sum = sum.Add(r.start.Size)
	}
	return sum
}
