package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// HostList stands in for the platform's host list, which shows changes after a
// lag.
type HostList struct {
	Faults

	mu       sync.Mutex
	lag      time.Duration
	versions []listVersion
}

type listVersion struct {
	at    time.Time
	hosts []platform.Host
}

// NewHostList returns a list that shows the given hosts immediately, and changes
// after the lag.
func NewHostList(timers timer.Service, lag time.Duration, hosts ...platform.Host) *HostList {
	return &HostList{
		Faults:   Faults{timers: timers},
		lag:      lag,
		versions: []listVersion{{hosts: slices.Clone(hosts)}},
	}
}

// SetLag sets the lag.
func (l *HostList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Hosts returns the hosts as they were one lag ago.
func (l *HostList) Hosts(ctx context.Context) ([]platform.Host, error) {
	return withFaults(ctx, &l.Faults, "hosts", func() ([]platform.Host, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		seen := l.timers.Now().Add(-l.lag)
		shown := l.versions[0].hosts
		for _, list := range l.versions {
			if list.at.After(seen) {
				break
			}
			shown = list.hosts
		}
		return slices.Clone(shown), nil
	})
}

// Add adds a host, or replaces the host with the same name.
func (l *HostList) Add(host platform.Host) {
	l.change(func(hosts []platform.Host) []platform.Host {
		if i := hostIndex(hosts, host.Name); i >= 0 {
			hosts[i] = host
			return hosts
		}
		return append(hosts, host)
	})
}

// Remove removes the named host.
func (l *HostList) Remove(name string) {
	l.change(func(hosts []platform.Host) []platform.Host {
		return slices.DeleteFunc(hosts, func(h platform.Host) bool { return h.Name == name })
	})
}

// SetLeaving marks the named host as leaving or as staying.
func (l *HostList) SetLeaving(name string, leaving bool) {
	l.change(func(hosts []platform.Host) []platform.Host {
		if i := hostIndex(hosts, name); i >= 0 {
			hosts[i].Leaving = leaving
		}
		return hosts
	})
}

// Publish makes the list show all changes immediately, regardless of the lag.
func (l *HostList) Publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = []listVersion{{hosts: l.versions[len(l.versions)-1].hosts}}
}

func (l *HostList) change(edit func([]platform.Host) []platform.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Now()
	newest := l.versions[len(l.versions)-1].hosts
	l.versions = append(l.versions, listVersion{at: now, hosts: edit(slices.Clone(newest))})
	seen := now.Add(-l.lag)
	for len(l.versions) > 1 && !l.versions[1].at.After(seen) {
		l.versions = l.versions[1:]
	}
}

func hostIndex(hosts []platform.Host, name string) int {
	return slices.IndexFunc(hosts, func(h platform.Host) bool { return h.Name == name })
}
