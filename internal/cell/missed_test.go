package cell_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// TestChangesAndTimersAloneMissNoStep guards against a step that becomes
// placeable and that only a sweep evaluates: a sweep reaches few of many steps.
func TestChangesAndTimersAloneMissNoStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, omitNothing, rapid.Bool().Draw(t, "unfenced"))
		w.slow, w.unswept = rapid.Bool().Draw(t, "slow"), true
		w.crashes.drawDeadly = rapid.Bool().Draw(t, "deadly")
		t.Repeat(w.crashActions())
		if w.missed != "" {
			t.Fatal(w.missed)
		}
	})
}

// unsweptCell is a cell whose ticks sweep no steps.
type unsweptCell struct {
	t     *testing.T
	now   time.Time
	cell  *cell.Cell
	began time.Time
	// placed has the worker of each task that was placed.
	placed map[workload.TaskID]cell.WorkerID
}

func newUnsweptCell(t *testing.T) *unsweptCell {
	u := &unsweptCell{t: t, now: time.Unix(1_700_000_000, 0), placed: make(map[workload.TaskID]cell.WorkerID)}
	u.began = u.now
	u.cell = cell.New(u.now, scriptConfig, nopObserver{}, zap.NewNop())
	u.cell.SetManifest(newScript(t).manifest)
	return u
}

func (u *unsweptCell) register(id cell.WorkerID, milliCores int64, labels ...string) {
	u.cell.Register(u.now, cell.Registration{
		ID: id, Incarnation: 1, Machine: "m-" + string(id), Service: "s", Labels: labels, Capacity: job.Size{MilliCores: milliCores},
	})
}

// report has a worker answer a hold call.
func (u *unsweptCell) report(id cell.WorkerID, r cell.Report) {
	r.Incarnation, r.Clock = 1, time.Minute+u.now.Sub(u.began)
	u.cell.Reported(u.now, id, r)
	u.cell.NextHold(u.now, id)
}

// accept accepts a job and restores the given tasks of its steps.
func (u *unsweptCell) accept(id workload.JobID, queue string, steps []workload.Step, tasks ...cell.TaskRecord) {
	for i := range steps {
		steps[i].Tasks, steps[i].Estimate = 1, time.Second
	}
	u.cell.Accept(u.now, cell.AcceptedJob{Job: workload.Job{ID: id, Queue: queue, Spec: "spec", Steps: steps}})
	if len(tasks) == 0 {
		return
	}
	rec := cell.Record{Job: id, State: workload.StateRunning, Occurrences: [][]cell.StepRecord{nil}}
	for _, task := range tasks {
		rec.Occurrences[0] = append(rec.Occurrences[0], cell.StepRecord{Tasks: []cell.TaskRecord{task}})
	}
	u.cell.Restore(u.now, rec)
}

func (u *unsweptCell) decide() {
	u.cell.TakeActions(u.now)
	for _, rec := range u.cell.TakeRecords(100) {
		for k, steps := range rec.Occurrences {
			for i, s := range steps {
				for n, task := range s.Tasks {
					id := workload.TaskID{StepID: workload.StepID{Job: rec.Job, Occurrence: k, Step: i}, Index: n}
					u.placed[id] = task.Worker
				}
			}
		}
		u.cell.Committed(u.now, []cell.Record{rec})
	}
}

// pass lets time pass and then has workers that run nothing report.
func (u *unsweptCell) pass(d time.Duration, idle ...cell.WorkerID) {
	u.now = u.now.Add(d)
	for _, id := range idle {
		u.report(id, cell.Report{})
	}
	u.cell.TickWithoutSweep(u.now)
	u.decide()
}

func (u *unsweptCell) check(id workload.JobID, want cell.WorkerID) {
	u.t.Helper()
	task := workload.TaskID{StepID: workload.StepID{Job: id}}
	if on := u.placed[task]; on != want {
		u.t.Errorf("task %s is placed on %q, want %q", task, on, want)
	}
}

func step(milliCores int64) workload.Step {
	return workload.Step{Size: job.Size{MilliCores: milliCores}}
}

// TestSuspectIsPlacedOnceItsLostRunIsNoCrash guards against a task that waits for
// news of a lost run although it has arrived.
func TestSuspectIsPlacedOnceItsLostRunIsNoCrash(t *testing.T) {
	u := newUnsweptCell(t)
	u.register("w1", 4000)
	u.accept("a", "plain", []workload.Step{step(1000)}, cell.TaskRecord{
		LastRun: 4, Crashes: []cell.Crash{{Run: 1, JustStarted: true}, {Run: 2}, {Run: 3}},
		Lost: []cell.LostRun{{Crash: cell.Crash{Run: 4}, Machine: "m-w2", Incarnation: 1}},
	})
	u.report("w1", cell.Report{})
	u.pass(0)
	u.check("a", "")
	u.register("w2", 1)
	u.report("w2", cell.Report{})
	u.decide()
	u.check("a", "w1")
}

// TestVeryLateUrgentStepDoesNotWaitForOthers guards against an urgent step that
// waits for the starts of others, because it has the lowest rank.
func TestVeryLateUrgentStepDoesNotWaitForOthers(t *testing.T) {
	for _, milliCores := range []int64{1000, 8000} {
		t.Run(fmt.Sprint(milliCores), func(t *testing.T) {
			u := newUnsweptCell(t)
			u.register("w1", 8000)
			late := step(milliCores)
			late.Label = "big"
			u.accept("late", "urgent", []workload.Step{late})
			u.pass(10*time.Second, "w1")
			u.cell.LimitStarts(0)
			u.accept("queued", "plain", []workload.Step{step(8000)})
			u.accept("waits", "plain", []workload.Step{step(8000)})
			u.decide()
			u.check("queued", "w1")
			u.pass(time.Second)
			u.register("w2", 8000, "big")
			u.report("w2", cell.Report{})
			for range 3 {
				u.decide()
			}
			u.check("waits", "")
			u.check("late", "w2")
		})
	}
}

// TestCapacityOfAFailedJobHelpsStepsBeforeIt guards against a step that misses the
// capacity that a job gives back when it fails later in the same decision.
func TestCapacityOfAFailedJobHelpsStepsBeforeIt(t *testing.T) {
	u := newUnsweptCell(t)
	u.cell.RestoreEarlyStartWorkers([]cell.WorkerID{"w1"})
	serving := step(8000)
	serving.LongRunning = true
	exhausted := cell.TaskRecord{LastRun: 4, Crashes: []cell.Crash{{Run: 1, Accepted: true}, {Run: 2, Accepted: true}, {Run: 3, SentListed: true}}}
	u.accept("fails", "plain", []workload.Step{serving, step(1000)}, cell.TaskRecord{}, exhausted)
	u.accept("urgent", "urgent", []workload.Step{step(8000)})
	u.pass(700 * time.Millisecond)
	u.register("w1", 8000)
	u.report("w1", cell.Report{})
	u.decide()
	if state, _ := u.cell.Status("fails"); state == workload.StateRunning {
		u.decide() // the state is visible once it is durable
	}
	u.check("urgent", "w1")
}

// TestSuspectTakesAnIdleWorkerBesideUnknownRuns guards against a suspect that
// waits, because a worker with unknown runs is a better fit than an idle one.
func TestSuspectTakesAnIdleWorkerBesideUnknownRuns(t *testing.T) {
	u := newUnsweptCell(t)
	u.register("w1", 4000)
	u.register("w2", 4000)
	u.accept("ended", "plain", []workload.Step{step(1000)})
	u.cell.Cancel(u.now, "ended")
	u.report("w1", cell.Report{Running: []cell.Running{{Task: workload.TaskID{StepID: workload.StepID{Job: "ended"}}, Run: 1}}})
	u.report("w2", cell.Report{})
	u.pass(0)
	u.accept("a", "plain", []workload.Step{step(1000)}, cell.TaskRecord{LastRun: 1, Crashes: []cell.Crash{{Run: 1, JustStarted: true}}})
	u.decide()
	u.check("a", "w2")
}

// TestSuspectIsIsolatedOnceThereAreMoreWorkers guards against a suspect that waits
// until another worker is no longer kept, although a new worker allows one more.
func TestSuspectIsIsolatedOnceThereAreMoreWorkers(t *testing.T) {
	u := newUnsweptCell(t)
	small := step(1000)
	small.Label = "big"
	suspect := cell.TaskRecord{LastRun: 1, Crashes: []cell.Crash{{Run: 1, JustStarted: true}}}
	for i := range 7 {
		id := cell.WorkerID(fmt.Sprintf("w%d", i))
		u.register(id, 4000, "big")
		u.report(id, cell.Report{})
	}
	u.accept("a", "plain", []workload.Step{small}, suspect)
	u.accept("b", "plain", []workload.Step{small}, suspect)
	u.pass(0)
	u.check("a", "w0")
	u.check("b", "")
	u.register("w7", 4000)
	u.decide()
	u.check("b", "w1")
}

// TestAvoidedWorkerIsUsedAfterAnUnknownFailure guards against a task that avoids
// the worker of an unknown failed run for longer than its avoidDuration.
func TestAvoidedWorkerIsUsedAfterAnUnknownFailure(t *testing.T) {
	u := newUnsweptCell(t)
	u.register("w1", 4000)
	u.accept("a", "plain", []workload.Step{step(1000)}, cell.TaskRecord{LastRun: 1})
	failed := cell.Ended{Number: 1, Task: workload.TaskID{StepID: workload.StepID{Job: "a"}}, Run: 1, Kind: cell.EndFailed}
	u.report("w1", cell.Report{Ended: []cell.Ended{failed}})
	u.pass(0)
	u.check("a", "")
	u.pass(1100*time.Millisecond, "w1")
	u.check("a", "w1")
}

// TestSilentWorkerThatAnswersIsOffered guards against a worker that answers again
// between two ticks and is offered to no step that was evaluated before.
func TestSilentWorkerThatAnswersIsOffered(t *testing.T) {
	u := newUnsweptCell(t)
	u.register("w1", 4000)
	u.report("w1", cell.Report{})
	u.pass(scriptConfig.ContactTimeout)
	u.now = u.now.Add(50 * time.Millisecond)
	u.accept("a", "plain", []workload.Step{step(1000)})
	u.decide()
	u.check("a", "")
	u.report("w1", cell.Report{})
	u.pass(50 * time.Millisecond)
	u.check("a", "w1")
}

// TestAvoidedWorkerIsUsedAfterTheStepBecomesReady guards against the same for a
// run that failed before the step was known to be ready.
func TestAvoidedWorkerIsUsedAfterTheStepBecomesReady(t *testing.T) {
	u := newUnsweptCell(t)
	u.register("w1", 4000)
	u.accept("a", "plain", []workload.Step{step(1000), {Size: job.Size{MilliCores: 1000}, After: []int{0}}},
		cell.TaskRecord{LastRun: 1, Worker: "w1", Run: 1, Machine: "m-w1", Incarnation: 1}, cell.TaskRecord{LastRun: 1})
	before, after := workload.TaskID{StepID: workload.StepID{Job: "a"}}, workload.TaskID{StepID: workload.StepID{Job: "a", Step: 1}}
	ends := []cell.Ended{{Number: 1, Task: after, Run: 1, Kind: cell.EndFailed}, {Number: 2, Task: before, Run: 1, Kind: cell.EndDone}}
	running := []cell.Running{{Task: before, Run: 1, Percent: 50}}
	u.report("w1", cell.Report{Running: running, Ended: ends[:1]})
	u.pass(500 * time.Millisecond)
	u.report("w1", cell.Report{Ended: ends})
	u.decide()
	u.pass(600*time.Millisecond, "w1")
	u.pass(500*time.Millisecond, "w1")
	if on := u.placed[after]; on != "w1" {
		t.Errorf("task %s is placed on %q, want w1", after, on)
	}
}
