package main

import (
	"context"
	"flag"
	"sync"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/processtest"
	"cicadabarrow.example/cicadabarrow/platform/standin"
)

var (
	hostCrowdSeed     = flag.Uint64("hostcrowd.seed", 1, "seed of TestHostCrowd's load and bursts")
	hostCrowdDuration = flag.Duration("hostcrowd.duration", 10*time.Second, "how long TestHostCrowd's load lasts")
	hostCrowdHosts    = flag.Int("hostcrowd.hosts", 6, "number of hosts of TestHostCrowd")
	hostCrowdWorkers  = flag.Int("hostcrowd.workers", 32, "number of workers of TestHostCrowd")
	hostCrowdClients  = flag.Int("hostcrowd.clients", 12, "number of clients of TestHostCrowd")
	hostCrowdSpinners = flag.Int("hostcrowd.spinners", 8, "number of processes that take processor time from the hosts of TestHostCrowd, in bursts")
)

const (
	// The longest burst of busy processes is longer than the lease of a worker.
	shortestBurst = 500 * time.Millisecond
	longestBurst  = 4500 * time.Millisecond
	longestPause  = time.Second
	// spinnerThreads is the number of threads of a busy process.
	spinnerThreads = 4
)

// TestHostCrowd runs more hosts and workers than the processors can serve at ease, beside
// bursts of busy processes, and injects no fault: calls, answers and ticks are late.
// It guards against a task that is started again although its worker has listed its end,
// because the answer was read too late.
func TestHostCrowd(t *testing.T) {
	t.Logf("-hostcrowd.seed %d -hostcrowd.duration %v -hostcrowd.hosts %d -hostcrowd.workers %d -hostcrowd.clients %d -hostcrowd.spinners %d",
		*hostCrowdSeed, *hostCrowdDuration, *hostCrowdHosts, *hostCrowdWorkers, *hostCrowdClients, *hostCrowdSpinners)
	p := standin.New(*hostCrowdWorkers)
	p.CountListedEnds()
	f := startHostFleet(&hostFleet{t: t, platform: p, keepEnded: keepEnded}, *hostCrowdHosts)
	processtest.StartSpinners(t, *hostCrowdSpinners, processtest.Bursts{
		Begin: time.Now(), Lasting: *hostCrowdDuration, Seed: *hostCrowdSeed,
		Shortest: shortestBurst, Longest: longestBurst, LongestPause: longestPause, Threads: spinnerThreads,
	})
	s := newHostSoak(f, *hostCrowdSeed)
	ctx, cancel := context.WithTimeout(t.Context(), *hostCrowdDuration)
	defer cancel()
	delays := processtest.WatchDelays(t, f.processIDs())
	var load sync.WaitGroup
	for n := range *hostCrowdClients {
		load.Go(func() { s.runClient(ctx, n) })
	}
	load.Wait()
	s.checkEnds()
	s.checkCancels()
	longest, meanWait := delays.Stop()
	t.Logf("the test's own process was late by up to %v; a host waited %v for a processor on average", longest, meanWait)
	f.checkRunning()
	f.checkViolations()
}

func (f *hostFleet) processIDs() map[string]int {
	ids := make(map[string]int)
	for _, h := range f.hosts {
		ids[h.Name] = h.Cmd.Process.Pid
	}
	return ids
}

// checkRunning checks that no host has ended by itself.
func (f *hostFleet) checkRunning() {
	f.t.Helper()
	for _, h := range f.hosts {
		select {
		case <-h.Exited:
			f.t.Errorf("%s ended by itself, %v", h.Name, h.Cmd.ProcessState)
		default:
		}
	}
}
