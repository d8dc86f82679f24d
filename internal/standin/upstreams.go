package standin

import (
	"context"
	"sync"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// Upstreams calls upstream stand-ins by the name of their host. Its methods have
// the signatures of the upstream adapter.
type Upstreams struct {
	mu     sync.Mutex
	byName map[string]*Upstream
	names  []string
}

// NewUpstreams returns a set of upstream instances.
func NewUpstreams(upstreams ...*Upstream) *Upstreams {
	us := &Upstreams{byName: make(map[string]*Upstream)}
	for _, u := range upstreams {
		us.Add(u)
	}
	return us
}

// Add adds an instance, or replaces the instance with the same name.
func (us *Upstreams) Add(u *Upstream) {
	us.mu.Lock()
	defer us.mu.Unlock()
	name := u.config.Host.Name
	if _, known := us.byName[name]; !known {
		us.names = append(us.names, name)
	}
	us.byName[name] = u
}

// Get returns the named instance, or nil if there is none.
func (us *Upstreams) Get(name string) *Upstream {
	us.mu.Lock()
	defer us.mu.Unlock()
	return us.byName[name]
}

// All returns the instances in the order in which they were added.
func (us *Upstreams) All() []*Upstream {
	us.mu.Lock()
	defer us.mu.Unlock()
	all := make([]*Upstream, 0, len(us.names))
	for _, name := range us.names {
		all = append(all, us.byName[name])
	}
	return all
}

// Send runs a request on a host and returns its complete response.
func (us *Upstreams) Send(
	ctx context.Context, host platform.Host, r platform.UpstreamRequest,
) (platform.UpstreamResponse, error) {
	u := us.Get(host.Name)
	if u == nil {
		return platform.UpstreamResponse{}, notRun("send", "no upstream %q", host.Name)
	}
	return u.Send(ctx, r)
}

// Status returns the status that a host reports.
func (us *Upstreams) Status(ctx context.Context, host platform.Host) (platform.UpstreamStatus, error) {
	u := us.Get(host.Name)
	if u == nil {
		return platform.UpstreamStatus{}, notRun("status", "no upstream %q", host.Name)
	}
	return u.Status(ctx)
}
