package entry

import (
	"context"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// Table is the part of the table service that an entry host uses.
type Table interface {
	Get(ctx context.Context, key string) (platform.Row, error)
	List(ctx context.Context, prefix string, after uint64, limit int) ([]platform.Row, error)
	Commit(ctx context.Context, c platform.Commit) (uint64, error)
}

// Objects is the part of the object store that an entry host uses.
type Objects interface {
	Put(ctx context.Context, name string, content []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
}

// HostList reads the platform's host list.
type HostList interface {
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// Workers calls workers to run tasks.
type Workers interface {
	Start(ctx context.Context, worker platform.Host, starts []platform.Start) ([]error, error)
	Report(ctx context.Context, worker platform.Host, r platform.ReportRequest) (platform.Report, error)
	Stop(ctx context.Context, worker platform.Host, stops []platform.Stop) error
}

// Upstreams sends requests to upstream instances.
type Upstreams interface {
	Send(ctx context.Context, instance platform.Host, r platform.UpstreamRequest) (platform.UpstreamResponse, error)
	Status(ctx context.Context, instance platform.Host) (platform.UpstreamStatus, error)
}

// Platform holds the interfaces through which an entry host uses the platform.
type Platform struct {
	Table     Table
	Objects   Objects
	Hosts     HostList
	Workers   Workers
	Upstreams Upstreams
}
