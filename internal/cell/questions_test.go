package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// TestQuestionsDoNotCompeteForTheSameCapacity has 300 urgent steps wait while
// workers have free capacity. The open questions must not name a worker more
// often than it has capacity for tasks.
func TestQuestionsDoNotCompeteForTheSameCapacity(t *testing.T) {
	b := newBacklog(t, 350, 0, whyUnanswered)
	named := make(map[cell.WorkerID]int)
	urgent := 0
	for _, q := range b.acceptBacklog(600) {
		if !q.Urgent {
			continue
		}
		urgent++
		for _, id := range q.Workers {
			named[id]++
		}
	}
	const least, task = minCapacity - smallRuns*100, 4500
	for i, id := range b.workers {
		capacity := ([]int{1, 2, 2, 4}[i%4]*minCapacity - (minCapacity - least)) / task
		if named[id] > capacity {
			t.Fatalf("%d of %d open questions name %s, which has capacity for %d tasks; %d of %d workers are named",
				named[id], urgent, id, capacity, len(named), len(b.workers))
		}
	}
}

// TestFailedQuestionsBackOff fails each question at once for ten seconds. A
// step must not repeat its question without a delay.
func TestFailedQuestionsBackOff(t *testing.T) {
	const steps, span, pause = 50, 10 * time.Second, 10 * time.Millisecond
	b := newBacklog(t, 40, 0, whyUnanswered)
	questions := b.acceptBacklog(2 * steps)
	asked := 0
	for range int(span / pause) {
		for _, q := range questions {
			if q.Urgent {
				asked++
			}
			b.cell.Advised(b.now, cell.Advice{Step: q.Step, Asked: q.Workers, Failed: true})
		}
		b.now = b.now.Add(pause)
		b.cell.Tick(b.now)
		questions = b.apply(b.cell.TakeActions(b.now))
	}
	// Three questions per second and step are a small part of what 30 hosts can
	// ask, which is about 30 per second each.
	if most := steps * 3 * int(span/time.Second); asked > most || asked < steps {
		t.Errorf("%d questions about %d steps in %v, at most %d expected", asked, steps, span, most)
	}
}

// questionsOfServices is a cell with workers of two services, a queue for each of them,
// and tasks that take a whole worker.
type questionsOfServices struct {
	now  time.Time
	cell *cell.Cell
}

func newQuestionsOfServices(workers int) *questionsOfServices {
	f := &questionsOfServices{now: time.Unix(1_700_000_000, 0)}
	f.cell = cell.New(f.now, scriptConfig, nopObserver{}, zap.NewNop())
	m := &manifest.Manifest{Version: 1}
	for _, service := range []string{"a", "b"} {
		m.Queues = append(m.Queues, manifest.Queue{Name: service, Service: service, MaxAttempts: 4, TargetLatency: time.Second, Advice: quickAdvice})
		for i := range workers {
			f.register(service, cell.WorkerID(fmt.Sprintf("%s%02d", service, i)))
		}
	}
	f.cell.SetManifest(m)
	f.cell.SetAdviceHosts(backlogAdviceHosts)
	return f
}

func (f *questionsOfServices) register(service string, id cell.WorkerID) {
	f.cell.Register(f.now, cell.Registration{ID: id, Incarnation: 1, Machine: string(id), Service: service, Capacity: job.Size{MilliCores: 1000}})
	f.cell.Reported(f.now, id, cell.Report{Incarnation: 1, Clock: f.now.Sub(time.Unix(1_600_000_000, 0))})
}

// ask submits a job of one task, and returns the workers that the question for it names.
func (f *questionsOfServices) ask(t *testing.T, id workload.JobID, queue string) []cell.WorkerID {
	t.Helper()
	f.now = f.now.Add(time.Millisecond)
	step := workload.Step{Tasks: 1, Size: job.Size{MilliCores: 1000}, Estimate: time.Second}
	f.cell.Accept(f.now, cell.AcceptedJob{Job: workload.Job{ID: id, Queue: queue, Steps: []workload.Step{step}}})
	for _, a := range f.cell.TakeActions(f.now) {
		if q, is := a.(cell.AskAdvice); is {
			return q.Workers
		}
	}
	t.Fatalf("no question for job %s", id)
	return nil
}

// TestServicesTakeTurnsOfTheirOwn alternates questions about workers of two services. The
// questions about one must not begin anew after each question about the other.
func TestServicesTakeTurnsOfTheirOwn(t *testing.T) {
	f := newQuestionsOfServices(20)
	named := make(map[cell.WorkerID]bool)
	for i := range 8 {
		queue := []string{"a", "b"}[i%2]
		for _, id := range f.ask(t, workload.JobID(fmt.Sprint("j", i)), queue) {
			if named[id] {
				t.Errorf("question %d names %s again, while workers of service %s are not named yet", i, id, queue)
			}
			named[id] = true
		}
	}
}

// TestQuestionsNameNoWorkerOfAnotherService has a worker register for another service
// shortly after a question.
func TestQuestionsNameNoWorkerOfAnotherService(t *testing.T) {
	f := newQuestionsOfServices(3)
	f.ask(t, "first", "a")
	f.register("b", "a01")
	if got := f.ask(t, "second", "a"); slices.Contains(got, "a01") {
		t.Errorf("the question names %v", got)
	}
	if got := f.ask(t, "third", "b"); !slices.Contains(got, "a01") {
		t.Errorf("the question for the other service names %v", got)
	}
}
