package message

import (
	"net/netip"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/admission"
	"cicadabarrow.example/cicadabarrow/internal/admission/admissionwire"
	"cicadabarrow.example/cicadabarrow/internal/peer"
)

// HostPing tells the receiver that the sender is alive. All hosts send it to the
// owner of the cell, and a new owner sends it to all hosts to announce itself.
type HostPing struct {
	// Addr is the address at which the sender accepts calls of its peers.
	Addr netip.AddrPort
	// OwnEpoch is the epoch in which the sender owns the cell, or 0 when it is
	// not the owner. Incarnation identifies the sender's process.
	OwnEpoch    uint64
	Incarnation string
	// KnownEpoch is the latest epoch that the sender knows of, whichever host
	// owns the cell in it. From KnownEpoch, the owner of an earlier epoch learns
	// that it was replaced.
	KnownEpoch uint64
	// Manifest is the version of the manifest that the sender has in force.
	Manifest uint64
	// Relays is set if the sender makes calls to workers for the owner. Hosts of
	// earlier releases leave it and the following fields out.
	Relays bool
	// DataCentre is where the sender is, and Cores its share of the processor; 0 is
	// unknown.
	DataCentre string
	Cores      float64
	// HostsSum is a hash of the list of hosts that the sender has received last; 0 is
	// no list.
	HostsSum uint64
	// Refused counts the jobs that the sender has refused for the limits of their
	// account.
	Refused []AccountRefusals
	// FetchesManifest is set if the sender asks for newer manifests, so that pongs need
	// not bring them.
	FetchesManifest bool
}

// AccountRefusals counts the jobs of an account that a host has refused.
type AccountRefusals struct {
	Account string
	Jobs    uint64
}

// OwnerPong answers HostPing, whether or not the answering host is the owner.
type OwnerPong struct {
	// Owning is set while the answering host owns the cell.
	Owning bool
	// OwnerAddr, OwnerIncarnation and Epoch describe the owner as the answering
	// host knows it.
	OwnerAddr        netip.AddrPort
	OwnerIncarnation string
	Epoch            uint64
	// Hosts are the hosts that the answering host counts as alive.
	Hosts []netip.AddrPort
	// SameHosts is set if Hosts is left out, since the pinging host has the list.
	SameHosts bool
	// SinceRenewal is how long ago the answering owner last renewed its row in
	// the store.
	SinceRenewal time.Duration
	// RowVersion is the version of the row as of that renewal; 0 means unknown.
	RowVersion uint64
	// Manifest is the version of the manifest that the answering host has in
	// force.
	Manifest uint64
	// NewerManifest is the manifest as the operator wrote it. It is set only if
	// it is newer than that of the pinging host, and that host does not ask for it.
	NewerManifest []byte
	// ManifestAge is for how long changes of the store may be missing in Manifest: it
	// includes all that the store had so long ago. 0 means unknown, as from hosts of
	// earlier releases.
	ManifestAge time.Duration
	// Admission tells which new jobs the answering owner refuses. Hosts of earlier
	// releases leave it out.
	Admission admission.Decision
	// RelayEpoch and RelayFor permit the pinging host to make calls to workers for
	// the owner of that epoch. The time counts from when the host sent its ping.
	// RelayEpoch is 0 without a permission.
	RelayEpoch uint64
	RelayFor   time.Duration
}

type hostPingWire struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Addr        string
	OwnEpoch    uint64
	Incarnation string
	Manifest    uint64
	KnownEpoch  uint64
}

// hostPingExtension follows hostPingWire as a second value, which hosts of earlier
// releases ignore. It is a map, so that further fields can be added.
type hostPingExtension struct {
	Relays     bool    `msgpack:"relays"`
	DataCentre string  `msgpack:"dc"`
	Cores      float64 `msgpack:"cores"`
	HostsSum   uint64  `msgpack:"hosts"`
	// Refused is left out by hosts that have refused none.
	Refused []accountRefusalsWire `msgpack:"refused,omitempty"`
	Fetches bool                  `msgpack:"fetches,omitempty"`
}

type accountRefusalsWire struct {
	Account string `msgpack:"account"`
	Jobs    uint64 `msgpack:"jobs"`
}

var hostPingCodec = codec[HostPing, hostPingWire]{
	kind: KindHostPing,
	toWire: func(m HostPing) hostPingWire {
		return hostPingWire{
			Addr: m.Addr.String(), OwnEpoch: m.OwnEpoch, Incarnation: m.Incarnation, Manifest: m.Manifest, KnownEpoch: m.KnownEpoch,
		}
	},
	fromWire: func(w hostPingWire) HostPing {
		return HostPing{
			Addr: parseAddr(w.Addr), OwnEpoch: w.OwnEpoch, Incarnation: w.Incarnation, Manifest: w.Manifest, KnownEpoch: w.KnownEpoch,
		}
	},
}

// EncodeHostPing returns the encoded message.
func EncodeHostPing(m HostPing) peer.Message {
	return appendExtension(hostPingCodec.encode(m), hostPingExtension{
		Relays: m.Relays, DataCentre: m.DataCentre, Cores: m.Cores, HostsSum: m.HostsSum,
		Refused: mapSlice(m.Refused, func(r AccountRefusals) accountRefusalsWire { return accountRefusalsWire(r) }),
		Fetches: m.FetchesManifest,
	})
}

// DecodeHostPing decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeHostPing(p peer.Message) (HostPing, error) {
	m, err := hostPingCodec.decode(p)
	if err != nil {
		return HostPing{}, err
	}
	var e hostPingExtension
	if err := decodeExtension(p, &e); err != nil {
		return HostPing{}, err
	}
	m.Relays, m.DataCentre, m.Cores, m.HostsSum, m.FetchesManifest = e.Relays, e.DataCentre, e.Cores, e.HostsSum, e.Fetches
	for _, r := range e.Refused {
		m.Refused = append(m.Refused, AccountRefusals(r))
	}
	return m, nil
}

// parseAddr parses an address. A malformed address gives the zero value, which
// no host calls.
func parseAddr(text string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return addr
}

type ownerPongWire struct {
	_msgpack         struct{} `msgpack:",as_array"`
	Owning           bool
	OwnerAddr        string
	OwnerIncarnation string
	Epoch            uint64
	Hosts            []string
	SinceRenewal     time.Duration
	Manifest         uint64
	NewerManifest    []byte
}

// ownerPongExtension follows ownerPongWire as a second value, which hosts of earlier
// releases ignore. It is a map, so that further fields can be added.
type ownerPongExtension struct {
	Refusals    []admissionwire.Refusal        `msgpack:"refusals,omitempty"`
	LongRunning time.Duration                  `msgpack:"lasting,omitempty"`
	Services    []admissionwire.ServiceRefusal `msgpack:"services,omitempty"`
	RelayEpoch  uint64                         `msgpack:"epoch,omitempty"`
	RelayFor    time.Duration                  `msgpack:"for,omitempty"`
	RowVersion  uint64                         `msgpack:"version,omitempty"`
	SameHosts   bool                           `msgpack:"same,omitempty"`
	ManifestAge time.Duration                  `msgpack:"age,omitempty"`
	Excess      *admissionwire.Excess          `msgpack:"excess,omitempty"`
}

var ownerPongCodec = codec[OwnerPong, ownerPongWire]{
	kind: KindOwnerPong,
	toWire: func(m OwnerPong) ownerPongWire {
		return ownerPongWire{
			Owning: m.Owning, OwnerAddr: m.OwnerAddr.String(), OwnerIncarnation: m.OwnerIncarnation, Epoch: m.Epoch,
			Hosts: mapSlice(m.Hosts, netip.AddrPort.String), SinceRenewal: m.SinceRenewal, Manifest: m.Manifest,
			NewerManifest: m.NewerManifest,
		}
	},
	fromWire: func(w ownerPongWire) OwnerPong {
		return OwnerPong{
			Owning: w.Owning, OwnerAddr: parseAddr(w.OwnerAddr), OwnerIncarnation: w.OwnerIncarnation, Epoch: w.Epoch,
			Hosts: mapSlice(w.Hosts, parseAddr), SinceRenewal: w.SinceRenewal, Manifest: w.Manifest, NewerManifest: w.NewerManifest,
		}
	},
}

// EncodeOwnerPong returns the encoded message.
func EncodeOwnerPong(m OwnerPong) peer.Message {
	p := ownerPongCodec.encode(m)
	if m.RelayEpoch == 0 && !m.SameHosts && m.RowVersion == 0 && m.ManifestAge == 0 && m.Admission.IsZero() {
		return p
	}
	return appendExtension(p, ownerPongExtension{
		Refusals: admissionwire.EncodePriorities(m.Admission), LongRunning: m.Admission.LongRunning,
		Services: admissionwire.EncodeServices(m.Admission), RelayEpoch: m.RelayEpoch, RelayFor: m.RelayFor, RowVersion: m.RowVersion, SameHosts: m.SameHosts,
		ManifestAge: m.ManifestAge,
		Excess:      admissionwire.EncodeExcess(m.Admission),
	})
}

// DecodeOwnerPong decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeOwnerPong(p peer.Message) (OwnerPong, error) {
	m, err := ownerPongCodec.decode(p)
	if err != nil {
		return OwnerPong{}, err
	}
	var e ownerPongExtension
	if err := decodeExtension(p, &e); err != nil {
		return OwnerPong{}, err
	}
	m.Admission = admissionwire.Decode(e.Refusals, e.LongRunning, e.Services)
	admissionwire.AddExcess(&m.Admission, e.Excess)
	m.RelayEpoch, m.RelayFor, m.RowVersion = e.RelayEpoch, e.RelayFor, e.RowVersion
	m.SameHosts, m.ManifestAge = e.SameHosts, max(e.ManifestAge, 0)
	return m, nil
}
