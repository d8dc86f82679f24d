package ledger_test

import (
	"bytes"
	"encoding/binary"
	"reflect"
	"runtime"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// A row that another writer has left must be rejected at little memory: an empty element
// of one byte decodes into a whole step or task.
func TestOddRowsAreRejectedAtLittleMemory(t *testing.T) {
	const maxMemory = 32 << 20
	nils := func(n int) []byte {
		return append(binary.BigEndian.AppendUint32([]byte{0xdd}, uint32(n)), bytes.Repeat([]byte{0xc0}, n)...)
	}
	nested := append(bytes.Repeat([]byte{0x91}, 1_000_000), 0x90)
	record := []byte("\x94\xa1j\x01\xa7running\x91\x91\x92\x90") // its one step has the list of tasks that follows
	job := []byte("\x97\xa1j\xa0\x00\x00\x00\xc0")               // the list of steps follows
	const tombstoneMark = 0xc1
	values := map[string][]byte{
		"tasks": append(bytes.Clone(record), nils(4<<20)...), "steps": append(bytes.Clone(job), nils(4<<20)...), "nested": nested,
		"tasks announced": append(bytes.Clone(record), "\xdd\xff\xff\xff\xff"...), "no bytes": nil, "number": {7}, "nil": {0xc0},
	}
	decoders := map[string]func(value []byte) error{
		"job":    func(value []byte) error { _, err := ledger.DecodeJob(value); return err },
		"record": func(value []byte) error { _, err := ledger.DecodeRecord(value); return err },
		"owner":  func(value []byte) error { _, err := ledger.DecodeOwner(value); return err },
		"wave":   func(value []byte) error { _, err := ledger.DecodeWave(value); return err },
		"tombstone": func(value []byte) error {
			_, err := ledger.DecodeTombstone(append([]byte{tombstoneMark}, value...))
			return err
		},
	}
	for decoder, decode := range decoders {
		for name, value := range values {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := decode(value)
			runtime.ReadMemStats(&after)
			empty := name == "nil" && decoder != "job" && decoder != "owner" // it has no fields and changes nothing
			if err == nil && !empty {
				t.Errorf("%s as a %s: accepted", name, decoder)
			}
			if used := after.TotalAlloc - before.TotalAlloc; used > maxMemory {
				t.Errorf("%s as a %s: %d bytes are allocated", name, decoder, used)
			}
		}
	}
}

// The largest record that a job may have must be read.
func TestLargestRecordIsWithinItsLimits(t *testing.T) {
	tasks := make([]cell.TaskRecord, workload.MaxJobTasks)
	for i := range tasks {
		tasks[i] = cell.TaskRecord{LastRun: 100, FailedRuns: make([]int, 40), Checkpoint: "00000bb87a21d94b", Worker: "0123456789abcdef", Run: 100}
	}
	value, err := ledger.EncodeRecord(cell.Record{Job: "5c0e7a21d94b36f8", State: workload.StateRunning, Occurrences: [][]cell.StepRecord{{{Tasks: tasks}}}})
	if err != nil {
		t.Fatal(err)
	}
	if r, err := ledger.DecodeRecord(value); err != nil || len(r.Occurrences[0][0].Tasks) != len(tasks) {
		t.Errorf("a record of %d bytes: %v", len(value), err)
	}
}

// A job that was accepted must be read from its row, also by a later owner: one with as
// many dependencies as a submission can have, and its row must fit into a call of the store.
func TestRowOfLargestJobIsWithinItsLimits(t *testing.T) {
	const (
		// dependencies is nearly the largest number of values of a submission.
		dependencies = 120
		// maxRowBytes is what a call of the store takes, 1 MB in base64.
		maxRowBytes = 3 << 20 / 4
	)
	job := workload.Job{ID: "5c0e7a21d94b36f8", Queue: "q", Steps: make([]workload.Step, workload.MaxSteps)}
	for i := range job.Steps {
		step := workload.Step{Tasks: 1, Estimate: time.Second, After: make([]int, min(i, dependencies))}
		for k := range step.After {
			step.After[k] = i - 1 - k
		}
		job.Steps[i] = step
	}
	value, err := ledger.EncodeJob(cell.AcceptedJob{Job: job, Queue: manifest.Queue{Name: "q"}})
	if err != nil {
		t.Fatal(err)
	}
	if len(value) > maxRowBytes {
		t.Errorf("the row has %d bytes; at most %d are allowed", len(value), maxRowBytes)
	}
	got, err := ledger.DecodeJob(value)
	if err != nil || !reflect.DeepEqual(got.Job, job) {
		t.Errorf("a row of %d bytes gives a job of %d steps, %v", len(value), len(got.Job.Steps), err)
	}
}

// A list of steps must not make the reader allocate memory for more steps than a job may
// have.
func TestRowWithTooManyStepsIsRejectedAtLittleMemory(t *testing.T) {
	const maxMemory = 1 << 20
	steps := append(binary.BigEndian.AppendUint32([]byte("\x97\xa1j\xa0\x00\x00\x00\xc0\xdd"), 100<<10), bytes.Repeat([]byte{0xc0}, 100<<10)...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := ledger.DecodeJob(steps)
	runtime.ReadMemStats(&after)
	if used := after.TotalAlloc - before.TotalAlloc; err == nil || used > maxMemory {
		t.Errorf("%d bytes are allocated, error %v", used, err)
	}
}
