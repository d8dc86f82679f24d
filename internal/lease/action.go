package lease

import (
	"net/netip"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// Action is a request of the Keeper to its caller.
type Action interface{ action() }

// Commit asks for a commit in the table service; its outcome goes to
// Keeper.Committed.
type Commit struct{ Commit platform.Commit }

// List asks for the lease rows with versions above After; they go to
// Keeper.Listed.
type List struct {
	Prefix string
	After  uint64
}

// Read asks to read back one row whose last write has an unknown outcome; the row
// goes to Keeper.RowRead.
type Read struct{ Key string }

// RequestPromise asks to request a promise from a peer; the reply goes to
// Keeper.PromiseAnswered.
type RequestPromise struct {
	To Peer
	// Unjournaled tells the peer that this host may start unjournaled work until a
	// later request says otherwise.
	Unjournaled bool
}

// RequestFenceConsent asks to request a grantor's consent to the fencing of a
// lapsed host; the reply goes to Keeper.FenceConsentAnswered.
type RequestFenceConsent struct {
	To          Peer
	Incarnation Incarnation
	Version     uint64
}

// Probe asks for the incarnation of the process that listens at the address of a
// host whose row is stale; the reply goes to Keeper.Probed.
type Probe struct{ Host Peer }

// Gained tells that the host now owns a unit.
type Gained struct {
	Unit  Unit
	Epoch uint64
	// Version is the version of the UnitRow; a journal checks it in every commit.
	Version uint64
	// First is set when the unit had no owner before.
	First bool
	// Clean is set when the predecessor released the unit.
	Clean bool
	// Unjournaled is set when an earlier owner may have started unjournaled work.
	Unjournaled bool
}

// Lost tells that the host no longer owns a unit.
type Lost struct {
	Unit  Unit
	Epoch uint64
}

// Release asks this host to stop acting on a unit and then to call
// Keeper.UnitStopped. It is repeated until that call.
type Release struct {
	Unit  Unit
	Epoch uint64
}

// Peer identifies an incarnation of an entry host, with its name and address.
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
	// OutcomeNotRun means that the commit had no effect.
	OutcomeNotRun
	// OutcomeUnknown means that the commit may take effect, now or later.
	OutcomeUnknown
)
