package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

func gangSpec(id string, tasks int) job.Spec {
	return job.Spec{
		ID: id, Team: "editorial", Name: "edition", Kind: job.KindAllAtOnce, Tasks: tasks,
		Size: job.Size{MilliCores: 5000, MemoryMB: 1000}, RunTime: time.Minute, Replayable: true, MaxAttempts: 50,
	}
}

// newReportedModel returns a clusterModel whose workers have all reported.
func newReportedModel(t *testing.T) *clusterModel {
	m := newClusterModel(t)
	m.advance(modelTick)
	m.flow(time.Second)
	return m
}

// flow persists all records and delivers all calls for a while.
func (m *clusterModel) flow(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		for len(m.pendingBatches) > 0 {
			m.persist()
		}
		for range len(m.calls) {
			m.deliver(0, false)
		}
		m.advance(modelTick)
	}
}

// TestGangWithLostStart loses the start of one member. The others must not run
// on without it, and the whole gang must run in the end.
func TestGangWithLostStart(t *testing.T) {
	for _, spare := range []int{0, 1} {
		t.Run(fmt.Sprintf("%d workers free", spare), func(t *testing.T) {
			m := newReportedModel(t)
			m.submit(gangSpec("g", modelWorkerCount-spare))
			m.perform(m.pool.Schedule(m.now))
			m.persist()
			lost := m.calls[0].action.(StartTasks).Worker.Name
			m.worker(lost).unreachable = true
			m.flow(10 * time.Second)
			if spare > 0 && !m.gangs["g"].complete {
				t.Fatal("the member whose start was lost did not start elsewhere within the start window")
			}
			m.worker(lost).unreachable = false
			m.flow(30 * time.Second)
			if !m.gangs["g"].complete {
				t.Fatal("the gang did not start once its workers had recovered")
			}
			m.runToCompletion()
		})
	}
}

// TestNewOwnerRollsBackPartialGang has the owner die when it has sent the start
// of only one member. The new owner must not keep a partial gang running, and
// must start the gang again.
func TestNewOwnerRollsBackPartialGang(t *testing.T) {
	m := newReportedModel(t)
	m.submit(gangSpec("g", 3))
	m.perform(m.pool.Schedule(m.now))
	m.persist()
	m.deliver(0, false)
	m.calls = nil
	m.takeOver()
	m.flow(time.Minute)
	if !m.gangs["g"].complete {
		t.Fatal("the gang did not start under the new owner")
	}
	m.runToCompletion()
}

// TestGangIsQueuedAfterLastMemberEnds rolls a gang back while one of its
// members succeeds. The other members must still be queued.
func TestGangIsQueuedAfterLastMemberEnds(t *testing.T) {
	m := newReportedModel(t)
	s := gangSpec("g", 3)
	s.RunTime = 4 * time.Second
	m.submit(s)
	m.perform(m.pool.Schedule(m.now))
	m.persist()
	m.worker(m.calls[2].action.(StartTasks).Worker.Name).failing = true
	for end := m.now.Add(10 * time.Second); m.now.Before(end); {
		// Every stop is lost, so the other members end by themselves.
		m.calls = slices.DeleteFunc(m.calls, func(c *call) bool { _, stop := c.action.(StopTasks); return stop })
		m.flow(modelTick)
	}
	m.runToCompletion()
}

// TestStopArrivesBeforeStart delivers the stop of a cancelled attempt before
// its start. The attempt must be stopped soon, not only when its lease ends.
func TestStopArrivesBeforeStart(t *testing.T) {
	m := newReportedModel(t)
	s := gangSpec("b", 1)
	s.Kind = job.KindBatch
	m.submit(s)
	m.perform(m.pool.Schedule(m.now))
	m.persist()
	actions, err := m.pool.Cancel("b", m.now)
	if err != nil {
		t.Fatal(err)
	}
	m.perform(actions)
	m.deliver(1, false)
	m.deliver(0, false)
	m.flow(3 * retryReportAfter)
	if len(m.pool.jobs) > 0 {
		t.Fatal("the cancelled job still runs")
	}
}

// TestNewOwnerStopsCancelledService has the owner die after it recorded a
// cancellation and before it sent the stops. The new owner must stop the
// service.
func TestNewOwnerStopsCancelledService(t *testing.T) {
	m := newReportedModel(t)
	s := gangSpec("s", 2)
	s.Kind, s.RunTime = job.KindService, 0
	m.submit(s)
	m.perform(m.pool.Schedule(m.now))
	m.flow(time.Second)
	if _, err := m.pool.Cancel("s", m.now); err != nil {
		t.Fatal(err)
	}
	m.durable = append(m.durable, Record{Kind: RecordCancelled, Job: "s"})
	m.takeOver()
	m.flow(10 * time.Second)
	if m.ended["s"] != 1 {
		t.Fatal("the cancelled service still runs")
	}
}
