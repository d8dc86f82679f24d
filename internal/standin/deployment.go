package standin

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// Default sizes of a deployment, which are those of the users' deployments.
// maxCount limits the counts, and planPrefix is the prefix of the table rows of
// the plan.
const (
	defaultWorkers     = 50
	defaultUpstreams   = 50
	defaultEntryHosts  = 8
	defaultDataCentres = 3

	workersPerRack      = 8
	workerMilliCores    = 32_000
	workerMemoryMB      = 64_000
	acceleratorEvery    = 5
	workerAccelerators  = 2
	upstreamSlots       = 8
	upstreamConnections = 64
	minServiceTime      = 5 * time.Millisecond
	maxServiceTime      = 25 * time.Millisecond
	planPrefix          = "plan/"
	maxCount            = 100_000
)

// DataCentre is a data centre and its region.
type DataCentre struct {
	Name   string
	Region string
}

// DeploymentConfig configures a deployment. A count of 0 selects the default.
type DeploymentConfig struct {
	// Name is "tsukushi" or "tiras".
	Name        string
	Workers     int
	Upstreams   int
	EntryHosts  int
	DataCentres int
	Seed        uint64
	// HostLag is the lag of the host list.
	HostLag time.Duration
	// ServiceTimeMin and ServiceTimeMax bound the service time of the upstreams.
	// They are 5 ms and 25 ms if ServiceTimeMax is 0.
	ServiceTimeMin, ServiceTimeMax time.Duration
	// RunTimeFactorMin and RunTimeFactorMax bound the real run time of attempts as
	// a factor of the declared one. Both are 1 if RunTimeFactorMax is 0.
	RunTimeFactorMin, RunTimeFactorMax float64
}

// Deployment is the complete stand-in platform of one user.
type Deployment struct {
	Name string
	// Service is the name of the service that the upstreams provide.
	Service string
	// StoreRegion is the region of the table service and the object store.
	StoreRegion string
	DataCentres []DataCentre
	// EntryHosts have no addresses until SetEntryAddr sets them, or SetEntryHosts
	// replaces the hosts.
	EntryHosts []platform.Host

	Table     *Table
	Objects   *Objects
	Hosts     *HostList
	Workers   *Workers
	Upstreams *Upstreams
	Links     *Links
	Journal   *Journal
	Audit     *Audit
}

type layout struct {
	service     string
	dataCentres []DataCentre
}

var layouts = map[string]layout{
	"tsukushi": {"escrow-desk", []DataCentre{
		{"kita-hakata", "kita"}, {"kita-kokura", "kita"}, {"minami-kago", "minami"},
	}},
	"tiras": {"tira-service", []DataCentre{
		{"centro-a", "guatemala-centro"}, {"centro-b", "guatemala-centro"}, {"xela-a", "occidente"},
	}},
}

// NewDeployment builds a deployment.
func NewDeployment(config DeploymentConfig, timers timer.Service) (*Deployment, error) {
	l, ok := layouts[config.Name]
	if !ok {
		return nil, invalid("deployment", "Name is %q, not tsukushi or tiras", config.Name)
	}
	if err := applyDefaults(&config); err != nil {
		return nil, err
	}
	journal := NewJournal()
	d := &Deployment{
		Name: config.Name, Service: l.service, StoreRegion: l.dataCentres[0].Region,
		DataCentres: dataCentres(l, config.DataCentres),
		Table:       NewTable(timers, planPrefix), Objects: NewObjects(timers),
		Workers: NewWorkers(), Upstreams: NewUpstreams(), Links: NewLinks(), Journal: journal,
	}
	hosts := d.buildEntryHosts(config.EntryHosts)
	for i := range config.Workers {
		w := NewWorker(WorkerConfig{
			Host: d.workerHost(i), Seed: config.Seed + uint64(i),
			RunTimeFactorMin: config.RunTimeFactorMin, RunTimeFactorMax: config.RunTimeFactorMax,
		}, timers, journal)
		d.Workers.Add(w)
		hosts = append(hosts, w.Host())
	}
	for i := range config.Upstreams {
		u := NewUpstream(UpstreamConfig{
			Host: d.upstreamHost(i), Seed: config.Seed + uint64(i),
			ServiceTimeMin: config.ServiceTimeMin, ServiceTimeMax: config.ServiceTimeMax,
		}, timers, journal)
		d.Upstreams.Add(u)
		hosts = append(hosts, u.Host())
	}
	d.Hosts = NewHostList(timers, config.HostLag, hosts...)
	d.Audit = NewAudit(d, timers)
	return d, nil
}

func applyDefaults(c *DeploymentConfig) error {
	counts := []struct {
		name         string
		value        *int
		defaultValue int
	}{
		{"Workers", &c.Workers, defaultWorkers},
		{"Upstreams", &c.Upstreams, defaultUpstreams},
		{"EntryHosts", &c.EntryHosts, defaultEntryHosts},
		{"DataCentres", &c.DataCentres, defaultDataCentres},
	}
	for _, count := range counts {
		if *count.value == 0 {
			*count.value = count.defaultValue
		}
		if *count.value < 1 || *count.value > maxCount {
			return invalid("deployment", "%s is %d, not 1 to %d", count.name, *count.value, maxCount)
		}
	}
	if c.ServiceTimeMax == 0 {
		c.ServiceTimeMin, c.ServiceTimeMax = minServiceTime, maxServiceTime
	}
	return nil
}

// dataCentres returns the first n data centres of a layout. If n is larger than
// the layout, its data centres are repeated with a numeric suffix to the name and
// the same region.
func dataCentres(l layout, n int) []DataCentre {
	all := make([]DataCentre, 0, n)
	for i := range n {
		known := l.dataCentres[i%len(l.dataCentres)]
		if i >= len(l.dataCentres) {
			known.Name = fmt.Sprintf("%s-%d", known.Name, i/len(l.dataCentres)+1)
		}
		all = append(all, known)
	}
	return all
}

func (d *Deployment) dataCentreOf(i int) DataCentre { return d.DataCentres[i%len(d.DataCentres)] }

func (d *Deployment) buildEntryHosts(n int) []platform.Host {
	for i := range n {
		dc := d.dataCentreOf(i)
		d.EntryHosts = append(d.EntryHosts, platform.Host{
			Name: fmt.Sprintf("entry-%02d", i), Role: platform.RoleEntry,
			Region: dc.Region, DataCentre: dc.Name,
		})
	}
	return append([]platform.Host(nil), d.EntryHosts...)
}

func (d *Deployment) workerHost(i int) platform.Host {
	dc := d.dataCentreOf(i)
	rack := i / len(d.DataCentres) / workersPerRack
	capacity := job.Size{MilliCores: workerMilliCores, MemoryMB: workerMemoryMB}
	if i%acceleratorEvery == 0 {
		capacity.Accelerators = workerAccelerators
	}
	return platform.Host{
		Name: fmt.Sprintf("worker-%03d", i), Role: platform.RoleWorker,
		Region: dc.Region, DataCentre: dc.Name,
		Rack: fmt.Sprintf("%s/rack-%02d", dc.Name, rack), Capacity: capacity,
	}
}

func (d *Deployment) upstreamHost(i int) platform.Host {
	dc := d.dataCentreOf(i)
	return platform.Host{
		Name: fmt.Sprintf("upstream-%03d", i), Role: platform.RoleUpstream,
		Region: dc.Region, DataCentre: dc.Name, Service: d.Service,
		Slots: upstreamSlots, Connections: upstreamConnections,
	}
}

// View returns the platform as the named entry host reaches it.
func (d *Deployment) View(from string) *View {
	return &View{
		Table:     &TableView{table: d.Table, links: d.Links, from: from},
		Objects:   &ObjectsView{objects: d.Objects, links: d.Links, from: from},
		Hosts:     &HostListView{hosts: d.Hosts, links: d.Links, from: from},
		Workers:   &WorkersView{workers: d.Workers, links: d.Links, from: from},
		Upstreams: &UpstreamsView{upstreams: d.Upstreams, links: d.Links, from: from},
	}
}

// SetServerAddr sets the address of all workers and upstreams in the host list to
// that of the server of this deployment. The host list shows it immediately.
func (d *Deployment) SetServerAddr(addr netip.AddrPort) {
	d.Hosts.change(func(hosts []platform.Host) []platform.Host {
		for i := range hosts {
			if hosts[i].Role != platform.RoleEntry {
				hosts[i].Addr = addr
			}
		}
		return hosts
	})
	d.Hosts.Publish()
}

// SetEntryHosts replaces the entry hosts of the deployment. Each takes its region
// from its data centre. The host list shows them immediately.
func (d *Deployment) SetEntryHosts(hosts []platform.Host) error {
	for i := range hosts {
		at := slices.IndexFunc(d.DataCentres, func(c DataCentre) bool { return c.Name == hosts[i].DataCentre })
		if at < 0 {
			return invalid("deployment", "no data centre %q", hosts[i].DataCentre)
		}
		hosts[i].Role, hosts[i].Region = platform.RoleEntry, d.DataCentres[at].Region
	}
	for _, old := range d.EntryHosts {
		d.Hosts.Remove(old.Name)
	}
	d.EntryHosts = hosts
	for _, h := range hosts {
		d.Hosts.Add(h)
	}
	d.Hosts.Publish()
	return nil
}

// SetEntryAddr sets the peer address of an entry host. The host list shows it
// immediately.
func (d *Deployment) SetEntryAddr(name string, addr netip.AddrPort) error {
	i := hostIndex(d.EntryHosts, name)
	if i < 0 {
		return invalid("deployment", "no entry host %q", name)
	}
	d.EntryHosts[i].Addr = addr
	d.Hosts.Add(d.EntryHosts[i])
	d.Hosts.Publish()
	return nil
}

// SetLeaving sets whether a worker or an upstream reports that it is leaving, both
// in the host list and in its own responses.
func (d *Deployment) SetLeaving(name string, leaving bool) {
	d.Hosts.SetLeaving(name, leaving)
	if w := d.Workers.Get(name); w != nil {
		w.SetLeaving(leaving)
	}
	if u := d.Upstreams.Get(name); u != nil {
		u.SetLeaving(leaving)
	}
}

// CutDataCentre sets the loss of every link that leaves or enters a data centre:
// from its entry hosts to the platform and to other data centres, and from other
// entry hosts to it. Without a loss, it restores the links.
func (d *Deployment) CutDataCentre(name string, loss Loss) {
	for _, entry := range d.EntryHosts {
		if entry.DataCentre != name {
			d.Links.Set(entry.Name, name, loss)
			continue
		}
		d.Links.Set(entry.Name, Platform, loss)
		for _, dc := range d.DataCentres {
			if dc.Name != name {
				d.Links.Set(entry.Name, dc.Name, loss)
			}
		}
	}
}
