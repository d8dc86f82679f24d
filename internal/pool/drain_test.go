package pool

import (
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// countServiceTasks returns how many tasks of the service "s" run, and how many
// of them on one worker, as the modelled workers have it.
func (m *clusterModel) countServiceTasks(worker string) (all, onWorker int) {
	for _, w := range m.workers {
		for _, r := range w.running() {
			if r.start.Attempt.Task.Job != "s" {
				continue
			}
			all++
			if w.host.Name == worker {
				onWorker++
			}
		}
	}
	return all, onWorker
}

// TestServiceDrainsFromWorker moves a service off a worker that reports that it
// is leaving, is listed as leaving, or is cordoned. The tasks move one at a
// time, and none runs in two places.
func TestServiceDrainsFromWorker(t *testing.T) {
	const tasks = 6
	for name, closeWorker := range map[string]func(*clusterModel, *modelWorker){
		"leaving": func(_ *clusterModel, w *modelWorker) { w.leaving = true },
		"listed":  func(_ *clusterModel, w *modelWorker) { w.host.Leaving = true },
		"drained": func(m *clusterModel, w *modelWorker) { _ = m.pool.Cordon(w.host.Name, true) },
	} {
		t.Run(name, func(t *testing.T) {
			m := newReportedModel(t)
			s := gangSpec("s", tasks)
			s.Kind, s.RunTime, s.Size = job.KindService, 0, job.Size{MilliCores: 2000, MemoryMB: 1000}
			m.submit(s)
			m.perform(m.pool.Schedule(m.now))
			m.flow(time.Second)
			w := m.workers[0]
			if all, onWorker := m.countServiceTasks(w.host.Name); all != tasks || onWorker == 0 {
				t.Fatalf("%d tasks run, %d on %s", all, onWorker, w.host.Name)
			}
			closeWorker(m, w)
			for end := m.now.Add(10 * time.Second); m.now.Before(end); {
				m.flow(modelTick)
				if all, _ := m.countServiceTasks(""); all < tasks-1 {
					t.Fatalf("only %d of %d tasks run", all, tasks)
				}
			}
			if all, onWorker := m.countServiceTasks(w.host.Name); all != tasks || onWorker != 0 {
				t.Errorf("%d tasks run, %d of them still on %s", all, onWorker, w.host.Name)
			}
			m.runToCompletion()
		})
	}
}

// TestServiceStaysWithoutCapacity keeps a service where it is while no other
// worker has capacity for it.
func TestServiceStaysWithoutCapacity(t *testing.T) {
	m := newReportedModel(t)
	s := gangSpec("s", modelWorkerCount)
	s.Kind, s.RunTime = job.KindService, 0
	m.submit(s)
	m.perform(m.pool.Schedule(m.now))
	m.flow(time.Second)
	m.workers[0].leaving = true
	m.flow(10 * time.Second)
	if all, onWorker := m.countServiceTasks(m.workers[0].host.Name); all != modelWorkerCount || onWorker != 1 {
		t.Errorf("%d tasks run, %d on the worker that leaves", all, onWorker)
	}
}
