package ledger

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/wire"
)

// maxRecordBytes is the longest record that is compressed with its checkpoints, and the
// longest that is decompressed. That is 400 bytes for each of workload.MaxJobTasks tasks.
const maxRecordBytes = 8 << 20

// EncodeRecordWithin encodes the progress record of a job, in at most the given number of
// bytes as far as possible. A record that is longer is compressed, and written without
// the checkpoints of its tasks if it still does not fit: without a record no task could
// start, and a task without a checkpoint only starts from the beginning after the owner
// has changed. It reports whether it has left them out.
//
// Releases before this one do not read compressed records. They could not write records
// of that length.
func EncodeRecordWithin(r cell.Record, limit int) (value []byte, shortened bool, err error) {
	value, err = EncodeRecord(r)
	if err != nil || len(value) <= limit {
		return value, false, err
	}
	if len(value) <= maxRecordBytes {
		if value, err = compress(value); err != nil || len(value) <= limit {
			return value, false, err
		}
	}
	if value, err = EncodeRecord(withoutCheckpoints(r)); err != nil {
		return nil, true, err
	}
	value, err = compress(value)
	return value, true, err
}

// withoutCheckpoints returns a record without the checkpoints of its tasks.
func withoutCheckpoints(r cell.Record) cell.Record {
	occurrences := make([][]cell.StepRecord, len(r.Occurrences))
	for k, steps := range r.Occurrences {
		occurrences[k] = make([]cell.StepRecord, len(steps))
		for i, s := range steps {
			tasks := make([]cell.TaskRecord, len(s.Tasks))
			for n, t := range s.Tasks {
				t.Checkpoint = ""
				tasks[n] = t
			}
			occurrences[k][i] = cell.StepRecord{FailedRuns: s.FailedRuns, Tasks: tasks}
		}
	}
	r.Occurrences = occurrences
	return r
}

// compress returns a compressed record: a binary value, which no other record begins with.
func compress(value []byte) ([]byte, error) {
	const op = "compress record"
	var deflated bytes.Buffer
	w, err := flate.NewWriter(&deflated, flate.BestSpeed)
	if err != nil {
		return nil, fault.New(op, KindMalformed, "%w", err)
	}
	if _, err := w.Write(value); err != nil {
		return nil, fault.New(op, KindMalformed, "%w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fault.New(op, KindMalformed, "%w", err)
	}
	out, err := msgpack.Marshal(deflated.Bytes())
	if err != nil {
		return nil, fault.New(op, KindMalformed, "%w", err)
	}
	return out, nil
}

// decompress returns the record in a value, which may be compressed.
func decompress(value []byte) ([]byte, error) {
	const op = "decompress record"
	if len(value) == 0 || !msgpcode.IsBin(value[0]) {
		return value, nil
	}
	d := wire.NewDecoder(value)
	deflated := d.Bytes()
	if err := d.Finish(); err != nil {
		return nil, fault.New(op, KindMalformed, "%w", err)
	}
	inflate := func() io.Reader { return flate.NewReader(bytes.NewReader(deflated)) }
	length, err := io.Copy(io.Discard, io.LimitReader(inflate(), maxRecordBytes+1))
	if err != nil {
		return nil, fault.New(op, KindMalformed, "%w", err)
	}
	if length > maxRecordBytes {
		return nil, fault.New(op, KindMalformed, "a record of more than %d bytes", maxRecordBytes)
	}
	out := make([]byte, length)
	if _, err := io.ReadFull(inflate(), out); err != nil {
		return nil, fault.New(op, KindMalformed, "%w", err)
	}
	return out, nil
}
