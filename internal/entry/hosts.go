package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// hostListInterval is the interval at which the host list is read. An upstream
// that leaves must get no new requests after a few seconds.
const hostListInterval = time.Second

// HostView caches the host list. While the list cannot be read, the last one that
// was read stays in use.
type HostView struct {
	source HostList
	timers timer.Service
	log    *zap.Logger
	hosts  atomic.Pointer[[]platform.Host]

	mu       sync.Mutex
	watchers []func([]platform.Host)

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// NewHostView returns a view and starts to read the host list.
func NewHostView(source HostList, timers timer.Service, log *zap.Logger) *HostView {
	ctx, cancel := context.WithCancel(context.Background())
	v := &HostView{
		source: source, timers: timers, log: log.Named("hosts"), ctx: ctx, cancel: cancel, done: make(chan struct{}),
	}
	v.hosts.Store(&[]platform.Host{})
	go func() {
		defer close(v.done)
		v.run()
	}()
	return v
}

func (v *HostView) run() {
	sub := v.timers.Every(hostListInterval)
	defer sub.Stop()
	for {
		v.refresh()
		select {
		case <-sub.C:
		case <-v.ctx.Done():
			return
		}
	}
}

func (v *HostView) refresh() {
	ctx, cancel := context.WithTimeout(v.ctx, storeTimeout)
	defer cancel()
	hosts, err := v.source.Hosts(ctx)
	if err != nil {
		if v.ctx.Err() == nil {
			v.log.Info("cannot read the host list", zap.Error(err))
		}
		return
	}
	v.hosts.Store(&hosts)
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, w := range v.watchers {
		w(hosts)
	}
}

// Watch calls f with each host list that is read from now on.
func (v *HostView) Watch(f func([]platform.Host)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.watchers = append(v.watchers, f)
}

// All returns the last host list that was read.
func (v *HostView) All() []platform.Host { return *v.hosts.Load() }

// Workers returns the workers of a data centre.
func (v *HostView) Workers(dataCentre string) []platform.Host {
	var out []platform.Host
	for _, h := range v.All() {
		if h.Role == platform.RoleWorker && h.DataCentre == dataCentre {
			out = append(out, h)
		}
	}
	return out
}

// Group returns the instances of a group.
func (v *HostView) Group(dataCentre string, u lease.Unit) []platform.Host {
	return groupsOf(dataCentre, v.All())[u]
}

// EntryHosts returns the entry hosts of a data centre.
func (v *HostView) EntryHosts(dataCentre string) []platform.Host {
	var out []platform.Host
	for _, h := range v.All() {
		if h.Role == platform.RoleEntry && h.DataCentre == dataCentre && h.Addr.IsValid() {
			out = append(out, h)
		}
	}
	return out
}

// Done is closed when the view no longer reads the host list.
func (v *HostView) Done() <-chan struct{} { return v.done }

// Err returns nil: only Close stops the view.
func (v *HostView) Err() error { return nil }

// Close stops reading the host list.
func (v *HostView) Close() {
	v.cancel()
	<-v.done
}
