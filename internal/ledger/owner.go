package ledger

import (
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Owner is what the owner's row says.
type Owner struct {
	// Host and Incarnation name the process that owns the cell.
	Host        string
	Incarnation string
	// Addr is where its peers reach it.
	Addr netip.AddrPort
	// Epoch is the owner's fencing token.
	Epoch uint64
	// Released is set when the owner has given the cell up.
	Released bool
	// WrittenAfter is the store's steady clock at some time before the row was
	// written: when the owner's last transaction was carried out. 0 is unknown.
	WrittenAfter time.Duration
	// Attempt counts the transactions of this owner; the row names the one that
	// wrote it. 0 is the takeover.
	Attempt uint64
	// EarlyStartWorkers holds the workers at which runs may have been started that no
	// record names yet.
	EarlyStartWorkers []string
	// PredecessorsEnded is set when no owner before this one can grant a lease any
	// more.
	PredecessorsEnded bool
}

type ownerWire struct {
	_msgpack     struct{} `msgpack:",as_array"`
	Host         string
	Incarnation  string
	Addr         string
	Epoch        uint64
	Released     bool
	Ahead        []string
	Before       time.Duration
	Attempt      uint64
	EarlierEnded bool
}

// DecodeMsgpack reads also rows that older releases wrote, without the last
// fields.
func (w *ownerWire) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	fields := []any{&w.Host, &w.Incarnation, &w.Addr, &w.Epoch, &w.Released, &w.Ahead, &w.Before, &w.Attempt, &w.EarlierEnded}
	if n < minOwnerFields || n > len(fields) {
		return fault.New("decode owner", KindMalformed, "%d fields", n)
	}
	return d.DecodeMulti(fields[:n]...)
}

// minOwnerFields is the least number of fields in a row.
const minOwnerFields = 8

// EncodeOwner returns the value of the owner's row.
func EncodeOwner(o Owner) ([]byte, error) {
	return msgpack.Marshal(&ownerWire{
		Host: o.Host, Incarnation: o.Incarnation, Addr: o.Addr.String(), Epoch: o.Epoch, Released: o.Released,
		Ahead: o.EarlyStartWorkers, Before: o.WrittenAfter, Attempt: o.Attempt, EarlierEnded: o.PredecessorsEnded,
	})
}

// DecodeOwner reads the value of the owner's row.
func DecodeOwner(value []byte) (Owner, error) {
	var w ownerWire
	if err := msgpack.Unmarshal(value, &w); err != nil {
		return Owner{}, fault.New("decode owner", KindMalformed, "%w", err)
	}
	addr, err := netip.ParseAddrPort(w.Addr)
	if err != nil {
		return Owner{}, fault.New("decode owner", KindMalformed, "%w", err)
	}
	return Owner{
		Host: w.Host, Incarnation: w.Incarnation, Addr: addr, Epoch: w.Epoch, Released: w.Released, EarlyStartWorkers: w.Ahead, WrittenAfter: w.Before, Attempt: w.Attempt,
		PredecessorsEnded: w.EarlierEnded,
	}, nil
}
