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
	faultEvery    = 900 * time.Millisecond
	shortestFault = 500 * time.Millisecond
	longestFault  = 3 * time.Second
	// freezeFor is longer than a host's lease lasts.
	freezeFor = 6 * time.Second
	slowStore = 200 * time.Millisecond
)

// breaker brings about faults from a seed and ends each of them after a while.
type breaker struct {
	cluster    *Cluster
	submitters []*submitter
	random     *rand.Rand
	timers     timer.Service
	tell       func(string)
	pending    []ending
}

type ending struct {
	at  time.Time
	end func()
}

func (b *breaker) run(ctx context.Context) {
	for pause(ctx, b.timers, faultEvery) {
		b.end(b.timers.Now())
		b.fault()
		if err := b.cluster.RestartFailed(); err != nil {
			b.tell(err.Error())
		}
	}
	b.end(b.timers.Now().Add(time.Hour))
}

// end ends the faults that are due.
func (b *breaker) end(now time.Time) {
	var left []ending
	for _, e := range b.pending {
		if now.Before(e.at) {
			left = append(left, e)
			continue
		}
		e.end()
	}
	b.pending = left
}

func (b *breaker) until(d time.Duration, end func()) {
	b.pending = append(b.pending, ending{at: b.timers.Now().Add(d), end: end})
}

func (b *breaker) fault() {
	d := b.cluster.Deployment
	lasting := shortestFault + time.Duration(b.random.Int64N(int64(longestFault-shortestFault)))
	switch b.random.IntN(12) {
	case 0, 1:
		name := b.entryHost()
		b.tell("entry host " + name + " is killed")
		b.cluster.Kill(name)
	case 2:
		name := b.entryHost()
		b.tell("entry host " + name + " is frozen")
		b.cluster.Network.Freeze(name)
		b.until(freezeFor, func() { b.cluster.Network.Thaw(name) })
	case 3:
		dc := b.dataCentre()
		b.tell("data centre " + dc + " is cut off from the platform")
		b.cluster.Network.SetCut(dc, standin.Platform, true)
		b.until(lasting, func() { b.cluster.Network.SetCut(dc, standin.Platform, false) })
	case 4:
		from, to := b.dataCentre(), b.dataCentre()
		b.tell(fmt.Sprintf("data centres %s and %s are cut off from each other", from, to))
		b.cluster.Network.SetCut(from, to, from != to)
		b.until(lasting, func() { b.cluster.Network.SetCut(from, to, false) })
	case 5:
		b.tell("the table service is down")
		d.Table.SetDown(true)
		b.until(lasting, func() { d.Table.SetDown(false) })
	case 6:
		b.tell("the table service is slow")
		d.Table.SetSlow(slowStore)
		b.until(lasting, func() { d.Table.SetSlow(0) })
	case 7:
		b.tell("answers of the table service are lost")
		d.Table.LoseAnswers(1 + b.random.IntN(20))
	case 8:
		b.breakWorker(lasting)
	case 9:
		b.breakUpstream(lasting)
	case 10:
		b.tell("a wave of cancellations")
		b.submitters[b.random.IntN(len(b.submitters))].cancelWave()
	case 11:
		name := b.worker().Name
		b.tell("worker " + name + " is leaving")
		d.SetLeaving(name, true)
		b.until(lasting, func() { d.SetLeaving(name, false) })
	}
}

func (b *breaker) breakWorker(lasting time.Duration) {
	w := b.cluster.Deployment.Workers.Get(b.worker().Name)
	name := w.Host().Name
	switch b.random.IntN(4) {
	case 0:
		b.tell("worker " + name + " fails everything it starts")
		w.SetFailStarts(true)
		b.until(lasting, func() { w.SetFailStarts(false) })
	case 1:
		b.tell("worker " + name + " is silent")
		w.SetSilent(true)
		b.until(lasting, func() { w.SetSilent(false) })
	case 2:
		b.tell("worker " + name + " is frozen")
		w.Freeze()
		b.until(lasting, w.Thaw)
	case 3:
		b.tell("worker " + name + " restarts and forgets its tasks")
		w.Restart()
	}
}

func (b *breaker) breakUpstream(lasting time.Duration) {
	all := b.cluster.Deployment.Upstreams.All()
	u := all[b.random.IntN(len(all))]
	name := u.Host().Name
	switch b.random.IntN(3) {
	case 0:
		b.tell("upstream " + name + " stalls")
		u.SetStalled(true)
		b.until(lasting, func() { u.SetStalled(false) })
	case 1:
		b.tell("upstream " + name + " runs requests and closes the connection")
		u.SetCut(standin.CutMidway)
		b.until(lasting, func() { u.SetCut(standin.CutNone) })
	case 2:
		b.tell("upstream " + name + " is leaving")
		b.cluster.Deployment.SetLeaving(name, true)
		b.until(lasting, func() { b.cluster.Deployment.SetLeaving(name, false) })
	}
}

func (b *breaker) entryHost() string {
	hosts := b.cluster.Deployment.EntryHosts
	return hosts[b.random.IntN(len(hosts))].Name
}

func (b *breaker) dataCentre() string {
	all := b.cluster.Deployment.DataCentres
	return all[b.random.IntN(len(all))].Name
}

func (b *breaker) worker() platform.Host {
	all := b.cluster.Deployment.Workers.All()
	return all[b.random.IntN(len(all))].Host()
}
