package ledger

import (
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/admission"
	"cicadabarrow.example/cicadabarrow/internal/admission/admissionwire"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/wire"
)

// Owner is the content of the owner's row.
type Owner struct {
	// Host and Incarnation identify the process that owns the cell.
	Host        string
	Incarnation string
	// Addr is the owner's peer address.
	Addr netip.AddrPort
	// Epoch is the owner's fencing token.
	Epoch uint64
	// Released is set once the owner has released the cell.
	Released bool
	// WrittenAfter is a reading of the store's monotonic clock from before the row
	// was written: that of the owner's previous transaction, or of the read before
	// a takeover, plus the time that has passed since. 0 means unknown.
	WrittenAfter time.Duration
	// TransactionNumber is the number of the owner's transaction that wrote the row.
	// The takeover is 0.
	TransactionNumber uint64
	// EarlyStartWorkers holds the workers that may have started runs which no
	// durable record names yet.
	EarlyStartWorkers []string
	// PredecessorsEnded is set when no owner before this one can grant a lease any
	// longer.
	PredecessorsEnded bool
	// Admission tells which new jobs the owner refuses. Hosts that get no answer from a
	// busy owner learn it here.
	Admission admission.Decision
}

type ownerWire struct {
	_msgpack          struct{} `msgpack:",as_array"`
	Host              string
	Incarnation       string
	Addr              string
	Epoch             uint64
	Released          bool
	EarlyStartWorkers []string
	WrittenAfter      time.Duration
	TransactionNumber uint64
	PredecessorsEnded bool
}

// DecodeMsgpack also accepts rows that an older version of the software wrote,
// which lack the last fields.
func (w *ownerWire) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	fields := []any{&w.Host, &w.Incarnation, &w.Addr, &w.Epoch, &w.Released, &w.EarlyStartWorkers, &w.WrittenAfter, &w.TransactionNumber, &w.PredecessorsEnded}
	if n < minOwnerFields || n > len(fields) {
		return fault.New("decode owner", KindMalformed, "the row has %d fields", n)
	}
	return d.DecodeMulti(fields[:n]...)
}

// minOwnerFields is the smallest number of fields in an owner's row.
const minOwnerFields = 8

// admissionWire follows ownerWire as a second value if the owner refuses jobs. Earlier
// releases read it or the first value only. A third value, which they do not read, has
// the refusals by service, and a fourth one what concerns accounts in excess.
type admissionWire struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Priorities  []admissionwire.Refusal
	LongRunning time.Duration
}

// EncodeOwner encodes the owner's row.
func EncodeOwner(o Owner) ([]byte, error) {
	value, err := msgpack.Marshal(&ownerWire{
		Host: o.Host, Incarnation: o.Incarnation, Addr: o.Addr.String(), Epoch: o.Epoch, Released: o.Released,
		EarlyStartWorkers: o.EarlyStartWorkers, WrittenAfter: o.WrittenAfter, TransactionNumber: o.TransactionNumber, PredecessorsEnded: o.PredecessorsEnded,
	})
	if err != nil || o.Admission.IsZero() {
		return value, err
	}
	refused, err := encodeAdmission(o.Admission)
	return append(value, refused...), err
}

// encodeAdmission encodes the values after the first one.
func encodeAdmission(d admission.Decision) ([]byte, error) {
	value, err := msgpack.Marshal(&admissionWire{Priorities: admissionwire.EncodePriorities(d), LongRunning: d.LongRunning})
	if err != nil {
		return nil, err
	}
	services, err := msgpack.Marshal(admissionwire.EncodeServices(d))
	value = append(value, services...)
	excess := admissionwire.EncodeExcess(d)
	if err != nil || excess == nil {
		return value, err
	}
	accounts, err := msgpack.Marshal(excess)
	return append(value, accounts...), err
}

// decodeAdmission decodes the values after the first one, if there are any.
func decodeAdmission(value []byte) (admission.Decision, error) {
	var w admissionWire
	var services []admissionwire.ServiceRefusal
	for _, part := range []any{&w, &services} {
		rest, err := afterFirst(value)
		if err != nil {
			return admission.Decision{}, err
		}
		value = rest
		if len(value) == 0 {
			break
		}
		if err := wire.Unmarshal(value, part); err != nil {
			return admission.Decision{}, err
		}
	}
	out := admissionwire.Decode(w.Priorities, w.LongRunning, services)
	rest, err := afterFirst(value)
	if err != nil || len(rest) == 0 {
		return out, err
	}
	if _, err := wire.Measure(rest); err != nil {
		return admission.Decision{}, err
	}
	var excess admissionwire.Excess
	if wire.Unmarshal(rest, &excess) == nil { // a value of another form is that of a later release
		admissionwire.AddExcess(&out, &excess)
	}
	return out, nil
}

// afterFirst returns what follows the first value, if there is one.
func afterFirst(value []byte) ([]byte, error) {
	if len(value) == 0 {
		return nil, nil
	}
	size, err := wire.Measure(value)
	if err != nil {
		return nil, err
	}
	return value[size:], nil
}

// DecodeOwner decodes the owner's row.
func DecodeOwner(value []byte) (Owner, error) {
	var w ownerWire
	if err := wire.Unmarshal(value, &w); err != nil {
		return Owner{}, fault.New("decode owner", KindMalformed, "%w", err)
	}
	addr, err := netip.ParseAddrPort(w.Addr)
	if err != nil {
		return Owner{}, fault.New("decode owner", KindMalformed, "%w", err)
	}
	refused, err := decodeAdmission(value)
	if err != nil {
		return Owner{}, fault.New("decode owner", KindMalformed, "%w", err)
	}
	return Owner{
		Host: w.Host, Incarnation: w.Incarnation, Addr: addr, Epoch: w.Epoch, Released: w.Released, EarlyStartWorkers: w.EarlyStartWorkers, WrittenAfter: w.WrittenAfter, TransactionNumber: w.TransactionNumber,
		PredecessorsEnded: w.PredecessorsEnded, Admission: refused,
	}, nil
}
