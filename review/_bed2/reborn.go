package main

import "time"

const (
	rebornJob = "9d10c6e4a2b7538f"
	// rebornCuts is how many workers are cut off at most, one after the other.
	rebornCuts = 5
	// crashAfter is how long after the end of its last run a worker that is cut off crashes,
	// and downTime how long it is down.
	crashAfter = 200 * time.Millisecond
	downTime   = 1 * time.Second
	// betweenCuts is the time between the end of a cut and the next.
	betweenCuts = 5 * time.Second
)

// playReborn cuts off the worker on which a task that lasts runs, until its run has ended
// with the lease; then the worker crashes behind the cut and starts again. It looks whether
// the job is given up, although no worker has crashed under its task.
func playReborn(b *bed, trouble bool) verdict {
	b.mu.Lock()
	b.behaves = func(*worker, string, int) behaviour { return behaviour{} }
	b.mu.Unlock()
	body := jobBody("watch", step{"count": 1, "cpu": 6000, "mem_mb": 4096, "estimate_ms": 500, "long_running": true, "image": "watcher"})
	if a := b.call(b.hosts[0], "POST", rebornJob, body); a.status != 200 {
		return notPlayed
	}
	task := rebornJob + ".0.0.0"
	for range rebornCuts {
		at, ok := b.awaitRun(task, 15*time.Second)
		if !ok {
			break
		}
		time.Sleep(2 * time.Second)
		if trouble && !b.cutAndCrash(at, task) {
			return notPlayed
		}
		if !trouble {
			time.Sleep(cutTime)
		}
		time.Sleep(betweenCuts)
		if a := b.call(b.hosts[0], "GET", rebornJob, nil); a.status == 200 && a.state == "failed" {
			b.note("the job is given up, and no run of it has ended failed or in a crash")
			return broken
		}
	}
	return held
}

// cutAndCrash cuts off a worker for cutTime. It crashes after its run has ended with the
// lease, and starts again under its id before the cut ends. It returns false if the run
// has not ended.
func (b *bed) cutAndCrash(w *worker, task string) bool {
	n := w.machineNumber()
	p := b.proxies[n-1]
	b.note("%s is cut off", w.id)
	p.cut()
	cutAt := time.Now()
	for w.has(task) {
		if time.Since(cutAt) > cutTime-crashAfter-downTime {
			return false
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(crashAfter)
	w.crash()
	time.Sleep(downTime)
	next, err := startWorker(b, n)
	if err != nil {
		return false
	}
	b.workers[n-1] = next
	p.leadTo(next.addr)
	go next.register(p.addr)
	b.note("%s has started again", w.id)
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	p.heal()
	b.note("%s can be reached again", w.id)
	return true
}
