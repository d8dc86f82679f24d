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

// releaseTimeout bounds giving up one unit in good order.
const releaseTimeout = 10 * time.Second

// OwnedUnits holds what this host does for the units that it owns. It implements
// Owners.
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

// NewOwnedUnits returns a holder of no units.
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

// SetKeyHandoffs sets how the words of the owners of keys are passed on. Call it
// before Gain.
func (o *OwnedUnits) SetKeyHandoffs(c *KeyHandoffs) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keyHandoffs = c
}

// SetGuard sets what is asked right before each act. Call it before Gain.
func (o *OwnedUnits) SetGuard(g TaskGuard) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.guard = g
}

// SetPolicies sets where the plan is found once there is one.
func (o *OwnedUnits) SetPolicies(p Policies) { o.policies.Store(&p) }

// Service returns the policy of a service and the team that it belongs to.
func (o *OwnedUnits) Service(name string) (plan.Service, string, bool) {
	if p := o.policies.Load(); p != nil {
		return (*p).Service(name)
	}
	return plan.Service{}, "", false
}

// SetStartObserver sets who is told of the first start of each task.
func (o *OwnedUnits) SetStartObserver(s StartObserver) { o.startObserver.Store(&s) }

// FirstStarted passes on the first start of a task.
func (o *OwnedUnits) FirstStarted(team, job string, wait time.Duration) {
	if s := o.startObserver.Load(); s != nil {
		(*s).FirstStarted(team, job, wait)
	}
}

// SetQuotas adopts the teams' allotments of this data centre, also for a pool
// that is gained later.
func (o *OwnedUnits) SetQuotas(quotas map[string]pool.Quota) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quotas = quotas
	if o.pool != nil {
		o.pool.SetQuotas(quotas)
	}
}

// Gain starts to act on a unit.
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

// remove removes a unit and returns how to end it: at once, or in good order.
// yield reports whether nothing is left that the next owner has to wait for.
func (o *OwnedUnits) remove(u lease.Unit) (end func(), yield func(context.Context) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	none := func() {}
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
	return none, func(context.Context) bool { return true }
}

// Lose stops to act on a unit at once.
func (o *OwnedUnits) Lose(u lease.Unit, _ uint64) {
	end, _ := o.remove(u)
	o.goWork(end)
}

// Release stops to act on a unit in good order and calls done afterwards. It does
// not call done while something may still run that the next owner would not
// know of; if the host ends first, its lease has to lapse.
func (o *OwnedUnits) Release(u lease.Unit, epoch uint64, done func()) {
	o.mu.Lock()
	if o.releasing[u] == epoch {
		o.mu.Unlock()
		return
	}
	o.releasing[u] = epoch
	o.mu.Unlock()
	_, yield := o.remove(u)
	o.goWork(func() {
		if yield(o.ctx) {
			done()
		}
	})
}

func (o *OwnedUnits) goWork(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.work.Go(f)
}

// Pool returns the pool duty while this host owns the workers.
func (o *OwnedUnits) Pool() (*PoolOwner, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool, o.pool != nil
}

// Group returns the duty of a group that this host owns.
func (o *OwnedUnits) Group(u lease.Unit) (*GroupOwner, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g, ok := o.groups[u]
	return g, ok
}

// Loads returns how busy the groups are that this host owns.
func (o *OwnedUnits) Loads() map[lease.Unit]upstream.Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[lease.Unit]upstream.Load, len(o.groups))
	for u, g := range o.groups {
		out[u] = g.Load()
	}
	return out
}

// Keys returns the owner of a share of keys that this host owns.
func (o *OwnedUnits) Keys(u lease.Unit) (*KeyOwner, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	k, ok := o.keys[u]
	return k, ok
}

// Close ends everything at once.
func (o *OwnedUnits) Close() {
	o.cancel()
	o.mu.Lock()
	o.closed = true
	var ends []func()
	if o.pool != nil {
		ends = append(ends, o.pool.Close)
	}
	for _, g := range o.groups {
		ends = append(ends, g.Close)
	}
	for _, k := range o.keys {
		ends = append(ends, k.Close)
	}
	o.mu.Unlock()
	for _, end := range ends {
		end()
	}
	o.work.Wait()
}
