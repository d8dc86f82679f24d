package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/demo"
	"cicadabarrow.example/cicadabarrow/internal/standin"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

var (
	soakSeed     = flag.Uint64("soak.seed", 1, "seed of TestSoak's load and faults")
	soakDuration = flag.Duration("soak.duration", 12*time.Second, "how long TestSoak's load lasts")
)

const (
	soakFaultEvery = 1500 * time.Millisecond
	// beyondLease is longer than the lease of a host lasts.
	beyondLease = 6 * time.Second
	perCentre   = 2
)

func newDeployment(t *testing.T, seed uint64, shortest, longest time.Duration) *standin.Deployment {
	d, err := standin.NewDeployment(standin.DeploymentConfig{
		Name: "tsukushi", Seed: seed, HostLag: 500 * time.Millisecond, RunTimeFactorMin: 0.8, RunTimeFactorMax: 1.3,
		ServiceTimeMin: shortest, ServiceTimeMax: longest,
	}, timer.NewSystem())
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestSoak injects faults into entry hosts that run as processes under load: it
// kills, suspends and terminates them at random, by a seed. The outcomes that
// callers got are compared with the journals of the stand-in platform.
func TestSoak(t *testing.T) {
	t.Logf("-soak.seed %d -soak.duration %v", *soakSeed, *soakDuration)
	d := newDeployment(t, *soakSeed, 0, 0)
	f := newFleet(t, d, perCentre)
	load := demo.NewLoad(d, f, timer.NewSystem(), *soakSeed, operatorKey)
	ctx, cancel := context.WithTimeout(t.Context(), *soakDuration)
	defer cancel()
	var work sync.WaitGroup
	work.Go(func() { load.Run(ctx) })
	f.injectFaults(ctx, rand.New(rand.NewPCG(*soakSeed, 0)))
	work.Wait()
	f.await("all hosts are healthy again", func() bool { return len(f.Up("")) == len(d.EntryHosts) })
	for _, id := range load.Drain(t.Context(), func() {}) {
		t.Errorf("unfinished: %s", id)
	}
	for _, p := range f.processes {
		f.terminate(p)
	}
	got := d.Audit.Findings()
	t.Logf("accepted %d, answered %d, not run %d, unknown %d, jobs %d",
		got.Accepted, got.Answered, got.NotRun, got.Unknown, load.JobsAccepted())
	broken := got.Lost + got.Doubled + got.RefusedButRan + got.OverfullHosts + got.OverfullUpstreams +
		got.TasksInTwoPlaces + got.SplitGangs + got.RevertedSections
	if broken > 0 || got.Answered == 0 || load.JobsAccepted() == 0 {
		t.Errorf("the audit found %+v", got)
	}
}

// injectFaults injects one fault every soakFaultEvery until the context ends, and
// waits until all faults have ended. A host has at most one at a time.
func (f *fleet) injectFaults(ctx context.Context, random *rand.Rand) {
	var faults sync.WaitGroup
	defer faults.Wait()
	busy := make([]sync.Mutex, len(f.processes))
	for wait(ctx, soakFaultEvery); ctx.Err() == nil; wait(ctx, soakFaultEvery) {
		i, kind := random.IntN(len(f.processes)), random.IntN(3)
		if !busy[i].TryLock() {
			continue
		}
		faults.Go(func() {
			defer busy[i].Unlock()
			f.injectFault(f.processes[i], kind)
		})
	}
}

func (f *fleet) injectFault(p *entryProcess, kind int) {
	switch kind {
	case 0:
		f.t.Logf("%s is killed", p.host.Name)
		f.killAndRestart(p)
	case 1:
		f.t.Logf("%s is suspended beyond its lease", p.host.Name)
		p.Signal(f.t, syscall.SIGSTOP)
		wait(context.Background(), beyondLease)
		p.Signal(f.t, syscall.SIGCONT)
	case 2:
		f.t.Logf("%s is terminated", p.host.Name)
		f.terminate(p)
		f.start(p)
	}
}

// TestStoppedHostStartsAgain suspends a host beyond its lease. Its peer must take
// over what the host owned and fence it, and the host must start again as a new
// incarnation.
func TestStoppedHostStartsAgain(t *testing.T) {
	f := newFleet(t, newDeployment(t, 1, 0, 0), perCentre)
	stopped, other := f.processes[0], f.processes[1]
	f.await("one of two hosts owns the workers", func() bool {
		return stopped.countLogged(`"rebuilt the pool"`)+other.countLogged(`"rebuilt the pool"`) > 0
	})
	if stopped.countLogged(`"rebuilt the pool"`) == 0 {
		stopped, other = other, stopped
	}
	before := other.countLogged(`"rebuilt the pool"`)
	stopped.Signal(f.t, syscall.SIGSTOP)
	f.await("the other host has taken the workers over", func() bool {
		return other.countLogged(`"rebuilt the pool"`) > before
	})
	stopped.Signal(f.t, syscall.SIGCONT)
	f.await("the stopped host starts again", func() bool {
		return stopped.countLogged("it starts again as a new incarnation") == 1 &&
			stopped.countLogged(`"entry host started"`) == 2
	})
	f.await("both hosts are healthy", func() bool { return len(f.Up(stopped.host.DataCentre)) == perCentre })
}

const (
	stopCallers = 8
	// Some requests of this test take longer than the balancer's grace period.
	shortestRequest = 50 * time.Millisecond
	longestRequest  = 5 * balancerGrace / 2
	requestDeadline = 8 * time.Second
	stopRounds      = 2
)

// TestStopInterruptsNoRequest terminates the hosts of a data centre in turn under
// load. Every request must get an outcome other than unknown, since no connection
// may be interrupted.
func TestStopInterruptsNoRequest(t *testing.T) {
	f := newFleet(t, newDeployment(t, 1, shortestRequest, longestRequest), perCentre)
	dataCentre := f.processes[0].host.DataCentre
	f.await("a request is answered", func() bool {
		outcome, err := f.sendRequest(f.Up(dataCentre)[0].URL)
		return err == nil && outcome == "answered"
	})
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	var stopped atomic.Pointer[entryProcess]
	var finished atomic.Int64
	for n := range stopCallers {
		random := rand.New(rand.NewPCG(1, uint64(n)))
		callers.Go(func() {
			for ctx.Err() == nil {
				up := f.Up(dataCentre)
				target := up[random.IntN(len(up))]
				before := stopped.Load()
				outcome, err := f.sendRequest(target.URL)
				if err != nil || outcome == "unknown" {
					t.Errorf("a request to %s was interrupted: outcome %q, %v", target.Host.Name, outcome, err)
				}
				now := stopped.Load()
				if now != nil && before != now && now.host.Name == target.Host.Name {
					finished.Add(1)
				}
			}
		})
	}
	for round := range stopRounds {
		p := f.processes[round%perCentre]
		f.await("both hosts are healthy", func() bool { return len(f.Up(dataCentre)) == perCentre })
		stopped.Store(p)
		f.terminate(p)
		stopped.Store(nil)
		f.start(p)
	}
	f.await("both hosts are healthy", func() bool { return len(f.Up(dataCentre)) == perCentre })
	cancel()
	callers.Wait()
	if finished.Load() == 0 {
		t.Error("no request was in progress at a stop")
	}
}

// sendRequest sends one non-idempotent request and returns its outcome.
func (f *fleet) sendRequest(url string) (string, error) {
	body := io.NopCloser(bytes.NewReader([]byte("deposit")))
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("%s/v1/services/%s/check", url, f.deployment.Service), body)
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	req.Header.Set(api.HeaderDeadline, requestDeadline.String())
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.Header.Get(api.HeaderOutcome), err
}
