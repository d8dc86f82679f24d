package standin

import (
	"context"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// View is the platform as one entry host reaches it, over links that may be cut.
// The methods of its fields have the signatures of the adapters.
type View struct {
	Table     *TableView
	Objects   *ObjectsView
	Hosts     *HostListView
	Workers   *WorkersView
	Upstreams *UpstreamsView
}

// TableView is the table service as one entry host reaches it.
type TableView struct {
	table *Table
	links *Links
	from  string
}

// Get returns the row with a key.
func (v *TableView) Get(ctx context.Context, key string) (platform.Row, error) {
	return callOverLink(v.links, "get", v.from, Platform, func() (platform.Row, error) { return v.table.Get(ctx, key) })
}

// List returns the rows under a prefix that were written after a version.
func (v *TableView) List(ctx context.Context, prefix string, after uint64, limit int) ([]platform.Row, error) {
	return callOverLink(v.links, "list", v.from, Platform, func() ([]platform.Row, error) {
		return v.table.List(ctx, prefix, after, limit)
	})
}

// Commit applies a transaction and returns its version.
func (v *TableView) Commit(ctx context.Context, c platform.Commit) (uint64, error) {
	return callOverLink(v.links, "commit", v.from, Platform, func() (uint64, error) { return v.table.Commit(ctx, c) })
}

// ObjectsView is the object store as one entry host reaches it.
type ObjectsView struct {
	objects *Objects
	links   *Links
	from    string
}

// Put stores an object under a name.
func (v *ObjectsView) Put(ctx context.Context, name string, content []byte) error {
	return doOverLink(v.links, "put", v.from, Platform, func() error { return v.objects.Put(ctx, name, content) })
}

// Get returns the named object.
func (v *ObjectsView) Get(ctx context.Context, name string) ([]byte, error) {
	return callOverLink(v.links, "get", v.from, Platform, func() ([]byte, error) { return v.objects.Get(ctx, name) })
}

// Delete deletes an object.
func (v *ObjectsView) Delete(ctx context.Context, name string) error {
	return doOverLink(v.links, "delete", v.from, Platform, func() error { return v.objects.Delete(ctx, name) })
}

// HostListView is the host list as one entry host reaches it.
type HostListView struct {
	hosts *HostList
	links *Links
	from  string
}

// Hosts returns the hosts as they were one lag ago.
func (v *HostListView) Hosts(ctx context.Context) ([]platform.Host, error) {
	return callOverLink(v.links, "hosts", v.from, Platform, func() ([]platform.Host, error) { return v.hosts.Hosts(ctx) })
}

// WorkersView calls workers as one entry host reaches them.
type WorkersView struct {
	workers *Workers
	links   *Links
	from    string
}

// Start runs attempts on a host and returns one error for each start.
func (v *WorkersView) Start(ctx context.Context, host platform.Host, starts []platform.Start) ([]error, error) {
	return callOverLink(v.links, "start", v.from, host.DataCentre, func() ([]error, error) {
		return v.workers.Start(ctx, host, starts)
	})
}

// Report renews leases on a host and returns the attempts that have changed.
func (v *WorkersView) Report(
	ctx context.Context, host platform.Host, r platform.ReportRequest,
) (platform.Report, error) {
	return callOverLink(v.links, "report", v.from, host.DataCentre, func() (platform.Report, error) {
		return v.workers.Report(ctx, host, r)
	})
}

// Stop ends attempts on a host.
func (v *WorkersView) Stop(ctx context.Context, host platform.Host, stops []platform.Stop) error {
	return doOverLink(v.links, "stop", v.from, host.DataCentre, func() error { return v.workers.Stop(ctx, host, stops) })
}

// UpstreamsView calls upstreams as one entry host reaches them.
type UpstreamsView struct {
	upstreams *Upstreams
	links     *Links
	from      string
}

// Send runs a request on a host and returns its complete response.
func (v *UpstreamsView) Send(
	ctx context.Context, host platform.Host, r platform.UpstreamRequest,
) (platform.UpstreamResponse, error) {
	return callOverLink(v.links, "send", v.from, host.DataCentre, func() (platform.UpstreamResponse, error) {
		return v.upstreams.Send(ctx, host, r)
	})
}

// Status returns the status that a host reports.
func (v *UpstreamsView) Status(ctx context.Context, host platform.Host) (platform.UpstreamStatus, error) {
	return callOverLink(v.links, "status", v.from, host.DataCentre, func() (platform.UpstreamStatus, error) {
		return v.upstreams.Status(ctx, host)
	})
}
