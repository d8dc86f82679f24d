package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/plan"
	"cicadabarrow.example/cicadabarrow/internal/pool"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/upstream"
)

// releaseTimeout limits the graceful release of one unit.
const releaseTimeout = 10 * time.Second

// OwnedUnits holds the owners of the units that this host owns. It implements
// UnitHandler.
type OwnedUnits struct {
	dataCentre string
	id         string
	plat       Platform
	hosts      *HostView
	poolCfg    pool.Config
	groupCfg   upstream.Config
	timers     timer.Service
	log        *zap.Logger

	mu            sync.Mutex
	guard         TaskGuard
	policies      atomic.Pointer[Policies]
	startObserver atomic.Pointer[StartObserver]
	keyHandoffs   *KeyHandoffs
	pool          *PoolOwner
	quotas        map[string]pool.Quota
	groups        map[lease.Unit]*GroupOwner
	keys          map[lease.Unit]*KeyOwner
	releasing     map[lease.Unit]uint64
	closed        bool
	work          sync.WaitGroup
	ctx           context.Context
	cancel        context.CancelFunc
}

// NewOwnedUnits returns an OwnedUnits without units.
func NewOwnedUnits(
	dataCentre, id string, plat Platform, hosts *HostView, poolCfg pool.Config, groupCfg upstream.Config,
	timers timer.Service, log *zap.Logger,
) *OwnedUnits {
	ctx, cancel := context.WithCancel(context.Background())
	return &OwnedUnits{
		ctx: ctx, cancel: cancel,
		dataCentre: dataCentre, id: id, plat: plat, hosts: hosts, poolCfg: poolCfg, groupCfg: groupCfg,
		timers: timers, log: log,
		groups:    make(map[lease.Unit]*GroupOwner),
		keys:      make(map[lease.Unit]*KeyOwner),
		releasing: make(map[lease.Unit]uint64),
	}
}

// SetKeyHandoffs sets the exchange of announcements about closed key shards. Call
// it before Gain.
func (o *OwnedUnits) SetKeyHandoffs(k *KeyHandoffs) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keyHandoffs = k
}

// SetGuard sets the guard that is checked right before each act. Call it before
// Gain.
func (o *OwnedUnits) SetGuard(g TaskGuard) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.guard = g
}

// SetPolicies sets the source of the policies. Until it is set, no service has one.
func (o *OwnedUnits) SetPolicies(p Policies) { o.policies.Store(&p) }

// Service returns the policy of a service, the team that the service belongs to,
// and whether the plan has the service.
func (o *OwnedUnits) Service(name string) (plan.Service, string, bool) {
	if p := o.policies.Load(); p != nil {
		return (*p).Service(name)
	}
	return plan.Service{}, "", false
}

// SetStartObserver sets the observer of the first start of each task.
func (o *OwnedUnits) SetStartObserver(s StartObserver) { o.startObserver.Store(&s) }

// FirstStarted passes the first start of a task on to the observer.
func (o *OwnedUnits) FirstStarted(team, job string, wait time.Duration) {
	if s := o.startObserver.Load(); s != nil {
		(*s).FirstStarted(team, job, wait)
	}
}

// SetQuotas sets the quotas of the teams in this data centre, also for a pool that
// is gained later.
func (o *OwnedUnits) SetQuotas(quotas map[string]pool.Quota) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quotas = quotas
	if o.pool != nil {
		o.pool.SetQuotas(quotas)
	}
}

// Gain starts to serve a unit.
func (o *OwnedUnits) Gain(g lease.Gained) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	switch {
	case g.Unit == poolUnit:
		o.pool = NewPoolOwner(o.dataCentre, g, o.poolCfg, o.id, o.plat, o.hosts, o.guard, o, o.timers, o.log)
		o.pool.SetQuotas(o.quotas)
	case isGroup(g.Unit):
		o.groups[g.Unit] = NewGroupOwner(o.dataCentre, g, o.groupCfg, o.plat, o.hosts, o, o.guard, o.timers, o.log)
	case isKeys(g.Unit):
		closed, _ := o.keyHandoffs.ClosedFrom(g)
		o.keys[g.Unit] = NewKeyOwner(g, closed, o.guard, o.timers)
	}
}

// remove removes a unit and returns the functions that stop its owner: stop at
// once, release gracefully. release reports whether nothing is left that the
// successor has to wait for.
func (o *OwnedUnits) remove(u lease.Unit) (stop func(), release func(context.Context) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	noop := func() {}
	switch {
	case u == poolUnit && o.pool != nil:
		p := o.pool
		o.pool = nil
		return p.Close, p.Release
	case o.groups[u] != nil:
		g := o.groups[u]
		delete(o.groups, u)
		return g.Close, g.Release
	case o.keys[u] != nil:
		k := o.keys[u]
		delete(o.keys, u)
		return k.Close, func(ctx context.Context) bool {
			o.keyHandoffs.Announce(ctx, u, k.gained.Epoch, k.Release())
			return true
		}
	}
	return noop, func(context.Context) bool { return true }
}

// Lose stops serving a unit at once.
func (o *OwnedUnits) Lose(u lease.Unit, _ uint64) {
	stop, _ := o.remove(u)
	o.goWork(stop)
}

// Release stops serving a unit gracefully and calls done afterwards. It does not
// call done while something may still be running that the successor would not
// know of; if the host stops first, its lease has to lapse.
func (o *OwnedUnits) Release(u lease.Unit, epoch uint64, done func()) {
	o.mu.Lock()
	if o.releasing[u] == epoch {
		o.mu.Unlock()
		return
	}
	o.releasing[u] = epoch
	o.mu.Unlock()
	_, release := o.remove(u)
	o.goWork(func() {
		if release(o.ctx) {
			done()
		}
	})
}

func (o *OwnedUnits) goWork(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.work.Go(f)
}

// Pool returns the owner of the pool while this host owns the workers.
func (o *OwnedUnits) Pool() (*PoolOwner, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool, o.pool != nil
}

// Group returns the owner of a group, if this host owns it.
func (o *OwnedUnits) Group(u lease.Unit) (*GroupOwner, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g, ok := o.groups[u]
	return g, ok
}

// Loads returns the loads of the groups that this host owns.
func (o *OwnedUnits) Loads() map[lease.Unit]upstream.Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[lease.Unit]upstream.Load, len(o.groups))
	for u, g := range o.groups {
		out[u] = g.Load()
	}
	return out
}

// Keys returns the owner of a key shard, if this host owns it.
func (o *OwnedUnits) Keys(u lease.Unit) (*KeyOwner, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	k, ok := o.keys[u]
	return k, ok
}

// Close stops the owners of all units at once.
func (o *OwnedUnits) Close() {
	o.cancel()
	o.mu.Lock()
	o.closed = true
	var stops []func()
	if o.pool != nil {
		stops = append(stops, o.pool.Close)
	}
	for _, g := range o.groups {
		stops = append(stops, g.Close)
	}
	for _, k := range o.keys {
		stops = append(stops, k.Close)
	}
	o.mu.Unlock()
	for _, stop := range stops {
		stop()
	}
	o.work.Wait()
}
