// Package settings reads and validates the settings files from which the
// processes of the scheduler learn their names, locations, addresses and limits
// at start.
package settings

import (
	"net/netip"
	"time"

	"go.uber.org/zap/zapcore"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnreadable means that a file could not be read.
	KindUnreadable Kind = "unreadable"
	// KindInvalid means that the settings did not pass validation; the error
	// wraps document.Faults.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Defaults of the optional settings.
const (
	DefaultHostTTL       = 4 * time.Second
	DefaultRenewEvery    = 1 * time.Second
	DefaultPromiseFor    = 3 * time.Second
	DefaultTaskLease     = 15 * time.Second
	DefaultReportEvery   = 5 * time.Second
	DefaultBalancerGrace = 3 * time.Second
	DefaultMaxDeadline   = 60 * time.Second
	// DefaultDeadline is the default of Limits.DefaultDeadline.
	DefaultDeadline = 5 * time.Second
	// DefaultMaxBody is the default of Limits.MaxBody in bytes.
	DefaultMaxBody = 1 << 20
	// DefaultQueueLength is the default of Limits.Queue, in requests.
	DefaultQueueLength = 512
)

// Settings holds the settings of an entry host that the command "serve" runs. Host
// holds those of the command "host", which runs on the users' platform.
type Settings struct {
	// Name is the name of this entry host.
	Name       string
	Region     string
	DataCentre string
	// PeerAddr is where the host listens for other entry hosts.
	PeerAddr netip.AddrPort
	// HTTPAddr is where the host listens for clients and operators.
	HTTPAddr netip.AddrPort
	// Advertise is the address that other entry hosts dial. The default is
	// PeerAddr.
	Advertise netip.AddrPort
	Platform  Platform
	// Peers are the addresses of entry hosts to call while the host list cannot
	// be reached. Host calls them Seeds.
	Peers []netip.AddrPort
	// KeysFile is the path of the file with the hashed bearer keys.
	KeysFile string
	// TLS is the certificate of the HTTP server. It is zero for plain HTTP.
	TLS    TLS
	Limits Limits
	Lease  Lease
	// BalancerGrace is how long a stopping host still accepts requests after
	// its health page reports that the host is leaving.
	BalancerGrace time.Duration
	LogLevel      zapcore.Level
}

// Platform holds the base URLs of the platform's services. Workers and
// upstreams are found through the host list.
type Platform struct {
	TableURL   string
	ObjectsURL string
	HostsURL   string
}

// TLS holds the paths of the files of a certificate and its key.
type TLS struct {
	CertFile string
	KeyFile  string
}

// IsZero reports whether no certificate is configured.
func (t TLS) IsZero() bool { return t == TLS{} }

// Limits bounds the requests of clients.
type Limits struct {
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// MaxDeadline is the longest deadline that a client may ask for.
	MaxDeadline time.Duration
	// DefaultDeadline is the deadline of a request without one.
	DefaultDeadline time.Duration
	// Queue is the largest number of requests of one priority that may wait for
	// a slot of one group of eight instances. One client gets at most half of
	// it.
	Queue int
}

// Lease holds the durations of the leases of hosts and tasks.
type Lease struct {
	// HostTTL is how long a host's lease row is valid after a renewal.
	HostTTL time.Duration
	// RenewEvery is the interval between two renewals of the lease row.
	RenewEvery time.Duration
	// PromiseFor is how long a peer's promise not to fence this host is valid.
	PromiseFor time.Duration
	// TaskLease is the duration of the task lease that a start or a renewal
	// grants.
	TaskLease time.Duration
	// ReportEvery is the interval between two renewals of a worker's task
	// leases, and between two reports of a worker.
	ReportEvery time.Duration
}
