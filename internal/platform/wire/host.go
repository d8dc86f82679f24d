package wire

import (
	"net/netip"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// Size is the wire form of a job.Size.
type Size struct {
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
}

// Host is the wire form of a platform.Host.
type Host struct {
	Name        string
	Role        string
	Region      string
	DataCentre  string
	Rack        string
	Service     string
	Addr        string
	Leaving     bool
	Room        Size
	Slots       int
	Connections int
}

// Hosts is the response of the host list.
type Hosts struct{ Hosts []Host }

// FromSize converts a size to its wire form.
func FromSize(s job.Size) Size {
	return Size{MilliCores: s.MilliCores, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
}

// Domain converts a size from its wire form.
func (s Size) Domain() job.Size {
	return job.Size{MilliCores: s.MilliCores, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
}

// FromHosts converts hosts to their wire form.
func FromHosts(hosts []platform.Host) Hosts {
	out := make([]Host, 0, len(hosts))
	for _, h := range hosts {
		listed := Host{
			Name: h.Name, Role: string(h.Role), Region: h.Region, DataCentre: h.DataCentre,
			Rack: h.Rack, Service: h.Service, Leaving: h.Leaving, Room: FromSize(h.Capacity),
			Slots: h.Slots, Connections: h.Connections,
		}
		if h.Addr.IsValid() {
			listed.Addr = h.Addr.String()
		}
		out = append(out, listed)
	}
	return Hosts{Hosts: out}
}

// Domain converts hosts from their wire form.
func (h Hosts) Domain(op string) ([]platform.Host, error) {
	out := make([]platform.Host, 0, len(h.Hosts))
	for i, listed := range h.Hosts {
		host, err := listed.domain(op, i)
		if err != nil {
			return nil, err
		}
		out = append(out, host)
	}
	return out, nil
}

func (h Host) domain(op string, i int) (platform.Host, error) {
	if h.Name == "" {
		return platform.Host{}, invalid(op, "Hosts[%d].Name is empty", i)
	}
	role := platform.Role(h.Role)
	switch role {
	case platform.RoleEntry, platform.RoleWorker, platform.RoleUpstream:
	default:
		return platform.Host{}, invalid(op, "Hosts[%d].Role is %q, not Entry, Worker or Upstream", i, h.Role)
	}
	out := platform.Host{
		Name: h.Name, Role: role, Region: h.Region, DataCentre: h.DataCentre,
		Rack: h.Rack, Service: h.Service, Leaving: h.Leaving, Capacity: h.Room.Domain(),
		Slots: h.Slots, Connections: h.Connections,
	}
	if h.Addr == "" {
		return out, nil
	}
	addr, err := netip.ParseAddrPort(h.Addr)
	if err != nil {
		return platform.Host{}, invalid(op, "Hosts[%d].Addr is %q, not an IP address with a port", i, h.Addr)
	}
	out.Addr = addr
	return out, nil
}
