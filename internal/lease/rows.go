package lease

import (
	"encoding/json"
	"net/netip"
	"strings"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Incarnation identifies one run of an entry host's process.
type Incarnation string

// HostState is the state of a HostRow.
type HostState string

const (
	// HostLive means that the host renews its row.
	HostLive HostState = "Live"
	// HostFenced means that a peer has ended the lease after it had lapsed. The
	// incarnation can never renew it again.
	HostFenced HostState = "Fenced"
	// HostLeft means that the host has released all its units and stops.
	HostLeft HostState = "Left"
)

// HostRow is the lease of one incarnation of an entry host.
type HostRow struct {
	Incarnation Incarnation
	Name        string
	// Addr is the address at which peers reach the host.
	Addr  netip.AddrPort
	State HostState
	// Leaving is set when the host releases its units and takes over no more.
	Leaving bool
	// Grantors are the incarnations whose promises extend the lease.
	Grantors []Incarnation
	// Unjournaled is set when the host may have started unjournaled work, that is,
	// work whose records are in no journal. It is set by the host itself with a
	// renewal, or by the peer that fences it.
	Unjournaled bool
}

// Unit names something that has one owner at a time.
type Unit string

// UnitRow names the owner of a unit.
type UnitRow struct {
	Unit  Unit
	Owner Incarnation
	// Epoch grows by one with every change of owner.
	Epoch uint64
	// Released is set when the owner has stopped acting on the unit and released
	// it.
	Released bool
	// Predecessor is the previous owner, empty for the first one.
	Predecessor Incarnation
	// Clean is set when the predecessor released the unit.
	Clean bool
	// Unjournaled is set when an owner since the last release may have started
	// unjournaled work.
	Unjournaled bool
}

const (
	hostSegment = "/host/"
	unitSegment = "/unit/"
)

// Prefix returns the prefix of all lease rows of a data centre.
func Prefix(dataCentre string) string { return "lease/" + dataCentre + "/" }

// HostKey returns the key of a HostRow.
func HostKey(dataCentre string, i Incarnation) string {
	return "lease/" + dataCentre + hostSegment + string(i)
}

// UnitKey returns the key of a UnitRow.
func UnitKey(dataCentre string, u Unit) string {
	return "lease/" + dataCentre + unitSegment + string(u)
}

func isHostKey(key string) bool { return strings.Contains(key, hostSegment) }

func isUnitKey(key string) bool { return strings.Contains(key, unitSegment) }

type hostWire struct {
	Incarnation string
	Name        string
	Addr        string
	State       string
	Leaving     bool
	Heirs       []string
	Unjournaled bool
}

type unitWire struct {
	Unit        string
	Owner       string
	Epoch       uint64
	Released    bool
	Previous    string
	Clean       bool
	Unjournaled bool
}

// EncodeHost encodes a HostRow as JSON.
func EncodeHost(r HostRow) []byte {
	w := hostWire{
		Incarnation: string(r.Incarnation), Name: r.Name, Addr: r.Addr.String(),
		State: string(r.State), Leaving: r.Leaving, Unjournaled: r.Unjournaled,
	}
	for _, g := range r.Grantors {
		w.Heirs = append(w.Heirs, string(g))
	}
	return encode(w)
}

// DecodeHost decodes the HostRow under a key. A malformed row is an error of
// KindMalformed that names the row and the field.
func DecodeHost(key string, value []byte) (HostRow, error) {
	var w hostWire
	if err := json.Unmarshal(value, &w); err != nil {
		return HostRow{}, fault.New("decode host row", KindMalformed, "row %s: %w", key, err)
	}
	addr, err := netip.ParseAddrPort(w.Addr)
	if err != nil {
		return HostRow{}, fault.New("decode host row", KindMalformed, "row %s: Addr: %w", key, err)
	}
	r := HostRow{
		Incarnation: Incarnation(w.Incarnation), Name: w.Name, Addr: addr,
		State: HostState(w.State), Leaving: w.Leaving, Unjournaled: w.Unjournaled,
	}
	switch r.State {
	case HostLive, HostFenced, HostLeft:
	default:
		return HostRow{}, fault.New("decode host row", KindMalformed, "row %s: State %q", key, w.State)
	}
	if r.Incarnation == "" || !strings.HasSuffix(key, hostSegment+w.Incarnation) {
		return HostRow{}, fault.New("decode host row", KindMalformed, "row %s: Incarnation %q", key, w.Incarnation)
	}
	for _, h := range w.Heirs {
		r.Grantors = append(r.Grantors, Incarnation(h))
	}
	return r, nil
}

// EncodeUnit encodes a UnitRow as JSON.
func EncodeUnit(r UnitRow) []byte {
	return encode(unitWire{
		Unit: string(r.Unit), Owner: string(r.Owner), Epoch: r.Epoch, Released: r.Released,
		Previous: string(r.Predecessor), Clean: r.Clean, Unjournaled: r.Unjournaled,
	})
}

// DecodeUnit decodes the UnitRow under a key. A malformed row is an error of
// KindMalformed that names the row and the fields.
func DecodeUnit(key string, value []byte) (UnitRow, error) {
	var w unitWire
	if err := json.Unmarshal(value, &w); err != nil {
		return UnitRow{}, fault.New("decode unit row", KindMalformed, "row %s: %w", key, err)
	}
	if w.Epoch == 0 || !strings.HasSuffix(key, unitSegment+w.Unit) {
		return UnitRow{}, fault.New("decode unit row", KindMalformed, "row %s: Unit %q, Epoch %d", key, w.Unit, w.Epoch)
	}
	return UnitRow{
		Unit: Unit(w.Unit), Owner: Incarnation(w.Owner), Epoch: w.Epoch, Released: w.Released,
		Predecessor: Incarnation(w.Previous), Clean: w.Clean, Unjournaled: w.Unjournaled,
	}, nil
}

// encode panics when a value cannot be encoded. That cannot happen: the wire types
// hold only strings, numbers, booleans and slices of strings.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
