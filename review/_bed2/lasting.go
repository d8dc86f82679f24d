package main

import (
	"strings"
	"time"
)

const (
	lastingJob = "5c0e7a21d94b36f8"
	// cutTime is how long a worker is cut off, and endsAfter when one of its runs ends.
	cutTime   = 5500 * time.Millisecond
	endsAfter = 1 * time.Second
	// contact and calm are contact_ms, and the 3 s in which a task has to have nothing
	// running; sinceRun is how long ago its last run has to have ended.
	contact  = 4 * time.Second
	calm     = 3 * time.Second
	sinceRun = 6 * time.Second
	watch    = 25 * time.Second
)

// playLasting has a run of a task that lasts end as done while its worker is cut off, and
// then looks whether the task is started again, as one that lasts must be however its run
// ends.
func playLasting(b *bed, trouble bool) verdict {
	b.mu.Lock()
	b.behaves = func(*worker, string, int) behaviour { return behaviour{} }
	b.mu.Unlock()
	body := jobBody("watch", step{"count": 2, "cpu": 6000, "mem_mb": 4096, "estimate_ms": 500, "long_running": true, "image": "watcher"})
	if a := b.call(b.hosts[0], "POST", lastingJob, body); a.status != 200 {
		return notPlayed
	}
	task := lastingJob + ".0.0.0"
	at, ok := b.awaitRun(task, 10*time.Second)
	if !ok {
		return notPlayed
	}
	time.Sleep(3 * time.Second)
	p := b.proxies[at.machineNumber()-1]
	if trouble {
		b.note("%s is cut off", at.id)
		p.cut()
	}
	cutAt := time.Now()
	time.Sleep(endsAfter)
	at.endTask(task, "done")
	endedAt := time.Now()
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	p.heal()
	healedAt := time.Now()
	if trouble {
		b.note("%s can be reached again", at.id)
	}
	// The task has nothing running for 3 s, which are calm like the 4 s before them.
	idleSince := time.Time{}
	for time.Since(healedAt) < watch {
		now := time.Now()
		counts := now.Sub(healedAt) >= contact && now.Sub(b.lastEnd(task, endedAt)) >= sinceRun
		if len(b.runsOf(task)) > 0 || !counts {
			idleSince = time.Time{}
		} else if idleSince.IsZero() {
			idleSince = now
		}
		if !idleSince.IsZero() && now.Sub(idleSince) >= calm {
			b.note("%s has nothing running for %v, and %v after the end of its last run", task, calm, now.Sub(b.lastEnd(task, endedAt)).Round(time.Second))
			for _, h := range b.hosts {
				b.call(h, "GET", lastingJob, nil)
			}
			return broken
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.call(b.hosts[0], "GET", lastingJob, nil)
	return held
}

// awaitRun waits until a task runs and returns its worker.
func (b *bed) awaitRun(task string, limit time.Duration) (*worker, bool) {
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(20 * time.Millisecond) {
		if at := b.runsOf(task); len(at) > 0 {
			return at[0], true
		}
	}
	return nil, false
}

// lastEnd returns when the last run of a task ended, as far as it is known.
func (b *bed) lastEnd(task string, atLeast time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at := b.lastEnds[task]; at.After(atLeast) {
		return at
	}
	return atLeast
}

// endTask ends the run of a task.
func (w *worker) endTask(task, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, run := range w.runs {
		if strings.HasPrefix(name, task) {
			w.endLocked(run, how)
			return
		}
	}
}
