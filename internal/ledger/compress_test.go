package ledger_test

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// recordLimit is what a transaction holds, less than the store's limit of 1 MB for a call
// in which values are base64.
const recordLimit = 700_000

// largestRecord returns the record of a job of the largest number of tasks, all of which
// may be running and have a checkpoint of a number of bytes.
func largestRecord(checkpointBytes int) cell.Record {
	tasks := make([]cell.TaskRecord, workload.MaxJobTasks)
	for i := range tasks {
		sum := sha256.Sum256([]byte(fmt.Sprint(i)))
		checkpoint := strings.Repeat(hex.EncodeToString(sum[:]), checkpointBytes/sha256.Size+1)[:checkpointBytes]
		machine := fmt.Sprintf("m-%05d", i*7919%350)
		tasks[i] = cell.TaskRecord{
			LastRun: 1 + i%3, Checkpoint: checkpoint, Worker: cell.WorkerID(fmt.Sprintf("i-%010d", i*7919%350)), Run: 1 + i%3,
			Machine: machine, Incarnation: cell.Incarnation(1700000000000 + i*7919%350),
		}
		if i%5 == 0 {
			tasks[i].FailedRuns = []int{1, 2}
			tasks[i].Crashes = []cell.Crash{{Run: 1, Accepted: true}, {Run: 2, Alone: true}}
			tasks[i].Lost = []cell.LostRun{{Crash: cell.Crash{Run: 1}, Machine: machine, Incarnation: tasks[i].Incarnation}}
		}
	}
	return cell.Record{
		Job: "5c0e7a21d94b36f8", Revision: 7, State: workload.StateRunning,
		Occurrences: [][]cell.StepRecord{{{Tasks: tasks[:len(tasks)/2]}, {Tasks: tasks[len(tasks)/2:]}}},
	}
}

// Guards against a record that no call to the store can carry: the largest job that is
// accepted was never started, since its record made a call of 1.2 MB.
func TestLargestRecordFitsIntoATransaction(t *testing.T) {
	for _, checkpoint := range []int{0, 16, 64, 1024} {
		r := largestRecord(checkpoint)
		value, shortened, err := ledger.EncodeRecordWithin(r, recordLimit)
		if err != nil || len(value) > recordLimit {
			t.Fatalf("checkpoints of %d bytes: a record of %d bytes, %v", checkpoint, len(value), err)
		}
		if wants := checkpoint > 16; shortened != wants {
			t.Errorf("checkpoints of %d bytes: left out: %v", checkpoint, shortened)
		}
		got, err := ledger.DecodeRecord(value)
		if err != nil {
			t.Fatal(err)
		}
		if shortened {
			for _, s := range r.Occurrences[0] {
				for n := range s.Tasks {
					s.Tasks[n].Checkpoint = ""
				}
			}
		}
		if !reflect.DeepEqual(got, r) {
			t.Errorf("checkpoints of %d bytes: the record is not read as written", checkpoint)
		}
	}
}

// Guards against records that earlier releases could write and read, and no longer could
// read after a change of the release.
func TestRecordsThatFitAreNotCompressed(t *testing.T) {
	r := largestRecord(0)
	r.Occurrences[0][0].Tasks = r.Occurrences[0][0].Tasks[:1000]
	r.Occurrences[0] = r.Occurrences[0][:1]
	plain, err := ledger.EncodeRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	value, shortened, err := ledger.EncodeRecordWithin(r, recordLimit)
	if err != nil || shortened || !bytes.Equal(value, plain) {
		t.Errorf("a record of %d bytes is written as %d others, left out: %v, %v", len(plain), len(value), shortened, err)
	}
}

// Guards against a row that ends the owner by its size: a few bytes can be decompressed to
// any number.
func TestOddCompressedRecordsAreRejectedAtLittleMemory(t *testing.T) {
	const maxMemory = 1 << 20
	deflated := func(value []byte) []byte {
		var out bytes.Buffer
		w, err := flate.NewWriter(&out, flate.BestSpeed)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := w.Write(value); err != nil {
			t.Fatal(err)
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		return out.Bytes()
	}
	whole := deflated([]byte("\x94"))
	for name, content := range map[string][]byte{
		"64 MB of zeros": deflated(make([]byte, 64<<20)),
		"nothing":        nil,
		"other bytes":    []byte("not deflated"),
		"a part":         whole[:len(whole)-1],
		"another value":  deflated([]byte("\x07")),
		"a second time":  deflated(append([]byte{0xc4, byte(len(whole))}, whole...)),
	} {
		value, err := msgpack.Marshal(content)
		if err != nil {
			t.Fatal(err)
		}
		if content == nil {
			value = []byte{0xc4, 0}
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err = ledger.DecodeRecord(value)
		runtime.ReadMemStats(&after)
		if !fault.Is(err, ledger.KindMalformed) {
			t.Errorf("%s: %v", name, err)
		}
		if used := after.TotalAlloc - before.TotalAlloc; used > maxMemory {
			t.Errorf("%s: %d bytes are allocated", name, used)
		}
	}
}
