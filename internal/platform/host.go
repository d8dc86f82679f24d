package platform

import (
	"net/netip"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// Role tells what a listed host does.
type Role string

const (
	// RoleEntry is an entry host of the scheduler.
	RoleEntry Role = "Entry"
	// RoleWorker is a host that runs tasks.
	RoleWorker Role = "Worker"
	// RoleUpstream is an instance of a service that answers requests.
	RoleUpstream Role = "Upstream"
)

// Host is one line of the platform's host list, which lags behind the truth.
type Host struct {
	Name       string
	Role       Role
	Region     string
	DataCentre string
	// Rack is set for workers.
	Rack string
	// Service is set for upstreams.
	Service string
	// Addr is where the host answers: the peer port of an entry host, the
	// HTTP port of a worker or an upstream.
	Addr netip.AddrPort
	// Leaving hosts get no new work.
	Leaving bool
	// Capacity is the room of a worker.
	Capacity job.Size
	// Slots and Connections are the limits of an upstream.
	Slots       int
	Connections int
}
