package settings

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/document"
	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// DefaultHostLag is the default of StandIn.HostLag.
const DefaultHostLag = 500 * time.Millisecond

// StandIn holds the settings of a stand-in platform.
type StandIn struct {
	// Addr is where the stand-in listens; it must be a loopback address.
	Addr netip.AddrPort
	// Deployment is the name of the deployment that the stand-in imitates:
	// tsukushi or tiras.
	Deployment string
	Seed       uint64
	// HostLag is the delay after which the host list shows a change.
	HostLag time.Duration
	// Workers and Upstreams are the numbers of hosts; 0 selects the present
	// size of the deployment.
	Workers   int
	Upstreams int
	// EntryHosts are the entry hosts in the host list.
	EntryHosts []EntryHost
}

// EntryHost is an entry of the host list for an entry host.
type EntryHost struct {
	Name       string
	DataCentre string
	PeerAddr   netip.AddrPort
}

type wireStandIn struct {
	Addr       string          `validate:"address"`
	Deployment string          `validate:"oneof=tsukushi tiras"`
	Seed       int64           `validate:"number=0:1000000000"`
	HostLag    *string         `validate:"omitnil,duration=0s:1m"`
	Workers    int             `validate:"number=0:5000"`
	Upstreams  int             `validate:"number=0:5000"`
	EntryHosts []wireEntryHost `validate:"required,dive"`
}

type wireEntryHost struct {
	Name       string `validate:"name"`
	DataCentre string `validate:"name"`
	PeerAddr   string `validate:"address"`
}

// LoadStandIn reads and validates the settings file of a stand-in at a path.
func LoadStandIn(path string) (StandIn, error) {
	file, err := os.Open(path)
	if err != nil {
		return StandIn{}, fault.New("load", KindUnreadable, "%w", err)
	}
	defer func() { _ = file.Close() }()
	return ReadStandIn(file)
}

// ReadStandIn decodes and validates the settings of a stand-in in JSON. An error
// of KindInvalid wraps document.Faults with every fault found.
func ReadStandIn(r io.Reader) (StandIn, error) {
	var w wireStandIn
	faults, err := document.Decode(r, maxFileBytes, &w)
	if err != nil {
		return StandIn{}, fault.New("read", KindUnreadable, "%w", err)
	}
	s := w.settings()
	if s.Addr.IsValid() && !s.Addr.Addr().IsLoopback() {
		faults.Add("Addr", s.Addr, "a loopback address")
	}
	names := make(map[string]bool)
	for i, h := range s.EntryHosts {
		if names[h.Name] {
			faults.Add(fmt.Sprintf("EntryHosts[%d].Name", i), h.Name, "a name that no other entry host has")
		}
		names[h.Name] = true
	}
	if len(faults) > 0 {
		return StandIn{}, fault.New("read", KindInvalid, "%w", faults)
	}
	return s, nil
}

func (w *wireStandIn) settings() StandIn {
	s := StandIn{
		Addr: parseAddress(w.Addr), Deployment: w.Deployment, Seed: uint64(max(w.Seed, 0)),
		HostLag: durationOr(w.HostLag, DefaultHostLag), Workers: w.Workers, Upstreams: w.Upstreams,
	}
	for _, h := range w.EntryHosts {
		s.EntryHosts = append(s.EntryHosts, EntryHost{
			Name: h.Name, DataCentre: h.DataCentre, PeerAddr: parseAddress(h.PeerAddr),
		})
	}
	return s
}
