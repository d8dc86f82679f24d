package main

import (
	"context"
	"flag"
	"strings"
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
	hostCrowdThreads  = flag.Int("hostcrowd.threads", 4, "number of threads of each of these processes")
	hostCrowdBurst    = flag.Duration("hostcrowd.burst", 4500*time.Millisecond, "longest burst of these processes")
	hostCrowdPause    = flag.Duration("hostcrowd.pause", time.Second, "longest pause between two bursts")
)

// shortestBurst is the shortest burst of busy processes. By default the longest one is longer
// than the lease of a worker.
const shortestBurst = 500 * time.Millisecond

// crowdFailing is one in how many jobs fails. Workers get no starts for a while after two
// failures in a row: with one job in four, most of the others were refused.
const crowdFailing = 20

// TestHostCrowd runs more hosts and workers than the processors can serve at ease, beside
// bursts of busy processes, and injects no fault: calls, answers and ticks are late.
// It guards against a task that is started again although its worker has listed its end, or
// its last failure, because the answer was read too late or not at all.
//
// The default is short and delays calls by fractions of a second. A run by hand that has
// shown the fault, with 2400 busy threads:
//
//	go test ./cmd/cicadabarrow -run 'TestHostCrowd$' -hostcrowd.seed 112 -hostcrowd.duration 40s
//	  -hostcrowd.hosts 12 -hostcrowd.workers 300 -hostcrowd.clients 50 -hostcrowd.spinners 100
//	  -hostcrowd.threads 24 -hostcrowd.burst 5s -hostcrowd.pause 3s
//
// With -artifacts it keeps the logs of the hosts, and delays.log tells which process waited
// for a processor. The seed draws the load and the bursts, not the order in which the
// processes run.
func TestHostCrowd(t *testing.T) {
	logFlags(t, "hostcrowd.")
	p := standin.New(*hostCrowdWorkers)
	p.CountListedEnds()
	f := startHostFleet(&hostFleet{t: t, platform: p, keepEnded: keepEnded}, *hostCrowdHosts)
	processtest.StartSpinners(t, *hostCrowdSpinners, processtest.Bursts{
		Begin: time.Now(), Lasting: *hostCrowdDuration, Seed: *hostCrowdSeed,
		Shortest: shortestBurst, Longest: *hostCrowdBurst, LongestPause: *hostCrowdPause, Threads: *hostCrowdThreads,
	})
	s := newHostSoak(f, *hostCrowdSeed)
	s.failing = crowdFailing
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
	repeats := p.Repeats()
	t.Logf("%d starts of completed tasks", len(repeats))
	for _, r := range repeats {
		t.Log(r)
	}
	f.checkRunning()
	f.checkViolations()
}

// logFlags logs the flags whose names begin with a prefix, so that a run can be repeated.
func logFlags(t *testing.T, prefix string) {
	var line []string
	flag.VisitAll(func(f *flag.Flag) {
		if strings.HasPrefix(f.Name, prefix) {
			line = append(line, "-"+f.Name+" "+f.Value.String())
		}
	})
	t.Log(strings.Join(line, " "))
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
