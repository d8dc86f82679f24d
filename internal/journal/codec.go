// Package journal keeps the records of a pool in rows of the table service, and
// compacts them into snapshots in the object store.
//
// A row holds the records of one commit, with a format version and a checksum.
// Its key carries the epoch of the owner and a sequence number, so that the rows
// of all owners together give the records in order.
//
// Writer appends batches, one commit at a time: the batches that arrive while a
// commit is in flight go into the next one. Each commit checks the version of the
// owner's lease.UnitRow, so that a deposed owner can append nothing.
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
	"cicadabarrow.example/cicadabarrow/internal/wire"
)

// formatVersion is the version of the format of rows and snapshots.
const formatVersion = 1

// envelopeWire is the stored envelope of a row or a snapshot. Sum is the CRC-32
// checksum of Body.
type envelopeWire struct {
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

// Encode encodes records as the value of a row.
func Encode(records []pool.Record) []byte {
	wires := make([]recordWire, 0, len(records))
	for _, r := range records {
		wires = append(wires, toWire(r))
	}
	return encodeEnvelope(wires)
}

// Decode decodes the value of a row. A value that cannot be decoded is an error of
// KindCorrupt, which names the row and what is wrong with it.
func Decode(key string, value []byte) ([]pool.Record, error) {
	var wires []recordWire
	if err := decodeEnvelope("row "+key, value, &wires); err != nil {
		return nil, err
	}
	records := make([]pool.Record, 0, len(wires))
	for i, w := range wires {
		r, ok := fromWire(w)
		if !ok {
			return nil, fault.New("decode", KindCorrupt, "row %s: record %d of kind %q is unknown or incomplete", key, i, w.Kind)
		}
		records = append(records, r)
	}
	return records, nil
}

// encodeEnvelope encodes a body and wraps it in an envelope with the format version
// and a checksum.
func encodeEnvelope(body any) []byte {
	b := marshal(body)
	return marshal(envelopeWire{Version: formatVersion, Sum: crc32.ChecksumIEEE(b), Body: b})
}

// decodeEnvelope checks the format version and the checksum of a value and decodes
// its body. Errors identify the value by name.
func decodeEnvelope(name string, value []byte, body any) error {
	var row envelopeWire
	if err := wire.Unmarshal(value, &row); err != nil {
		return fault.New("decode", KindCorrupt, "%s: %w", name, err)
	}
	if row.Version != formatVersion {
		return fault.New("decode", KindCorrupt, "%s: format version %d is not supported; want %d", name, row.Version, formatVersion)
	}
	if sum := crc32.ChecksumIEEE(row.Body); sum != row.Sum {
		return fault.New("decode", KindCorrupt, "%s: checksum %08x does not match the stored %08x", name, sum, row.Sum)
	}
	if err := wire.Unmarshal(row.Body, body); err != nil {
		return fault.New("decode", KindCorrupt, "%s: %w", name, err)
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

// marshal panics when a value cannot be encoded. That cannot happen: the wire
// types hold only strings, numbers, booleans, and slices and structs of them.
func marshal(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
