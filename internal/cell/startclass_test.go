package cell_test

import (
	"slices"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// startsOf places and commits without sending a start, and then returns the jobs of
// the starts that are sent, in their order.
func (b *backlog) startsOf(jobs ...func()) []workload.JobID {
	b.cell.LimitStarts(0)
	for _, accept := range jobs {
		accept()
		for range 5 {
			b.cell.TakeActions(b.now)
			b.cell.Committed(b.now, b.cell.TakeRecords(1000))
		}
	}
	b.cell.LimitStarts(1 << 20)
	var out []workload.JobID
	for _, a := range b.cell.TakeActions(b.now) {
		if s, is := a.(cell.SendStart); is {
			out = append(out, s.Task.Job)
		}
	}
	return slices.Compact(out)
}

func (b *backlog) accepting(id workload.JobID, queue string, tasks int, lasting bool) func() {
	return func() {
		b.accept(id, queue, workload.Step{Tasks: tasks, Size: job.Size{MilliCores: 100}, Estimate: time.Second, LongRunning: lasting})
	}
}

// wait has all workers answer hold calls for some time.
func (b *backlog) wait(lasts time.Duration) {
	for end := b.now.Add(lasts); b.now.Before(end); {
		b.now = b.now.Add(time.Second)
		for _, id := range b.workers {
			b.cell.NextHold(b.now, id)
			for i := range b.running[id] {
				b.running[id][i].Percent = (b.running[id][i].Percent + 1) % 100
			}
			b.report(id)
		}
		b.cell.Tick(b.now)
	}
}

func TestLongRunningStartsAreQueuedBehindUrgentOnes(t *testing.T) {
	b := newBacklog(t, 100, 0, whyUnanswered)
	got := b.startsOf(b.accepting("urgent", "first", 600, false), func() { b.now = b.now.Add(time.Second) },
		b.accepting("lasting", "free", 10, true))
	if len(got) == 0 || got[0] != "lasting" {
		t.Errorf("starts were sent in the order %v", got)
	}
}

func TestStartsOfExpiredJobsAreQueuedBeforeOthers(t *testing.T) {
	b := newBacklog(t, 100, 0, whyUnanswered)
	b.accept("expired", "first", workload.Step{Tasks: 1, Size: job.Size{MilliCores: minCapacity * 5}, Estimate: time.Second})
	b.wait(time.Minute)
	got := b.startsOf(func() { b.addWorker("large", minCapacity*5) }, b.accepting("other", "free", 1, false))
	if len(got) != 2 || got[0] != "other" {
		t.Errorf("starts were sent in the order %v", got)
	}
}

// A manifest can change the class of a step and not its rank. The step must neither stay
// among those of its earlier class nor remain there after its job has ended.
func TestStepFollowsItsClassThroughManifests(t *testing.T) {
	b := newBacklog(t, 4, 0, whyUnanswered)
	for i, queue := range []string{"first", "hold", "first", "hold"} {
		id := workload.JobID(queue + string(rune('a'+i)))
		b.accept(id, queue, workload.Step{Tasks: 1, Size: job.Size{MilliCores: minCapacity * 5}, Estimate: time.Second, LongRunning: i > 1})
	}
	b.wait(time.Minute)
	b.cell.TakeActions(b.now) // the jobs expire
	check := func(when string) {
		t.Helper()
		if steps := b.cell.Misfiled(); len(steps) > 0 {
			t.Errorf("%s the class of %v is wrong", when, steps)
		}
	}
	check("before the manifest")
	m := backlogManifest
	m.Version++
	m.Queues = slices.Clone(m.Queues)
	for i := range m.Queues {
		m.Queues[i].Priority = 2 - m.Queues[i].Priority
	}
	b.cell.LimitStarts(0)
	b.cell.Tick(b.now) // the steps are marked before their class changes
	b.cell.SetManifest(&m)
	b.cell.TakeActions(b.now)
	check("with the manifest")
	b.cell.Tick(b.now)
	for _, id := range []workload.JobID{"firsta", "holdb", "firstc", "holdd"} {
		b.cell.Cancel(b.now, id)
	}
	check("after the jobs")
}

func TestExpiredJobsPreemptOthers(t *testing.T) {
	for _, waited := range []time.Duration{time.Second, time.Minute} {
		b := newBacklog(t, 1, 0, whyUnanswered)
		b.accept("others", "free", workload.Step{Tasks: 1, Size: job.Size{MilliCores: 16000 - 600}, Estimate: time.Hour, Checkpoints: true})
		b.runActions()
		b.accept("urgent", "first", workload.Step{Tasks: 1, Size: job.Size{MilliCores: 1000}, Estimate: time.Second})
		b.wait(waited)
		preempts := slices.ContainsFunc(b.cell.TakeActions(b.now), func(a cell.Action) bool {
			stop, is := a.(cell.SendStop)
			return is && stop.Task.Job == "others"
		})
		if wanted := waited < time.Minute; preempts != wanted {
			t.Errorf("after %v, the run of another job is preempted: %v", waited, preempts)
		}
	}
}
