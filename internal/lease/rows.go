package lease

import (
	"encoding/json"
	"net/netip"
	"strings"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Incarnation names one life of an entry host's process.
type Incarnation string

// HostState is the state of a HostRow.
type HostState string

const (
	// HostLive means that the host renews its row.
	HostLive HostState = "Live"
	// HostFenced means that a peer ended the lease after it had lapsed. The
	// incarnation can never renew it again.
	HostFenced HostState = "Fenced"
	// HostLeft means that the host gave up everything before it stopped.
	HostLeft HostState = "Left"
)

// HostRow is the lease of one incarnation of an entry host.
type HostRow struct {
	Incarnation Incarnation
	Name        string
	// Addr is where peers reach the host.
	Addr  netip.AddrPort
	State HostState
	// Leaving is set when the host gives its units up and takes no more.
	Leaving bool
	// Grantors are the incarnations whose promises extend the lease.
	Grantors []Incarnation
	// Unjournaled is set when the host may have started work that no journal
	// names: by the host itself with a renewal, or by the fencing peer.
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
	// Released is set when the owner gave the unit up after it had stopped
	// acting on it.
	Released bool
	// Predecessor is the owner before this one, empty for the first.
	Predecessor Incarnation
	// Clean is set when the previous owner released the unit.
	Clean bool
	// Unjournaled is set when an owner since the last release may have started
	// work that no journal names.
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

// EncodeHost returns a HostRow as JSON.
func EncodeHost(r HostRow) []byte {
	w := hostWire{
		Incarnation: string(r.Incarnation), Name: r.Name, Addr: r.Addr.String(),
		State: string(r.State), Leaving: r.Leaving, Unjournaled: r.Unjournaled,
	}
	for _, h := range r.Grantors {
		w.Heirs = append(w.Heirs, string(h))
	}
	return encode(w)
}

// DecodeHost reads a HostRow and names what is wrong with it.
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

// EncodeUnit returns a UnitRow as JSON.
func EncodeUnit(r UnitRow) []byte {
	return encode(unitWire{
		Unit: string(r.Unit), Owner: string(r.Owner), Epoch: r.Epoch, Released: r.Released,
		Previous: string(r.Predecessor), Clean: r.Clean, Unjournaled: r.Unjournaled,
	})
}

// DecodeUnit reads a UnitRow and names what is wrong with it.
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

// encode cannot fail: the wire types hold strings, numbers and flags only.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
