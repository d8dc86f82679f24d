package cell_test

import (
	"fmt"
	"math"
	"slices"
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

func (w *simulation) submit() {
	if len(w.jobs) >= 6 {
		return
	}
	id := workload.JobID(fmt.Sprintf("%016x", len(w.jobs)+1))
	queue := w.manifest.Queues[rapid.IntRange(0, 1).Draw(w.t, "queue")]
	a := cell.AcceptedJob{Job: workload.Job{ID: id, Queue: queue.Name, Spec: "spec"}, Queue: queue}
	if rapid.IntRange(0, 3).Draw(w.t, "timed") == 0 {
		a.Job.Schedule = workload.Schedule{
			First: w.now.Add(w.drawDuration("first", 0, 3000)), Every: w.drawDuration("every", 500, 2000),
			Times: rapid.IntRange(1, 2).Draw(w.t, "times"),
		}
	}
	for i := range rapid.IntRange(1, maxJobSteps).Draw(w.t, "steps") {
		step := workload.Step{
			Tasks:    rapid.IntRange(1, 3).Draw(w.t, "tasks"),
			Size:     job.Size{MilliCores: int64(rapid.IntRange(1, 3).Draw(w.t, "cores")) * 1000, MemoryMB: 500},
			Estimate: time.Second, Checkpoints: rapid.Bool().Draw(w.t, "saves"),
		}
		w.addConstraint(&step)
		if i > 0 {
			step.After = []int{i - 1}
		} else if len(w.jobs) == 0 && (w.lastingRunsEnd || rapid.Bool().Draw(w.t, "lasts")) {
			// A small size leaves capacity for everything else.
			step.LongRunning, step.Tasks, step.Size.MilliCores = true, rapid.IntRange(1, 2).Draw(w.t, "lasting"), 500
			step.HasMaxUnavailable, step.MaxUnavailable = rapid.Bool().Draw(w.t, "limitsAway"), 1
			step.Gang, step.MaxPerWorker, step.Label = false, 0, ""
			a.Job.Schedule = workload.Schedule{}
		}
		a.Job.Steps = append(a.Job.Steps, step)
		if step.LongRunning {
			break
		}
	}
	w.drawDeadly(&a.Job)
	w.drawAccount(&a)
	w.jobs = append(w.jobs, a)
	for _, o := range w.owners {
		// A replaced owner may not learn of new jobs.
		if !w.unfenced || o == w.owner() {
			o.cell.Accept(w.now, a)
		}
	}
}

// addConstraint gives a step some of the constraints that a client may set.
func (w *simulation) addConstraint(step *workload.Step) {
	switch rapid.IntRange(0, 7).Draw(w.t, "shape") {
	case 0, 1:
		step.Gang = true
		step.Size.MilliCores = min(step.Size.MilliCores, 2000)
	case 2:
		step.MaxPerWorker = 1
	case 3:
		step.Label = workerLabels[rapid.IntRange(0, 1).Draw(w.t, "label")]
	}
}

func (w *simulation) cancel() {
	if len(w.jobs) == 0 {
		return
	}
	id := w.jobs[rapid.IntRange(0, len(w.jobs)-1).Draw(w.t, "job")].Job.ID
	w.cancelled[id] = true
	w.owner().cell.Cancel(w.now, id)
}

func (w *simulation) anyWorker() *simWorker {
	live := w.live()
	if len(live) == 0 {
		return w.workers[len(w.workers)-1]
	}
	return live[rapid.IntRange(0, len(live)-1).Draw(w.t, "worker")]
}

func (w *simulation) anyOwner() *simOwner {
	return w.owners[rapid.IntRange(0, len(w.owners)-1).Draw(w.t, "owner")]
}

func (w *simulation) anyHold() { w.hold(w.anyOwner(), w.anyWorker()) }

// holdAll has the current owner call all workers before any other call arrives.
func (w *simulation) holdAll() {
	for _, s := range w.live() {
		w.holdNow(w.owner(), s)
	}
}

// reaches reports whether a call reaches its worker.
func (c *simCall) reaches() bool {
	from := c.worker.cutFromEpoch
	return !c.worker.unreachable() && (from == 0 || c.owner.epoch < from)
}

// takeCall removes a random call that is in flight.
func (w *simulation) takeCall() *simCall {
	if len(w.calls) == 0 {
		return nil
	}
	i := rapid.IntRange(0, len(w.calls)-1).Draw(w.t, "call")
	c := w.calls[i]
	w.calls = append(w.calls[:i], w.calls[i+1:]...)
	return c
}

// deliver executes a call and delivers its answer.
func (w *simulation) deliver() {
	c := w.takeCall()
	if c == nil {
		return
	}
	w.finish(c)
}

// deliverAll executes the calls that are in flight now, in order. The later ones remain in
// flight meanwhile, so that the oracle sees them.
func (w *simulation) deliverAll() {
	for range len(w.calls) {
		c := w.calls[0]
		w.calls = w.calls[1:]
		w.finish(c)
	}
}

func (w *simulation) finish(c *simCall) {
	if c.maintenance != nil {
		w.finishMaintenance(c)
		return
	}
	if !c.reaches() {
		w.unanswered(c)
		return
	}
	outcome, report, fenced := w.execute(c)
	if c.worker.unread {
		w.unanswered(c)
		return
	}
	if c.answered || c.owner.stopped {
		return
	}
	c.answered = true
	if fenced {
		c.owner.stopped = true
		return
	}
	w.answer(c, outcome, report)
}

func (w *simulation) finishMaintenance(c *simCall) {
	outcome, fenced := w.maintenance(c.owner, c.maintenance)
	if c.answered || c.owner.stopped {
		return
	}
	c.answered = true
	if c.owner.stopped = fenced; !fenced {
		c.owner.cell.Maintained(w.now, *c.maintenance, outcome)
	}
}

func (w *simulation) answer(c *simCall, outcome cell.StartOutcome, report cell.Report) {
	o := c.owner.cell
	switch {
	case c.start != nil:
		o.Started(w.now, c.worker.id, c.start.Task, c.start.Run, outcome)
	case c.stop != nil:
		o.Stopped(c.worker.id, c.stop.Task, c.stop.Run, outcome.Clock)
	default:
		c.worker.reportedEnds = c.worker.ended
		o.Reported(w.now, c.worker.id, report)
		w.crashReported(c, report)
		if w.omit == omitAckDurable {
			o.Committed(w.now, o.TakeRecords(100))
		}
	}
	w.act(c.owner)
}

// unanswered tells the owner that a call was not answered.
func (w *simulation) unanswered(c *simCall) {
	if c.answered || c.owner.stopped {
		return
	}
	c.answered = true
	if c.maintenance != nil {
		c.owner.cell.Maintained(w.now, *c.maintenance, cell.MaintenanceRetry)
	}
	if c.start != nil {
		outcome := cell.StartOutcome{Unknown: true}
		if w.omit == omitUncertainStart {
			outcome = cell.StartOutcome{NotSent: true}
		}
		c.owner.cell.Started(w.now, c.worker.id, c.start.Task, c.start.Run, outcome)
		w.act(c.owner)
	}
	if c.hold != nil {
		c.owner.cell.HoldFailed(c.worker.id)
	}
}

// loseAnswer executes a call and loses its answer.
func (w *simulation) loseAnswer() {
	c := w.takeCall()
	switch {
	case c == nil:
		return
	case c.maintenance != nil:
		w.maintenance(c.owner, c.maintenance)
	case c.reaches():
		// The owner gets no answer, so the start counts as an uncertain one.
		answered := c.answered
		c.answered = true
		w.execute(c)
		c.answered = answered
	}
	w.unanswered(c)
}

// delay reports a call as unanswered now and keeps it in flight for later
// execution.
func (w *simulation) delay() {
	c := w.takeCall()
	if c == nil {
		return
	}
	w.unanswered(c)
	w.calls = append(w.calls, c)
}

// delayAll reports all calls in flight as unanswered for now.
func (w *simulation) delayAll() {
	for _, c := range slices.Clone(w.calls) {
		w.unanswered(c)
	}
}

// commit resolves the transaction that an owner has in flight.
func (w *simulation) commit() {
	o := w.anyOwner()
	if o.commit == nil || o.stopped {
		return
	}
	commit := o.commit
	o.commit = nil
	if o.epoch < w.epoch {
		o.stopped = true
		return
	}
	switch rapid.IntRange(0, 5).Draw(w.t, "commit") {
	case 0: // refused
		o.cell.NotCommitted(commit.jobs)
	case 1: // executed, and the answer lost
		w.write(commit)
		o.cell.NotCommitted(commit.jobs)
	default:
		w.write(commit)
		o.committed(w.now, commit)
	}
	w.act(o)
}

func (o *simOwner) committed(now time.Time, commit *simCommit) {
	o.confirmedAt = commit.begun
	o.cell.Committed(now, commit.jobs)
	o.cell.WavesCommitted(commit.waves)
	o.cell.EarlyStartWorkersCommitted(commit.earlyStartWorkers)
}

func (w *simulation) write(commit *simCommit) {
	w.writtenAt = w.now
	for _, r := range commit.jobs {
		w.store[r.Job] = r
		w.noteDurable(commit.epoch, r)
	}
	for _, r := range commit.waves {
		w.storeWaves[r.Wave] = r
	}
	w.storeEarlyStartWorkers = commit.earlyStartWorkers
}

// restart crashes a worker, which is back at once under the same ID.
func (w *simulation) restart() {
	s := w.anyWorker()
	if s.replaced || s.dead {
		return
	}
	w.noteCrash(s, 0)
	w.beginIncarnation(s)
}

// begin begins a new incarnation of a worker under the same ID, of which no owner knows.
func (w *simulation) begin(s *simWorker) {
	s.machine.incarnation++
	s.incarnation = s.machine.incarnation
	s.since = w.now
	s.fence, s.deadline, s.ended, s.reportedEnds = 0, 0, 0, 0
	s.runs, s.highest, s.ends = make(map[workload.TaskID]*simRun), make(map[workload.TaskID]int), nil
	s.lapses, s.lapsesAtEnd = 0, make(map[int64]int)
	s.leaving, s.toldToLeave, s.lapsed = false, false, false
}

// beginIncarnation begins a new incarnation of a worker under the same ID.
func (w *simulation) beginIncarnation(s *simWorker) {
	w.begin(s)
	// Of the calls in flight only stops may still reach the new incarnation:
	// docs/ASSUMPTIONS.md says why.
	calls := w.calls
	w.calls = nil
	for _, c := range calls {
		if c.worker != s || c.stop != nil {
			w.calls = append(w.calls, c)
		}
	}
	for _, c := range calls {
		if c.worker == s {
			w.unanswered(c)
		}
	}
	for _, o := range w.owners {
		o.cell.HoldFailed(s.id)
	}
	w.owner().cell.Register(w.now, w.registration(s))
}

// failOver loses the owner and a worker at the same moment, after all calls in
// flight have been executed.
func (w *simulation) failOver() {
	w.deliverAll()
	w.anyWorker().cut = true
	w.takeOver()
	w.holdAll()
}

// failOverEnded is failOver where the processes of all earlier owners have ended,
// and their successor knows it.
func (w *simulation) failOverEnded() {
	w.deliverAll()
	w.anyWorker().cut = true
	for _, o := range w.owners {
		o.stopped = true
	}
	w.takeOver()
	w.owner().cell.PredecessorEnded()
	for until := w.now.Add(w.drawDuration("ended", 100, 9000)); w.now.Before(until); {
		w.stepWithoutFaults()
	}
}

// failOverStranded is failOver where only the earlier owners reach the worker. The
// last of them goes on with it.
func (w *simulation) failOverStranded() {
	w.deliverAll()
	old, s := w.owner(), w.anyWorker()
	s.cutFromEpoch = w.epoch + 1
	w.takeOver()
	w.holdAll()
	for until := w.now.Add(w.drawDuration("stranded", 100, 9000)); w.now.Before(until); {
		w.holdNow(old, s)
		w.stepWithoutFaults()
	}
}

// holdNow has an owner call a worker before any other call arrives.
func (w *simulation) holdNow(o *simOwner, s *simWorker) {
	others := w.calls
	w.calls = nil
	w.hold(o, s)
	holds := w.calls
	w.calls = others
	for _, c := range holds {
		w.finish(c)
	}
}

func (w *simulation) cut() {
	s := w.anyWorker()
	s.cutFromEpoch = 0
	s.cut = s.replaced || !s.cut
}

func (w *simulation) leave() {
	s := w.anyWorker()
	if s.replaced || s.dead {
		return
	}
	s.leaving = !s.leaving
	s.toldToLeave, s.lapsed = true, false
	w.owner().cell.Register(w.now, w.registration(s))
}

// stepWithoutFaults advances the time by one step in which every call and
// commit of the owner succeeds.
func (w *simulation) stepWithoutFaults() {
	w.holdAll()
	w.deliverAll()
	w.commitNow()
	w.advance(100 * time.Millisecond)
}

// commitNow has the commit of the current owner succeed.
func (w *simulation) commitNow() {
	o := w.owner()
	if o.commit != nil {
		w.write(o.commit)
		o.committed(w.now, o.commit)
		o.commit = nil
	}
	w.act(o)
}

// limit draws how many starts an owner may send at a time from now on.
func (w *simulation) limit() int {
	return rapid.SampledFrom([]int{0, 1, 2, math.MaxInt}).Draw(w.t, "limit")
}

// finishJobs ends all faults and advances the simulation until all jobs and waves
// have ended, which they have to.
func (w *simulation) finishJobs() {
	w.startLimit = max(w.startLimit, 1)
	w.growAll()
	w.keepLasting()
	for _, s := range w.live() {
		s.cut, s.cutFromEpoch = false, 0
		if s.dead {
			continue
		}
		s.leaving, s.lapsed = false, false
		w.owner().cell.Register(w.now, w.registration(s))
	}
	for range w.stepsToFinish() {
		w.stepWithoutFaults()
		if w.allEnded() || w.violation != "" {
			w.checkGivenUp()
			return
		}
	}
	w.fail("jobs have not ended: %s\n%s", w.open(), w.owner().cell.Describe())
}
