package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/standin"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	faultInterval    = 900 * time.Millisecond
	minFaultDuration = 500 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// freezeDuration is longer than a host's lease.
	freezeDuration = 6 * time.Second
	slowStoreDelay = 200 * time.Millisecond
)

// faultInjector injects faults that are drawn from a seed, and ends each of them
// after a while.
type faultInjector struct {
	cluster     *Cluster
	submitters  []*submitter
	random      *rand.Rand
	timers      timer.Service
	report      func(string)
	pendingEnds []faultEnd
}

type faultEnd struct {
	at  time.Time
	end func()
}

func (f *faultInjector) run(ctx context.Context) {
	for sleep(ctx, f.timers, faultInterval) {
		f.endDue(f.timers.Now())
		f.inject()
		if err := f.cluster.RestartStopped(); err != nil {
			f.report(err.Error())
		}
	}
	f.endDue(f.timers.Now().Add(time.Hour))
}

// endDue ends the faults that are due.
func (f *faultInjector) endDue(now time.Time) {
	var remaining []faultEnd
	for _, e := range f.pendingEnds {
		if now.Before(e.at) {
			remaining = append(remaining, e)
			continue
		}
		e.end()
	}
	f.pendingEnds = remaining
}

func (f *faultInjector) endAfter(d time.Duration, end func()) {
	f.pendingEnds = append(f.pendingEnds, faultEnd{at: f.timers.Now().Add(d), end: end})
}

func (f *faultInjector) inject() {
	d := f.cluster.Deployment
	duration := minFaultDuration + time.Duration(f.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
	switch f.random.IntN(12) {
	case 0, 1:
		name := f.randomEntryHost()
		f.report("entry host " + name + " is killed")
		f.cluster.Kill(name)
	case 2:
		name := f.randomEntryHost()
		f.report("entry host " + name + " is frozen")
		f.cluster.Network.Freeze(name)
		f.endAfter(freezeDuration, func() { f.cluster.Network.Thaw(name) })
	case 3:
		dc := f.randomDataCentre()
		f.report("data centre " + dc + " is cut off from the platform")
		f.cluster.Network.SetCut(dc, standin.Platform, true)
		f.endAfter(duration, func() { f.cluster.Network.SetCut(dc, standin.Platform, false) })
	case 4:
		from, to := f.randomDataCentre(), f.randomDataCentre()
		f.report(fmt.Sprintf("data centres %s and %s are cut off from each other", from, to))
		f.cluster.Network.SetCut(from, to, from != to)
		f.endAfter(duration, func() { f.cluster.Network.SetCut(from, to, false) })
	case 5:
		f.report("the table service is down")
		d.Table.SetDown(true)
		f.endAfter(duration, func() { d.Table.SetDown(false) })
	case 6:
		f.report("the table service is slow")
		d.Table.SetSlow(slowStoreDelay)
		f.endAfter(duration, func() { d.Table.SetSlow(0) })
	case 7:
		f.report("responses of the table service are lost")
		d.Table.LoseAnswers(1 + f.random.IntN(20))
	case 8:
		f.injectWorkerFault(duration)
	case 9:
		f.injectUpstreamFault(duration)
	case 10:
		f.report("all open builds are cancelled")
		f.submitters[f.random.IntN(len(f.submitters))].cancelWave()
	case 11:
		name := f.randomWorker().Name
		f.report("worker " + name + " is leaving")
		d.SetLeaving(name, true)
		f.endAfter(duration, func() { d.SetLeaving(name, false) })
	}
}

func (f *faultInjector) injectWorkerFault(duration time.Duration) {
	w := f.cluster.Deployment.Workers.Get(f.randomWorker().Name)
	name := w.Host().Name
	switch f.random.IntN(4) {
	case 0:
		f.report("worker " + name + " fails everything it starts")
		w.SetFailStarts(true)
		f.endAfter(duration, func() { w.SetFailStarts(false) })
	case 1:
		f.report("worker " + name + " does not respond")
		w.SetSilent(true)
		f.endAfter(duration, func() { w.SetSilent(false) })
	case 2:
		f.report("worker " + name + " is frozen")
		w.Freeze()
		f.endAfter(duration, w.Thaw)
	case 3:
		f.report("worker " + name + " restarts and forgets its tasks")
		w.Restart()
	}
}

func (f *faultInjector) injectUpstreamFault(duration time.Duration) {
	all := f.cluster.Deployment.Upstreams.All()
	u := all[f.random.IntN(len(all))]
	name := u.Host().Name
	switch f.random.IntN(3) {
	case 0:
		f.report("upstream " + name + " stalls")
		u.SetStalled(true)
		f.endAfter(duration, func() { u.SetStalled(false) })
	case 1:
		f.report("upstream " + name + " runs requests and closes the connection")
		u.SetCut(standin.CutMidway)
		f.endAfter(duration, func() { u.SetCut(standin.CutNone) })
	case 2:
		f.report("upstream " + name + " is leaving")
		f.cluster.Deployment.SetLeaving(name, true)
		f.endAfter(duration, func() { f.cluster.Deployment.SetLeaving(name, false) })
	}
}

func (f *faultInjector) randomEntryHost() string {
	hosts := f.cluster.Deployment.EntryHosts
	return hosts[f.random.IntN(len(hosts))].Name
}

func (f *faultInjector) randomDataCentre() string {
	all := f.cluster.Deployment.DataCentres
	return all[f.random.IntN(len(all))].Name
}

func (f *faultInjector) randomWorker() platform.Host {
	all := f.cluster.Deployment.Workers.All()
	return all[f.random.IntN(len(all))].Host()
}
