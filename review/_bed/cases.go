package main

import (
	"fmt"
	"slices"
	"time"
)

// minionCPU is the room of an ordinary minion in thousandths of a core.
const minionCPU = 32000

// jobID returns the ID of a job of a case.
func jobID(number int) string { return fmt.Sprintf("5c0e7a21%08x", number) }

// addMinions starts minions of the given kinds.
func (b *bed) addMinions(cpu int64, kinds ...string) {
	for _, kind := range kinds {
		b.minions = append(b.minions, newMinion(b, len(b.minions)+1, kind, cpu))
	}
}

// running returns the minion that runs a task of a job, or nil.
func (b *bed) running(job string) *minion {
	for _, m := range b.minions {
		m.mu.Lock()
		found := false
		for task := range m.runs {
			found = found || task[:len(job)] == job
		}
		m.mu.Unlock()
		if found {
			return m
		}
	}
	return nil
}

const (
	// cuts is how often the minion of a task is cut off, for partitionFor. It crashes
	// behind the partition after restartAfter, when no lease lasts any longer.
	cuts         = 5
	partitionFor = 5500 * time.Millisecond
	restartAfter = 5 * time.Second
	atWork       = 1500 * time.Millisecond
)

// cutoff plays a job that lasts, whose minion is cut off longer than its lease, again and
// again. The minion crashes behind the partition, after its runs have ended with the lease.
func cutoff(b *bed) {
	b.addMinions(minionCPU, "a", "a", "a", "a", "a", "a", "a", "a")
	b.startHosts(3)
	id := jobID(1)
	b.submit(id, "last", map[string]any{"count": 1, "cpu": 2000, "mem_mb": 1024, "long_running": true})
	for range cuts {
		for end := time.Now().Add(8 * time.Second); b.running(id) == nil && time.Now().Before(end); {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(atWork)
		m := b.running(id)
		if m == nil {
			break
		}
		if b.trouble {
			m.cutOff(partitionFor)
		}
		time.Sleep(restartAfter)
		if b.trouble {
			if b.running(id) == m {
				b.impossible("a run on minion %s outlasts its lease", m.id)
			}
			m.restartUnseen()
		}
		time.Sleep(partitionFor - restartAfter)
	}
	time.Sleep(2 * time.Second)
	state := b.state(id)
	lapsed, failed := b.endsAs(id, "lapsed"), b.endsAs(id, "failed")
	b.record("client: job %s is %q; of its runs %d ended lapsed and %d failed", id, state, lapsed, failed)
	if state == "failed" && failed == 0 {
		b.breaks("LOST: job %s, which lasts and was not cancelled, is shown as failed; %d of its runs ended lapsed, none failed, and none was lost in a crash", id, lapsed)
	}
}

const (
	// finish is finish_s, after which jobs are asked for.
	finish = 14 * time.Second
	// idle is for how long a job may have nothing running with capacity for it.
	idle        = 3 * time.Second
	jobsBefore  = 4
	jobsAfter   = 6
	tasksPerJob = 4
	taskCPU     = 2000
)

// foreign plays entries of another writer, in which fields are missing, beside those of
// the minions.
func foreign(b *bed) {
	b.addMinions(minionCPU, "a", "a", "a", "a", "a", "a")
	b.startHosts(3)
	step := map[string]any{"count": tasksPerJob, "cpu": taskCPU, "mem_mb": 1024, "estimate_ms": 300}
	for i := range jobsBefore {
		b.submit(jobID(i), "300ms", step)
	}
	for i := range jobsBefore {
		b.await("the first jobs are completed", 20*time.Second, func() bool { return b.state(jobID(i)) == "completed" })
	}
	if b.trouble {
		for i, m := range b.minions {
			b.foreignEntry(i, m)
		}
	}
	time.Sleep(4 * time.Second)
	for i := range jobsAfter {
		b.submit(jobID(jobsBefore+i), "300ms", step)
	}
	time.Sleep(finish)
	for i := range jobsAfter {
		b.checkIdle(jobID(jobsBefore + i))
	}
}

// foreignEntry writes the entry of another writer for the machine of a minion.
func (b *bed) foreignEntry(number int, m *minion) {
	name := fmt.Sprintf("agent-%05d", number+1)
	b.platform.Store.Put("servers", "", name, encode(map[string]any{
		"service": service, "addr": m.addr, "state": "ready", "machine": m.machine, "born": time.Now().UnixMilli(),
		"capacity": map[string]any{"cpu": m.cpu, "mem_mb": 65536, "gpu": 0}, "labels": []string{m.kind, m.rack},
	}))
	b.record("another writer: entry %s for machine %s, without zone, version, slots, cold_left_ms and seq", name, m.machine)
}

// busiest returns the minions with the most runs.
func (b *bed) busiest(count int) []*minion {
	sorted := slices.Clone(b.minions)
	runs := make(map[*minion]int)
	for _, m := range sorted {
		m.mu.Lock()
		runs[m] = len(m.runs)
		m.mu.Unlock()
	}
	slices.SortStableFunc(sorted, func(x, y *minion) int { return runs[y] - runs[x] })
	return sorted[:count]
}

// checkIdle checks that a job is done, or that something of it runs within idle.
func (b *bed) checkIdle(id string) {
	state := b.state(id)
	b.record("client: job %s is %q", id, state)
	if state == "completed" {
		return
	}
	used := int64(0)
	for end := time.Now().Add(idle); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if b.running(id) != nil {
			return
		}
		used = max(used, b.usedCPU())
	}
	total := minionCPU * int64(len(b.minions))
	if needed := int64(2 * tasksPerJob * taskCPU); used >= total/2 || total-used < needed {
		return // the rule asks for more room
	}
	b.breaks("LOST: job %s was accepted and has had nothing running for %v, %v after it was handed in, while %d of %d thousandths of a core are in use",
		id, idle, finish, used, total)
}

// usedCPU returns the room that the runs of the case take, all of which are of one size.
func (b *bed) usedCPU() int64 {
	used := int64(0)
	for _, m := range b.minions {
		m.mu.Lock()
		used += taskCPU * int64(len(m.runs))
		m.mu.Unlock()
	}
	return used
}

const (
	// restarts is how often a minion crashes and starts again as another kind. It is
	// away for minAway and up to awaySpread longer.
	restarts     = 12
	minAway      = 300 * time.Millisecond
	awaySpread   = 1200 * time.Millisecond
	betweenKinds = 700 * time.Millisecond
	kindTasks    = 600
	kindTaskCPU  = 16000
)

// kinds plays minions that crash and start again as another kind, under their ID, while
// tasks wait that require the former kind.
func kinds(b *bed) {
	b.addMinions(minionCPU, "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "b", "b")
	b.startHosts(3)
	b.submit(jobID(1), "1s", map[string]any{"count": kindTasks, "cpu": kindTaskCPU, "mem_mb": 1024, "estimate_ms": 1000, "requires": "a"})
	b.await("tasks run", 20*time.Second, func() bool { return len(b.startsSoFar()) >= 28 })
	for i := range restarts {
		time.Sleep(betweenKinds)
		m := b.minions[i]
		if b.trouble {
			m.crash()
		}
		time.Sleep(minAway + awaySpread*time.Duration(i)/restarts)
		if !b.trouble {
			continue
		}
		m.mu.Lock()
		m.kind = "b"
		m.mu.Unlock()
		m.start()
		b.record("minion %s is registered as kind b under its ID, and takes calls", m.id)
	}
	time.Sleep(3 * time.Second)
	for _, s := range b.startsSoFar() {
		if s.kind != "a" {
			b.breaks("ROUTE: %s run %d, which requires label a, was started on minion %s of kind %s", s.task, s.run, s.minion.id, s.kind)
		}
	}
}

const (
	// cutFor is how long two of twelve minions are cut off. A lease lasts longer.
	cutFor     = 2500 * time.Millisecond
	cutMinions = 2
)

// twice plays entries of another writer for the machines of two minions, which are then
// cut off for a shorter time than their lease lasts.
func twice(b *bed) {
	b.countTwice = true
	b.addMinions(minionCPU, "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a")
	b.startHosts(3)
	for i := range 12 {
		b.submit(jobID(i), "60s", map[string]any{"count": 4, "cpu": 3000, "mem_mb": 1024, "estimate_ms": 60000})
	}
	b.await("all tasks run", 20*time.Second, func() bool { return len(b.startsSoFar()) >= 48 })
	time.Sleep(2 * time.Second)
	busiest := b.busiest(cutMinions)
	if b.trouble && !b.cutOnly {
		for i, m := range busiest {
			b.foreignEntry(i, m)
		}
	}
	time.Sleep(4 * time.Second)
	if b.trouble {
		for _, m := range busiest {
			m.cutOff(cutFor)
		}
	}
	time.Sleep(8 * time.Second)
}
