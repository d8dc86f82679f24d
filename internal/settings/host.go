package settings

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"go.uber.org/zap/zapcore"

	"cicadabarrow.example/cicadabarrow/internal/document"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/interference"
)

// Host holds the settings of an entry host on the users' platform, which the
// command "host" runs. Settings holds those of the command "serve".
type Host struct {
	Name       string
	Region     string
	DataCentre string
	// PeerAddr is where the host listens for other entry hosts. Seeds are the
	// peer addresses of other hosts, which may be stale; Settings calls them
	// Peers.
	PeerAddr netip.AddrPort
	Seeds    []netip.AddrPort
	// ClientAddr is where the host listens for clients, HealthAddr for the load
	// balancer, and MetricsAddr for readers of the metrics.
	ClientAddr  netip.AddrPort
	HealthAddr  netip.AddrPort
	MetricsAddr netip.AddrPort
	// StoreAddr, AdviceAddr and MachinesAddr are the addresses of services of
	// the platform. AdviceAddr and MachinesAddr are the zero AddrPort, which is
	// not valid, if the platform has no such service.
	StoreAddr    netip.AddrPort
	AdviceAddr   netip.AddrPort
	MachinesAddr netip.AddrPort
	// StoreWrites is how many writes a second the store takes from all hosts together.
	StoreWrites float64
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int
	// MaxFiles is the number of descriptors that the process may have open, of which
	// some are for files. 0 means the limit of the process.
	MaxFiles int
	// Cores is the number of cores that the process may use, which can be a
	// fraction. The settings file calls it ProcessorShare. LinkMbps is the
	// bandwidth of the host's link in Mbit/s. 0 means unknown. The more a host has
	// of either, the less it waits before it takes over as the owner: see
	// election.Capacity.
	Cores    float64
	LinkMbps float64
	// Fenced is set if the workers check fencing tokens.
	Fenced   bool
	Bounds   HostBounds
	LogLevel zapcore.Level
	// Interference tells whether interference between tasks is learned and avoided while
	// this host owns the cell.
	Interference interference.Mode
}

// HostBounds holds durations that the platform prescribes.
type HostBounds struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopGrace is the time between SIGTERM and SIGKILL when the platform stops
	// the process.
	StopGrace time.Duration
	// KeepEnded is how long the state of an ended job must remain available to
	// clients.
	KeepEnded time.Duration
	// RevokeWithin is how long after the withdrawal of a client's key a host may still
	// accept it if StrictRevocation is set. A host that cannot keep that serves no calls
	// that need a key. Without StrictRevocation it has no effect.
	StrictRevocation bool
	RevokeWithin     time.Duration
}

type wireHost struct {
	Name           string   `validate:"name"`
	Region         string   `validate:"name"`
	DataCentre     string   `validate:"name"`
	PeerAddr       string   `validate:"address"`
	Seeds          []string `validate:"dive,omitempty,address"`
	ClientAddr     string   `validate:"address"`
	HealthAddr     string   `validate:"address"`
	MetricsAddr    string   `validate:"omitempty,address"`
	StoreAddr      string   `validate:"address"`
	AdviceAddr     string   `validate:"omitempty,address"`
	MachinesAddr   string   `validate:"omitempty,address"`
	StoreWrites    *float64 `validate:"omitempty,number=1:1000000"`
	MemoryMB       int      `validate:"number=32:1048576"`
	MaxFiles       *int     `validate:"omitempty,number=256:1048576"`
	ProcessorShare *float64 `validate:"omitempty,number=0.001:1024"`
	LinkMbps       *float64 `validate:"omitempty,number=0.001:1000000"`
	Fenced         bool
	Bounds         wireHostBounds
	LogLevel       string `validate:"omitempty,oneof=debug info warn error"`
	Interference   string `validate:"omitempty,oneof=Off Observe Avoid"`
}

type wireHostBounds struct {
	MaxLease  *string `validate:"required,duration=500ms:10m"`
	StopGrace *string `validate:"required,duration=100ms:10m"`
	KeepEnded *string `validate:"required,duration=0s:24h"`
	// Deployments without accounts have neither of these.
	StrictRevocation bool
	RevokeWithin     *string `validate:"omitempty,duration=0s:24h"`
}

// defaultStoreWrites applies if the settings do not tell how many writes a second the store
// takes.
const defaultStoreWrites = 200

// LoadHost reads and validates the settings file of a host at a path.
func LoadHost(path string) (Host, error) {
	file, err := os.Open(path)
	if err != nil {
		return Host{}, fault.New("load", KindUnreadable, "%w", err)
	}
	defer func() { _ = file.Close() }()
	return ReadHost(file)
}

// ReadHost decodes and validates the settings of a host in JSON. An error of
// KindInvalid wraps document.Faults with every fault found.
func ReadHost(r io.Reader) (Host, error) {
	var w wireHost
	faults, err := document.Decode(r, maxFileBytes, &w)
	if err != nil {
		return Host{}, fault.New("read", KindUnreadable, "%w", err)
	}
	s := w.host()
	if !faults.Has("PeerAddr") && s.PeerAddr == s.ClientAddr {
		faults.Add("ClientAddr", s.ClientAddr, fmt.Sprintf("an address other than PeerAddr (%v)", s.PeerAddr))
	}
	if s.Bounds.StrictRevocation && s.Bounds.RevokeWithin <= 0 && !faults.Has("Bounds.RevokeWithin") {
		faults.Add("Bounds.RevokeWithin", s.Bounds.RevokeWithin, "more than 0s, since StrictRevocation is set")
	}
	if len(faults) > 0 {
		return Host{}, fault.New("read", KindInvalid, "%w", faults)
	}
	return s, nil
}

func (w *wireHost) host() Host {
	h := Host{
		Name: w.Name, Region: w.Region, DataCentre: w.DataCentre,
		PeerAddr: parseAddress(w.PeerAddr), ClientAddr: parseAddress(w.ClientAddr), HealthAddr: parseAddress(w.HealthAddr),
		MetricsAddr: parseAddress(w.MetricsAddr), StoreAddr: parseAddress(w.StoreAddr), AdviceAddr: parseAddress(w.AdviceAddr),
		MachinesAddr: parseAddress(w.MachinesAddr), StoreWrites: numberOr(w.StoreWrites, defaultStoreWrites), MemoryMB: w.MemoryMB, Fenced: w.Fenced, LogLevel: parseLogLevel(w.LogLevel),
		Cores: numberOr(w.ProcessorShare, 0), LinkMbps: numberOr(w.LinkMbps, 0),
		Bounds: HostBounds{
			MaxLease: durationOr(w.Bounds.MaxLease, 0), StopGrace: durationOr(w.Bounds.StopGrace, 0), KeepEnded: durationOr(w.Bounds.KeepEnded, 0),
			StrictRevocation: w.Bounds.StrictRevocation, RevokeWithin: durationOr(w.Bounds.RevokeWithin, 0),
		},
	}
	if w.Interference != "Off" {
		h.Interference = interference.Mode(w.Interference)
	}
	if w.MaxFiles != nil {
		h.MaxFiles = *w.MaxFiles
	}
	for _, seed := range w.Seeds {
		if seed != "" {
			h.Seeds = append(h.Seeds, parseAddress(seed))
		}
	}
	return h
}
