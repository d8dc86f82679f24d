package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// Workers calls worker stand-ins by the name of their host. Its methods have the
// signatures of the worker adapter.
type Workers struct {
	mu     sync.Mutex
	byName map[string]*Worker
	names  []string
}

// NewWorkers returns a set of workers.
func NewWorkers(workers ...*Worker) *Workers {
	ws := &Workers{byName: make(map[string]*Worker)}
	for _, w := range workers {
		ws.Add(w)
	}
	return ws
}

// Add adds a worker, or replaces the worker with the same name.
func (ws *Workers) Add(w *Worker) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	name := w.config.Host.Name
	if _, known := ws.byName[name]; !known {
		ws.names = append(ws.names, name)
	}
	ws.byName[name] = w
}

// Get returns the named worker, or nil if there is none.
func (ws *Workers) Get(name string) *Worker {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.byName[name]
}

// All returns the workers in the order in which they were added.
func (ws *Workers) All() []*Worker {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	all := make([]*Worker, 0, len(ws.names))
	for _, name := range ws.names {
		all = append(all, ws.byName[name])
	}
	return slices.Clip(all)
}

// AdvanceTo advances every worker to a time of the true clock.
func (ws *Workers) AdvanceTo(now time.Time) {
	for _, w := range ws.All() {
		w.AdvanceTo(now)
	}
}

// Start runs attempts on a host and returns one error for each start.
func (ws *Workers) Start(ctx context.Context, host platform.Host, starts []platform.Start) ([]error, error) {
	w := ws.Get(host.Name)
	if w == nil {
		return nil, notRun("start", "no worker %q", host.Name)
	}
	return w.Start(ctx, starts)
}

// Report renews leases on a host and returns the attempts that have changed.
func (ws *Workers) Report(ctx context.Context, host platform.Host, r platform.ReportRequest) (platform.Report, error) {
	w := ws.Get(host.Name)
	if w == nil {
		return platform.Report{}, notRun("report", "no worker %q", host.Name)
	}
	return w.Report(ctx, r)
}

// Stop ends attempts on a host.
func (ws *Workers) Stop(ctx context.Context, host platform.Host, stops []platform.Stop) error {
	w := ws.Get(host.Name)
	if w == nil {
		return notRun("stop", "no worker %q", host.Name)
	}
	return w.Stop(ctx, stops)
}
