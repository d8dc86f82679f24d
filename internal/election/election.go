// Package election decides which host owns the cell.
//
// The owner's row in the store names the owner and its epoch. A takeover writes
// the next epoch under the condition that the row is as it was read, so there
// is one owner for each epoch, and the epoch is its fencing token: the
// first call of a new owner at a worker shuts the earlier ones out there. A
// takeover that comes too early therefore costs work and never safety.
package election

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

// Kind tells why a state could not be read.
type Kind string

// KindMalformed means that a row of the election cannot be decoded.
const KindMalformed Kind = "malformed row"

// Error is the error of this package.
type Error = fault.Error[Kind]

// State is what the store says of the owner.
type State struct {
	Owner ledger.Owner
	// Version changes whenever the owner commits; 0 means that there has
	// never been an owner.
	Version uint64
	// Clock is the store's steady clock when the row was read; 0 is unknown.
	Clock time.Duration
}

// DecodeState finds the state in the rows of the owner's part.
func DecodeState(rows []rowstore.Row) (State, error) {
	for _, row := range rows {
		if row.Key != ledger.OwnerKey() {
			continue
		}
		o, err := ledger.DecodeOwner(row.Value)
		if err != nil {
			return State{}, fault.New("read state", KindMalformed, "row %s: %w", row.Name, err)
		}
		return State{Owner: o, Version: row.Version}, nil
	}
	return State{}, nil
}

// Takeover returns the transaction by which a host becomes the owner after the
// state that it has seen, and the row that it would have. The epoch of me is
// set here.
func (s State) Takeover(row ledger.Owner) (rowstore.Transaction, ledger.Owner, error) {
	row.Epoch = s.Owner.Epoch + 1
	row.EarlyStartWorkers = s.Owner.EarlyStartWorkers
	row.WrittenAfter = s.Clock
	value, err := ledger.EncodeOwner(row)
	if err != nil {
		return rowstore.Transaction{}, ledger.Owner{}, fault.New("take over", KindMalformed, "%w", err)
	}
	return rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: ledger.OwnerKey(), Version: s.Version}},
		Writes:     []rowstore.Write{{Key: ledger.OwnerKey(), Value: value}},
	}, row, nil
}

// PredecessorsEnded reports whether no owner up to the one of this state can grant a
// lease any more; gone is set when its own process has surely ended.
func (s State) PredecessorsEnded(exited bool) bool {
	return s.Version == 0 || s.Owner.PredecessorsEnded && (exited || s.Owner.Released)
}

// FailureDetector decides when the owner has to be replaced. It needs two signs: the
// owner does not answer its peers as the owner, and it does not renew its row.
type FailureDetector struct {
	timeout   time.Duration
	version   uint64
	changedAt time.Time
	known     bool
}

// NewFailureDetector returns a watch that lets an owner's row stand unchanged for the
// given time.
func NewFailureDetector(timeout time.Duration) *FailureDetector {
	return &FailureDetector{timeout: timeout}
}

// latencyFactor times the store's latency is the least patience: a commit
// takes several times as long as a read.
const latencyFactor = 8

// Observation is what a host knows beside the state when it looks at the store.
type Observation struct {
	// ReadLatency is how long the read took; a slow store makes the watch patient.
	ReadLatency time.Duration
	// SinceRenewal is for how long the owner itself says that it could not renew
	// its row; 0 when it does not answer.
	SinceRenewal time.Duration
	// ProcessExited is set when the owner's process has surely ended.
	ProcessExited bool
	// ShortTenures is how many owners before this one lasted for a short time, one
	// after the other.
	ShortTenures int
}

// TakeoverDue takes in the state at a time, and reports whether a takeover is due.
func (d *FailureDetector) TakeoverDue(now time.Time, s State, seen Observation) bool {
	if s.Version == 0 || s.Owner.Released || seen.ProcessExited {
		return true
	}
	if !d.known || s.Version != d.version {
		d.known, d.version, d.changedAt = true, s.Version, now.Add(-seen.SinceRenewal)
	}
	timeout := max(extendedTimeout(d.timeout, seen.ShortTenures), latencyFactor*seen.ReadLatency)
	return now.Sub(d.changedAt) >= timeout || s.unchangedFor(timeout)
}

const (
	// maxRenewalGap is the longest time between two transactions of a healthy
	// owner on a quick store.
	maxRenewalGap = 500 * time.Millisecond
	// maxSilence is an age that the store's clock is not trusted for: it may
	// have begun anew.
	maxSilence = 1 * time.Hour
)

// unchangedFor reports whether the row has stood unchanged for a time, also before it
// was first read. The row names a time before it was written, at which the
// owner's last transaction was carried out.
func (s State) unchangedFor(timeout time.Duration) bool {
	if s.Owner.WrittenAfter == 0 || s.Clock == 0 {
		return false
	}
	silence := s.Clock - s.Owner.WrittenAfter
	return silence >= timeout+maxRenewalGap && silence < maxSilence
}

// Reset forgets what was seen, after the owner has answered again.
func (d *FailureDetector) Reset() { d.known = false }
