package ledger_test

import (
	"bytes"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/account"
	"cicadabarrow.example/cicadabarrow/internal/admission"
	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/wire"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

func TestJobsAreReadAsWritten(t *testing.T) {
	a := cell.AcceptedJob{
		Job: workload.Job{
			ID: "00000000000000a1", Queue: "q", Spec: "spec",
			Schedule: workload.Schedule{First: time.UnixMilli(1_700_000_000_123), Every: 2 * time.Second, Times: 3},
			Steps: []workload.Step{{Tasks: 1, Size: job.Size{MilliCores: 5}}, {
				Tasks: 4, Size: job.Size{MilliCores: 1, MemoryMB: 2, Accelerators: 3}, Estimate: time.Second,
				After: []int{0}, Checkpoints: true, Gang: true, SameRack: true, Label: "l", DataRack: "r1",
				MaxPerWorker: 2, Speculative: true, LongRunning: true, Image: "i", LatencyTarget: time.Millisecond,
				BestEffort: true, MaxUnavailable: 1, HasMaxUnavailable: true,
			}},
		},
		Queue: manifest.Queue{
			Name: "q", Service: "s", Priority: 2, MaxAttempts: 3, SlackFactor: 1.5, TargetLatency: time.Second,
			Advice: manifest.Advice{Fixed: 1, PerWorker: 2, ValidFor: 3},
		},
	}
	value, err := ledger.EncodeJob(a)
	if err != nil {
		t.Fatal(err)
	}
	read, err := ledger.DecodeJob(value)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, a) {
		t.Errorf("read %+v\nwritten %+v", read, a)
	}
}

func TestOwnersAreReadAsWritten(t *testing.T) {
	o := ledger.Owner{
		Host: "h", Incarnation: "h/1", Addr: netip.MustParseAddrPort("10.0.0.1:1"), Epoch: 7, Released: true,
		WrittenAfter: time.Second, TransactionNumber: 3, EarlyStartWorkers: []string{"w"}, PredecessorsEnded: true,
		Admission: admission.Decision{
			Priorities: []admission.Refusal{{Priority: 2, RetryAfter: time.Second}}, LongRunning: time.Minute,
			Services: []admission.ServiceRefusal{
				{Service: "s", Priority: 2, Wait: time.Second, RetryAfter: time.Minute},
				{Service: "t", LongRunning: true, Wait: time.Hour, RetryAfter: time.Second},
			},
			Short: []admission.ServiceShortage{{Service: "s", Wait: time.Second}}, InExcess: []account.Excess{{Name: "a", For: time.Minute}},
		},
	}
	value, err := ledger.EncodeOwner(o)
	if err != nil {
		t.Fatal(err)
	}
	read, err := ledger.DecodeOwner(value)
	if err != nil || !reflect.DeepEqual(read, o) {
		t.Errorf("read %+v, %v", read, err)
	}
}

// An owner's row may be read by hosts of earlier releases, which know one or two of its
// values, and rows of such owners by hosts of this one.
func TestOwnersWithRefusalsAreReadAcrossReleases(t *testing.T) {
	priorities := []admission.Refusal{{Priority: 2, RetryAfter: time.Second}}
	o := ledger.Owner{Host: "h", Addr: netip.MustParseAddrPort("10.0.0.1:1"), Admission: admission.Decision{
		Priorities: priorities, LongRunning: time.Minute, Services: []admission.ServiceRefusal{{Service: "s", Wait: time.Hour}},
	}}
	value, err := ledger.EncodeOwner(o)
	if err != nil {
		t.Fatal(err)
	}
	first, err := wire.Measure(value)
	if err != nil {
		t.Fatal(err)
	}
	second, err := wire.Measure(value[first:])
	if err != nil {
		t.Fatal(err)
	}
	var read []any
	if err := msgpack.Unmarshal(value[first:first+second], &read); err != nil || len(read) != 2 {
		t.Errorf("an earlier release reads %v, %v", read, err)
	}
	for name, c := range map[string]struct {
		value []byte
		want  admission.Decision
	}{
		"no refusals":            {value[:first], admission.Decision{}},
		"refusals by priority":   {value[:first+second], admission.Decision{Priorities: priorities, LongRunning: time.Minute}},
		"refusals by service":    {value, o.Admission},
		"values of later owners": {append(slices.Clone(value), 7), o.Admission},
	} {
		if got, err := ledger.DecodeOwner(c.value); err != nil || !reflect.DeepEqual(got.Admission, c.want) {
			t.Errorf("%s are read as %+v, %v", name, got.Admission, err)
		}
	}
	if _, err := ledger.DecodeOwner(value[:len(value)-1]); !fault.Is(err, ledger.KindMalformed) {
		t.Errorf("a truncated row gives %v", err)
	}
}

// A row that names accounts in excess may be read by hosts of earlier releases, which read
// the values before, and those that name none must not change.
func TestOwnersWithAccountsInExcessAreReadAcrossReleases(t *testing.T) {
	without := ledger.Owner{Host: "h", Addr: netip.MustParseAddrPort("10.0.0.1:1"), Admission: admission.Decision{
		Services: []admission.ServiceRefusal{{Service: "s", Wait: time.Hour}},
	}}
	with := without
	with.Admission.Short = []admission.ServiceShortage{{Service: "s", Wait: time.Second}}
	with.Admission.InExcess = []account.Excess{{Name: "a", For: time.Minute}}
	short, err := ledger.EncodeOwner(without)
	if err != nil {
		t.Fatal(err)
	}
	long, err := ledger.EncodeOwner(with)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.HasPrefix(long, short) {
		t.Error("an earlier release reads something else")
	}
	if got, err := ledger.DecodeOwner(append(slices.Clone(long), 7)); err != nil || !reflect.DeepEqual(got, with) {
		t.Errorf("with a value of a later owner: %+v, %v", got, err)
	}
	if _, err := ledger.DecodeOwner(long[:len(long)-1]); !fault.Is(err, ledger.KindMalformed) {
		t.Errorf("a truncated row gives %v", err)
	}
}

// A row that was written by an older version of the software, which had no
// PredecessorsEnded, is decoded with the field unset.
func TestOwnersOfOlderVersionsAreRead(t *testing.T) {
	value, err := msgpack.Marshal([]any{"h", "h/1", "10.0.0.1:1", 7, true, []string{"w"}, time.Second, 3})
	if err != nil {
		t.Fatal(err)
	}
	read, err := ledger.DecodeOwner(value)
	if err != nil || read.Epoch != 7 || read.TransactionNumber != 3 || !read.Released || read.PredecessorsEnded {
		t.Errorf("read %+v, %v", read, err)
	}
	if _, err := ledger.DecodeOwner(value[:len(value)-1]); !fault.Is(err, ledger.KindMalformed) {
		t.Errorf("a truncated row gives %v", err)
	}
}

func TestRecordsAreReadAsWritten(t *testing.T) {
	r := cell.Record{Job: "00000000000000a1", Revision: 9, State: workload.StateRunning, Cause: workload.CauseCrashes}
	crash := cell.Crash{Run: 2, JustStarted: true, Accepted: true, SentListed: true}
	lost := cell.LostRun{Crash: cell.Crash{Run: 4, Alone: true}, Machine: "m1", Incarnation: 7}
	notStarted := []cell.RunRange{{First: 2, Last: 2}, {First: 4, Last: 5}}
	sent := cell.LostRun{Crash: cell.Crash{Run: 6, SentListed: true}, Machine: "m2", Incarnation: 9}
	r.Occurrences = [][]cell.StepRecord{{{FailedRuns: []int{2}, Tasks: []cell.TaskRecord{
		{Done: true, LastRun: 1},
		{LastRun: 4, FailedRuns: []int{1, 3}, Checkpoint: "c", Worker: "w", Run: 3, Machine: "m", Incarnation: 8},
		{LastRun: 6, Crashes: []cell.Crash{{Run: 1}, crash}, Lost: []cell.LostRun{lost, sent}, NotStarted: notStarted},
		{LastRun: 2, Worker: "w", Run: 2, Machine: "m", Incarnation: 8, Accepted: true, Crashes: []cell.Crash{{Run: 1}}},
	}}}}
	value, err := ledger.EncodeRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	read, err := ledger.DecodeRecord(value)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, r) {
		t.Errorf("read %+v\nwritten %+v", read, r)
	}
}

// An earlier release decodes only the first value of a row.
func TestEarlierReleasesReadRecordsWithASupplement(t *testing.T) {
	r := cell.Record{Job: "00000000000000a1", Revision: 9, State: workload.StateRunning}
	r.Occurrences = [][]cell.StepRecord{{{Tasks: []cell.TaskRecord{{LastRun: 1, Worker: "w", Run: 1, Machine: "m", Incarnation: 8}}}}}
	value, err := ledger.EncodeRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	var fields []any
	if err := msgpack.Unmarshal(value, &fields); err != nil || len(fields) != 4 {
		t.Fatalf("%d fields, %v", len(fields), err)
	}
	if task := fields[3].([]any)[0].([]any)[0].([]any)[1].([]any)[0].([]any); len(task) != 6 {
		t.Errorf("a task has %d fields", len(task))
	}
}

// A release that knows only the supplement decodes the second value of a row as before.
func TestReleasesWithASupplementReadRecordsWithRunsThatDidNotStart(t *testing.T) {
	r := cell.Record{Job: "00000000000000a1", Revision: 9, State: workload.StateRunning}
	task := cell.TaskRecord{LastRun: 3, Crashes: []cell.Crash{{Run: 1}}}
	r.Occurrences = [][]cell.StepRecord{{{Tasks: []cell.TaskRecord{task}}}}
	before, err := ledger.EncodeRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	r.Occurrences[0][0].Tasks[0].NotStarted = []cell.RunRange{{First: 2, Last: 3}}
	value, err := ledger.EncodeRecord(r)
	if err != nil || !bytes.HasPrefix(value, before) {
		t.Fatalf("written %x, %v; want it to begin with %x", value, err, before)
	}
	var third []any
	if err := msgpack.Unmarshal(value[len(before):], &third); err != nil || len(third) != 1 {
		t.Errorf("the third value is %v, %v", third, err)
	}
	for size := len(before) + 1; size < len(value); size++ {
		if _, err := ledger.DecodeRecord(value[:size]); !fault.Is(err, ledger.KindSupplement) {
			t.Errorf("%d bytes of the third value give %v", size-len(before), err)
		}
	}
}

// An earlier release wrote neither the machine of a run nor crashes.
func TestRecordsOfEarlierReleasesAreRead(t *testing.T) {
	task := []any{false, 4, []int{1, 3}, "c", "w", 3}
	step := []any{[]int{2}, []any{task}}
	value, err := msgpack.Marshal([]any{"00000000000000a1", 9, "Running", []any{[]any{step}}})
	if err != nil {
		t.Fatal(err)
	}
	read, err := ledger.DecodeRecord(value)
	if err != nil {
		t.Fatal(err)
	}
	want := cell.TaskRecord{LastRun: 4, FailedRuns: []int{1, 3}, Checkpoint: "c", Worker: "w", Run: 3}
	if got := read.Occurrences[0][0].Tasks[0]; !reflect.DeepEqual(got, want) || read.Revision != 9 {
		t.Errorf("read %+v", read)
	}
}

// The progress of a job must not be lost to a supplement of a later release.
func TestRecordsWithAnUnreadableSupplementKeepTheirProgress(t *testing.T) {
	r := cell.Record{Job: "00000000000000a1", Revision: 9, State: workload.StateRunning}
	r.Occurrences = [][]cell.StepRecord{{{Tasks: []cell.TaskRecord{{Done: true, LastRun: 1}, {LastRun: 2, Worker: "w", Run: 2}}}}}
	value, err := ledger.EncodeRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	valid := []any{0, 0, 1, "m", 8, []any{}, []any{}, false}
	for _, supplement := range []any{
		"unknown", []any{"", []any{append(slices.Clone(valid), "more")}}, []any{"", []any{valid, []any{0, 0, 2, "m", 8, []any{}, []any{}, false}}},
	} {
		second, err := msgpack.Marshal(supplement)
		if err != nil {
			t.Fatal(err)
		}
		read, err := ledger.DecodeRecord(append(slices.Clone(value), second...))
		if !fault.Is(err, ledger.KindSupplement) || !reflect.DeepEqual(read, r) {
			t.Errorf("supplement %v: read %+v, %v", supplement, read, err)
		}
	}
}

func TestMalformedRowsAreRefused(t *testing.T) {
	for _, value := range []string{"", "x", "\x93\x01\x02\x03"} {
		if _, err := ledger.DecodeJob([]byte(value)); !fault.Is(err, ledger.KindMalformed) {
			t.Errorf("job %q gives %v", value, err)
		}
		if _, err := ledger.DecodeRecord([]byte(value)); !fault.Is(err, ledger.KindMalformed) {
			t.Errorf("record %q gives %v", value, err)
		}
		if _, err := ledger.DecodeOwner([]byte(value)); !fault.Is(err, ledger.KindMalformed) {
			t.Errorf("owner %q gives %v", value, err)
		}
	}
}

// The name of a cancellation starts with the name of its job's row, and both rows are
// in one partition. As all IDs have the same length, the cancellation sorts directly
// after the job, so that one read of two rows returns both.
func TestACancelFollowsItsJob(t *testing.T) {
	id := workload.JobID("00000000000000a1")
	job, cancel := ledger.JobKey(id), ledger.CancelKey(id)
	if job.Partition != cancel.Partition || !strings.HasPrefix(cancel.Name, job.Name) {
		t.Errorf("%+v and %+v", job, cancel)
	}
	if got, ok := ledger.ParseCancelName(cancel.Name); !ok || got != id {
		t.Errorf("IsCancel gives %q, %v", got, ok)
	}
}

func TestWavesAreReadAsWritten(t *testing.T) {
	r := cell.WaveRecord{Wave: 3, Revision: 4, Ordered: []string{"m1"}, Settled: []string{"m2", "m3"}}
	value, err := ledger.EncodeWave(r)
	if err != nil {
		t.Fatal(err)
	}
	read, err := ledger.DecodeWave(value)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, r) {
		t.Errorf("read %+v\nwritten %+v", read, r)
	}
}

func TestDeeplyNestedRowsAreRejected(t *testing.T) {
	nested := append(bytes.Repeat([]byte{0x91}, 1_000_000), 0x90)
	for name, decode := range map[string]func([]byte) error{
		"job":    func(value []byte) error { _, err := ledger.DecodeJob(value); return err },
		"record": func(value []byte) error { _, err := ledger.DecodeRecord(value); return err },
		"owner":  func(value []byte) error { _, err := ledger.DecodeOwner(value); return err },
		"wave":   func(value []byte) error { _, err := ledger.DecodeWave(value); return err },
	} {
		if err := decode(nested); !fault.Is(err, ledger.KindMalformed) || !strings.Contains(err.Error(), "nested") {
			t.Errorf("%s: %v", name, err)
		}
	}
}
