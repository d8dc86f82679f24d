package main

import (
	"fmt"
	"time"
)

const (
	crashMinions = 10
	crashHosts   = 3
	// crashes is how often the one minion crashes, downFor how long it is away, and
	// crashEvery the time from one crash to the next.
	crashes    = 3
	downFor    = 2 * time.Second
	crashEvery = 15 * time.Second
	// settleFor is how long the tasks are at work before the first crash.
	settleFor = 3 * time.Second
	// watchFor is how long the job is asked for.
	watchFor = 50 * time.Second
)

// lastingJob is a job with one step of tasks that last, one on each minion.
func lastingJob() map[string]any {
	return map[string]any{"spec": "last", "steps": []map[string]any{{
		"count": crashMinions, "cpu": 6700, "mem_mb": 6900, "estimate_ms": 500, "anti_affinity": 1, "long_running": true, "image": "watch",
	}}}
}

// runCrash has one of ten minions crash several times under a job that lasts, and looks
// whether the job is shown as failed.
func runCrash(b *bed) (int, error) {
	if err := b.begin(crashHosts, crashMinions); err != nil {
		return couldNotRun, err
	}
	const id = "5c0e7a21d94b36f8"
	if !b.submit(plainQueue+id, lastingJob()) {
		return couldNotRun, fmt.Errorf("the job was not accepted")
	}
	if !b.awaitRunning(crashMinions, 15*time.Second) {
		return couldNotRun, fmt.Errorf("the tasks of the job do not run")
	}
	if b.trouble {
		go func() {
			flaky := b.minions[3]
			time.Sleep(settleFor)
			for range crashes {
				flaky.crash()
				time.Sleep(downFor)
				if err := flaky.start(); err != nil {
					b.record.add("%s cannot start again: %v", flaky.id, err)
					return
				}
				time.Sleep(crashEvery - downFor)
			}
		}()
	}
	last := ""
	for begin := time.Now(); time.Since(begin) < watchFor; time.Sleep(500 * time.Millisecond) {
		state := b.state(plainQueue + id)
		if state != "" && state != last {
			b.record.add("the job is shown as %s", state)
			last = state
		}
	}
	failedEnds := b.ends.count(id, "failed")
	b.record.add("minions listed %d ends as failed for the job; nobody cancelled it; its state is %s", failedEnds, last)
	if last == "failed" && failedEnds == 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
