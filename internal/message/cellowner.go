package message

import (
	"net/netip"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/peer"
)

// HostPing tells the owner of the cell that a host is there, and the hosts who
// the new owner is.
type HostPing struct {
	// Addr is where the host takes calls of its peers.
	Addr netip.AddrPort
	// OwnEpoch is the epoch that the host owns, and Incarnation its process; 0
	// when it is not the owner.
	OwnEpoch    uint64
	Incarnation string
	// KnownEpoch is the latest that the host knows of, whoever owns it. An owner
	// of an earlier one learns from it that it was replaced.
	KnownEpoch uint64
	// Manifest is the version that the host has in force.
	Manifest uint64
}

// OwnerPong answers HostPing.
type OwnerPong struct {
	// Owning is set while the answering host is the owner.
	Owning bool
	// OwnerAddr, OwnerIncarnation and Epoch are those of the owner as the
	// answering host knows it.
	OwnerAddr        netip.AddrPort
	OwnerIncarnation string
	Epoch            uint64
	// Hosts are those that the answering host has heard of lately.
	Hosts []netip.AddrPort
	// SinceRenewal is how long ago the owner last renewed its row in the store.
	SinceRenewal time.Duration
	// Manifest is the version that the answering host has in force.
	Manifest uint64
	// NewerManifest holds the manifest as the operator wrote it, if it is
	// newer than the asking host's.
	NewerManifest []byte
}

type hostPingWire struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Addr        string
	OwnEpoch    uint64
	Incarnation string
	Manifest    uint64
	KnownEpoch  uint64
}

var hostPingCodec = codec[HostPing, hostPingWire]{
	kind: KindHostPing,
	toWire: func(m HostPing) hostPingWire {
		return hostPingWire{Addr: m.Addr.String(), OwnEpoch: m.OwnEpoch, Incarnation: m.Incarnation, Manifest: m.Manifest, KnownEpoch: m.KnownEpoch}
	},
	fromWire: func(w hostPingWire) HostPing {
		return HostPing{Addr: parseAddr(w.Addr), OwnEpoch: w.OwnEpoch, Incarnation: w.Incarnation, Manifest: w.Manifest, KnownEpoch: w.KnownEpoch}
	},
}

// EncodeHostPing returns the message as it is sent.
func EncodeHostPing(m HostPing) peer.Message { return hostPingCodec.encode(m) }

// DecodeHostPing reads the message, or says why it cannot.
func DecodeHostPing(p peer.Message) (HostPing, error) { return hostPingCodec.decode(p) }

// parseAddr reads an address. A malformed one gives the zero value, which no
// host calls.
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

// EncodeOwnerPong returns the message as it is sent.
func EncodeOwnerPong(m OwnerPong) peer.Message { return ownerPongCodec.encode(m) }

// DecodeOwnerPong reads the message, or says why it cannot.
func DecodeOwnerPong(p peer.Message) (OwnerPong, error) { return ownerPongCodec.decode(p) }
