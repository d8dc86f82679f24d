// Package election decides which host owns the cell.
//
// The owner's row in the store names the owner and its epoch. A takeover writes
// the next epoch under the condition that the row has not changed since it was
// read, so each epoch has exactly one owner. The epoch is the owner's fencing
// token: once a worker has received a call of a new owner, it refuses the calls of
// earlier owners. A premature takeover therefore wastes work but is always safe.
package election

import (
	"net/netip"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

// Kind is the kind of an Error.
type Kind string

// KindMalformed means that the owner's row cannot be encoded or decoded.
const KindMalformed Kind = "malformed row"

// Error is returned for an owner's row that cannot be encoded or decoded.
type Error = fault.Error[Kind]

// State is the owner's row as it was read from the store, with its version and the
// store's clock. The "owner of s" is the owner that the row names.
type State struct {
	Owner ledger.Owner
	// Version is the version of the row, which each commit of the owner changes.
	// 0 means that the cell has never had an owner.
	Version uint64
	// Clock is the store's monotonic clock when the row was read; 0 means unknown.
	Clock time.Duration
	// Hosts has the other hosts that the owner last listed, its preferred successor
	// first.
	Hosts []netip.AddrPort
}

// DecodeState finds and decodes the rows of the owner and of the hosts among the rows of
// their partition. Without an owner's row it returns the zero State. A row of the hosts
// that cannot be decoded counts as missing, since it only saves time.
func DecodeState(rows []rowstore.Row) (State, error) {
	var s State
	var hosts []netip.AddrPort
	for _, row := range rows {
		switch row.Key {
		case ledger.OwnerKey():
			o, err := ledger.DecodeOwner(row.Value)
			if err != nil {
				return State{}, fault.New("read state", KindMalformed, "row %s: %w", row.Name, err)
			}
			s.Owner, s.Version = o, row.Version
		case ledger.HostsKey():
			hosts, _ = ledger.DecodeHosts(row.Value)
		}
	}
	if s.Version != 0 {
		s.Hosts = hosts
	}
	return s, nil
}

// Takeover returns the transaction by which a host succeeds the owner of s, and
// the owner's row that it writes. The epoch, EarlyStartWorkers, WrittenAfter and
// Admission of row are set here.
func (s State) Takeover(row ledger.Owner) (rowstore.Transaction, ledger.Owner, error) {
	row.Epoch = s.Owner.Epoch + 1
	row.EarlyStartWorkers = s.Owner.EarlyStartWorkers
	row.WrittenAfter = s.Clock
	row.Admission = s.Owner.Admission
	value, err := ledger.EncodeOwner(row)
	if err != nil {
		return rowstore.Transaction{}, ledger.Owner{}, fault.New("take over", KindMalformed, "%w", err)
	}
	return rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: ledger.OwnerKey(), Version: s.Version}},
		Writes:     []rowstore.Write{{Key: ledger.OwnerKey(), Value: value}},
	}, row, nil
}

// Rank returns the position of a host in the order in which the hosts succeed the owner
// of s, from 0, and false if the owner did not list it.
func (s State) Rank(addr netip.AddrPort) (int, bool) {
	rank := slices.Index(s.Hosts, addr)
	return rank, rank >= 0
}

// AllOwnersEnded reports whether neither the owner of s nor an earlier one can
// grant a lease any longer. exited is set when the process of the owner of s is
// known to have exited.
func (s State) AllOwnersEnded(exited bool) bool {
	return s.Version == 0 || s.Owner.PredecessorsEnded && (exited || s.Owner.Released)
}

// FailureDetector decides when a takeover is due: at once if the cell has no owner,
// the owner has released it or its process has exited, and otherwise when the row
// has not been renewed for the timeout. It knows nothing of the owner's answers to
// its peers: its user calls TakeoverDue only while the owner does not answer as a
// healthy owner, and Reset once it does.
type FailureDetector struct {
	timeout   time.Duration
	version   uint64
	changedAt time.Time
	// readAt is when this version of the row was first read, by this host's clock
	// and by the store's.
	readAt    time.Time
	readClock time.Duration
	// earlierClock is the store's clock when an earlier version was last read, and
	// lastClock that of the last read; 0 means unknown.
	earlierClock time.Duration
	lastClock    time.Duration
	known        bool
}

// NewFailureDetector returns a detector that suspects an owner whose row is
// unchanged for the timeout.
func NewFailureDetector(timeout time.Duration) *FailureDetector {
	return &FailureDetector{timeout: timeout}
}

// minTimeoutPerLatency is the lower limit of the timeout, as a multiple of how long a
// read of the store took, since a commit takes several times as long as a read.
const minTimeoutPerLatency = 8

// answeringFactor multiplies that limit while the owner answers. The age of its last
// renewal then reaches twice the time of a commit, and a successor would commit no faster.
const answeringFactor = 2

// maxPingExtension bounds by how much the answers of a slow owner extend the timeout.
// With it an owner that has failed is noticed after 1.2 s, which leaves its successor
// the time to take over before the leases of the workers expire.
const maxPingExtension = 600 * time.Millisecond

// Observation is what a host knows about the owner in addition to the State that
// it has read.
type Observation struct {
	// ReadLatency is how long the read took. A slow store extends the timeout.
	ReadLatency time.Duration
	// SinceRenewal is the time since the last renewal, as reported by an owner that
	// cannot renew its row; 0 if the owner in the row has reported none.
	SinceRenewal time.Duration
	// Answering is set if the owner in the row answers pings although it cannot renew
	// its row.
	Answering bool
	// PingTime is how long the owner has recently taken to answer pings. It extends the
	// timeout: an owner that answers late is busy, and renews its row late as well.
	PingTime time.Duration
	// LocalDelay is by how much the timers of this host have recently fired late. It
	// extends the timeout, since answers of the owner may wait here for as long.
	LocalDelay time.Duration
	// ProcessExited is set when the owner's process is known to have exited.
	ProcessExited bool
	// ShortTenures is the number of consecutive short tenures before this owner.
	ShortTenures int
}

// TakeoverDue records the state and reports whether a takeover is due.
func (d *FailureDetector) TakeoverDue(now time.Time, s State, seen Observation) bool {
	if s.Version == 0 || s.Owner.Released || seen.ProcessExited {
		return true
	}
	if !d.known {
		d.lastClock = 0
	}
	if !d.known || s.Version != d.version {
		d.earlierClock = d.lastClock
		d.known, d.version, d.changedAt, d.readAt, d.readClock = true, s.Version, now.Add(-seen.SinceRenewal), now, s.Clock
	}
	d.lastClock = s.Clock
	slowStore := minTimeoutPerLatency * seen.ReadLatency
	if seen.Answering {
		slowStore *= answeringFactor
	}
	timeout := max(extendedTimeout(d.timeout, seen.ShortTenures), slowStore)
	timeout += min(seen.PingTime, maxPingExtension) + seen.LocalDelay
	return d.unchanged(now, s) >= timeout || d.staleFor(timeout, s)
}

// unchanged returns for how long the row has had its version, as far as this host has
// seen it. Reads that this host made or handled late do not count for longer than
// the time between them by the store's clock.
func (d *FailureDetector) unchanged(now time.Time, s State) time.Duration {
	seen := now.Sub(d.readAt)
	if between := s.Clock - d.readClock; d.readClock > 0 && between >= 0 {
		seen = min(seen, between)
	}
	return seen + d.readAt.Sub(d.changedAt)
}

const (
	// maxCommitTime is the longest time from when a healthy owner computes
	// WrittenAfter until the row is written, while the store is fast.
	maxCommitTime = 100 * time.Millisecond
	// maxSinceWrite is the limit at which a computed time since the last write is
	// ignored, since the store's clock may have restarted.
	maxSinceWrite = 1 * time.Hour
)

// staleFor reports whether the row has been unchanged for the timeout, including the
// time before this host first read it. WrittenAfter precedes the write by up to
// maxCommitTime, which is added to the timeout. If commits take longer, the row still
// was written after this host last read another version.
func (d *FailureDetector) staleFor(timeout time.Duration, s State) bool {
	sinceWrite := s.SinceWrittenAfter()
	if d.earlierClock > 0 {
		sinceWrite = min(sinceWrite, s.Clock-d.earlierClock)
	}
	return sinceWrite >= timeout+maxCommitTime && sinceWrite < maxSinceWrite
}

// SinceWrittenAfter returns how long ago the row was written at most, by the store's
// clock; 0 if that is unknown.
func (s State) SinceWrittenAfter() time.Duration {
	if s.Owner.WrittenAfter == 0 || s.Clock == 0 {
		return 0
	}
	return s.Clock - s.Owner.WrittenAfter
}

// UnchangedFor returns for how long the row is known to have had a version: since
// this host first read that version.
func (d *FailureDetector) UnchangedFor(now time.Time, version uint64) time.Duration {
	if !d.known || d.version != version {
		return 0
	}
	return now.Sub(d.readAt)
}

// Reset discards the recorded state, after the owner has answered again.
func (d *FailureDetector) Reset() { d.known = false }
