package lease

import (
	"net/netip"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// Action is something that the Keeper wants done.
type Action interface{ action() }

// Commit asks for a commit in the table service; its outcome goes to
// Keeper.Committed.
type Commit struct{ Commit platform.Commit }

// List asks for the lease rows written after a version; they go to
// Keeper.Listed.
type List struct {
	Prefix string
	After  uint64
}

// Read asks for one row whose last write has an unknown outcome; it goes to
// Keeper.Read.
type Read struct{ Key string }

// RequestPromise asks a peer for a promise; the reply goes to Keeper.Promised.
type RequestPromise struct {
	To Peer
	// Unjournaled tells the peer that the owner may start work that no journal
	// names until it is told otherwise.
	Unjournaled bool
}

// RequestFenceConsent asks a heir for its word that it promises a lapsed owner nothing; the
// reply goes to Keeper.WordGiven.
type RequestFenceConsent struct {
	To          Peer
	Incarnation Incarnation
	Version     uint64
}

// Probe asks whoever answers at the address of a lapsed host for its
// incarnation; the reply goes to Keeper.Probed.
type Probe struct{ Host Peer }

// Gained says that the host now owns a unit.
type Gained struct {
	Unit  Unit
	Epoch uint64
	// Version is that of the UnitRow; a journal checks it in every commit.
	Version uint64
	// First is set when the unit never had an owner before.
	First bool
	// Clean is set when the previous owner released the unit.
	Clean bool
	// Unjournaled is set when the previous owner may have started work that
	// no journal names.
	Unjournaled bool
}

// Lost says that the host no longer owns a unit.
type Lost struct {
	Unit  Unit
	Epoch uint64
}

// Release asks the owner of a unit to stop acting on it and then to call
// Keeper.Stopped.
type Release struct {
	Unit  Unit
	Epoch uint64
}

// Peer names an entry host and where it is reached.
type Peer struct {
	Incarnation Incarnation
	Name        string
	Addr        netip.AddrPort
}

func (Commit) action()              {}
func (List) action()                {}
func (Read) action()                {}
func (RequestPromise) action()      {}
func (RequestFenceConsent) action() {}
func (Probe) action()               {}
func (Gained) action()              {}
func (Lost) action()                {}
func (Release) action()             {}

// Outcome is the outcome of a commit.
type Outcome int

const (
	// OutcomeDone means that the commit took effect.
	OutcomeDone Outcome = iota + 1
	// OutcomeConflict means that a check failed and nothing was written.
	OutcomeConflict
	// OutcomeNotRun means that the commit surely took no effect.
	OutcomeNotRun
	// OutcomeUnknown means that the commit may take effect, now or later.
	OutcomeUnknown
)
