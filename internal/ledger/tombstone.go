package ledger

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/wire"
)

// Tombstone takes the place of the row of a job that was cancelled while there was none. A
// submission that is still in flight requires that its job has no row, so that it cannot
// take effect any more.
type Tombstone struct {
	// Scopes has the scopes of the cancels. Jobs out of these scopes may replace the
	// tombstone.
	Scopes []manifest.JobScope
}

const (
	// MaxTombstoneScopes is the largest number of scopes of a tombstone.
	MaxTombstoneScopes = 16
	// tombstoneMark begins a tombstone. No msgpack value begins with this byte, so that
	// earlier releases take the row for a malformed one and not for a job.
	tombstoneMark = 0xc1
)

// Has reports whether the job was cancelled in a scope.
func (t Tombstone) Has(scope manifest.JobScope) bool { return slices.Contains(t.Scopes, scope) }

// With returns the tombstone with one more scope.
func (t Tombstone) With(scope manifest.JobScope) Tombstone {
	return Tombstone{Scopes: append(slices.Clone(t.Scopes), scope)}
}

// Covers reports whether a job of a queue and an account is in one of the scopes. The
// account is empty for a job without one.
func (t Tombstone) Covers(queue, account string) bool {
	return slices.ContainsFunc(t.Scopes, func(s manifest.JobScope) bool { return s.Contains(queue, account) })
}

type tombstoneWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Scopes   []scopeWire
}

type scopeWire struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Queue       string
	Account     string
	HasAccounts bool
}

// EncodeTombstone encodes the row of a tombstone.
func EncodeTombstone(t Tombstone) ([]byte, error) {
	w := tombstoneWire{Scopes: make([]scopeWire, len(t.Scopes))}
	for i, s := range t.Scopes {
		w.Scopes[i] = scopeWire{Queue: s.Queue, Account: s.Account, HasAccounts: s.HasAccounts}
	}
	value, err := msgpack.Marshal(&w)
	return append([]byte{tombstoneMark}, value...), err
}

// IsTombstone reports whether the row of a job is a tombstone.
func IsTombstone(value []byte) bool { return len(value) > 0 && value[0] == tombstoneMark }

// tombstoneLimits bounds the row of a tombstone.
var tombstoneLimits = wire.Limits{Bytes: 64 << 10, Values: 2 + 4*MaxTombstoneScopes}

// DecodeTombstone decodes the row of a tombstone. Its error is of KindMalformed.
func DecodeTombstone(value []byte) (Tombstone, error) {
	if !IsTombstone(value) {
		return Tombstone{}, fault.New("decode tombstone", KindMalformed, "the row is no tombstone")
	}
	var w tombstoneWire
	if err := wire.UnmarshalWithin(tombstoneLimits, value[1:], &w); err != nil {
		return Tombstone{}, fault.New("decode tombstone", KindMalformed, "%w", err)
	}
	t := Tombstone{Scopes: make([]manifest.JobScope, len(w.Scopes))}
	for i, s := range w.Scopes {
		t.Scopes[i] = manifest.JobScope{Queue: s.Queue, Account: s.Account, HasAccounts: s.HasAccounts}
	}
	return t, nil
}
