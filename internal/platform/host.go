package platform

import (
	"net/netip"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// Role is the role of a host in the host list.
type Role string

const (
	// RoleEntry is an entry host of the scheduler.
	RoleEntry Role = "Entry"
	// RoleWorker is a host that runs tasks.
	RoleWorker Role = "Worker"
	// RoleUpstream is an instance of a service that answers requests.
	RoleUpstream Role = "Upstream"
)

// Host is one entry of the platform's host list, which lags behind the actual
// state of the hosts.
type Host struct {
	Name       string
	Role       Role
	Region     string
	DataCentre string
	// Rack is set for workers.
	Rack string
	// Service is set for upstreams.
	Service string
	// Addr is the address of the host: the peer port of an entry host, or the
	// HTTP port of a worker or an upstream.
	Addr netip.AddrPort
	// Leaving is set for a host that has been told to leave and gets no new
	// work.
	Leaving bool
	// Capacity holds the total resources of a worker.
	Capacity job.Size
	// Slots and Connections are the limits of an upstream.
	Slots       int
	Connections int
}
