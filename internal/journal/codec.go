// Package journal keeps the records of a pool in rows of the table service.
//
// A row holds the records of one batch, with a version and a checksum. Its key
// carries the epoch of the owner and a sequence number, so that the rows of all
// owners together give the records in order.
//
// Writer appends batches, one commit at a time: whatever gathers while a commit
// is on its way goes into the next. Each commit checks the UnitRow of the
// owner, so that a deposed owner can append nothing.
package journal

import (
	"hash/crc32"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/job/jobwire"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/pool"
)

// formatVersion is the version of the rows' format.
const formatVersion = 1

// rowWire is a row, or a snapshot, as it is stored.
type rowWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Version  int
	Sum      uint32
	Body     []byte
}

type recordWire struct {
	_msgpack struct{} `msgpack:",as_array,omitempty"`
	Kind     string
	Spec     *jobwire.Spec
	Job      string
	Index    int
	Number   int
	Worker   string
	Size     jobwire.Size
	Until    int64
	Ending   string
	State    string
	Message  string
	Epoch    uint64
}

// Encode returns the records as the value of a row.
func Encode(records []pool.Record) []byte {
	wires := make([]recordWire, 0, len(records))
	for _, r := range records {
		wires = append(wires, toWire(r))
	}
	return seal(wires)
}

// Decode reads the value of a row and names what is wrong with it.
func Decode(key string, value []byte) ([]pool.Record, error) {
	var wires []recordWire
	if err := unseal("row "+key, value, &wires); err != nil {
		return nil, err
	}
	records := make([]pool.Record, 0, len(wires))
	for i, w := range wires {
		r, ok := fromWire(w)
		if !ok {
			return nil, fault.New("decode", KindTorn, "row %s: record %d has kind %q", key, i, w.Kind)
		}
		records = append(records, r)
	}
	return records, nil
}

// seal returns a body with its version and checksum.
func seal(body any) []byte {
	b := marshal(body)
	return marshal(rowWire{Version: formatVersion, Sum: crc32.ChecksumIEEE(b), Body: b})
}

// unseal reads a body and names what is wrong with it.
func unseal(what string, value []byte, body any) error {
	var row rowWire
	if err := msgpack.Unmarshal(value, &row); err != nil {
		return fault.New("decode", KindTorn, "%s: %w", what, err)
	}
	if row.Version != formatVersion {
		return fault.New("decode", KindTorn, "%s: version %d; %d is known", what, row.Version, formatVersion)
	}
	if sum := crc32.ChecksumIEEE(row.Body); sum != row.Sum {
		return fault.New("decode", KindTorn, "%s: checksum %08x; it says %08x", what, sum, row.Sum)
	}
	if err := msgpack.Unmarshal(row.Body, body); err != nil {
		return fault.New("decode", KindTorn, "%s: %w", what, err)
	}
	return nil
}

func toWire(r pool.Record) recordWire {
	w := recordWire{
		Kind: string(r.Kind), Job: r.Job, Index: r.Attempt.Task.Index, Number: r.Attempt.Number,
		Worker: r.Worker, Size: jobwire.EncodeSize(r.Size), Ending: string(r.Ending),
		State: string(r.State), Message: r.Message, Epoch: r.Epoch,
	}
	if r.Attempt.Task.Job != "" {
		w.Job = r.Attempt.Task.Job
	}
	if !r.Until.IsZero() {
		w.Until = r.Until.UnixNano()
	}
	if r.Kind == pool.RecordAccepted {
		s := jobwire.EncodeSpec(r.Spec)
		w.Spec = &s
	}
	return w
}

func fromWire(w recordWire) (pool.Record, bool) {
	r := pool.Record{
		Kind: pool.RecordKind(w.Kind), Worker: w.Worker, Size: jobwire.DecodeSize(w.Size),
		Ending: pool.Ending(w.Ending), State: job.State(w.State), Message: w.Message, Epoch: w.Epoch,
	}
	if w.Until != 0 {
		r.Until = time.Unix(0, w.Until)
	}
	switch r.Kind {
	case pool.RecordAccepted:
		if w.Spec == nil {
			return r, false
		}
		r.Spec = jobwire.DecodeSpec(*w.Spec)
	case pool.RecordIntent, pool.RecordEnded:
		r.Attempt = platform.Attempt{Task: job.TaskID{Job: w.Job, Index: w.Index}, Number: w.Number}
	case pool.RecordCancelled, pool.RecordJobEnded:
		r.Job = w.Job
	case pool.RecordRenewalsEnded, pool.RecordReconciled:
	default:
		return r, false
	}
	return r, true
}

// marshal cannot fail: the wire types hold strings, numbers and flags only.
func marshal(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
