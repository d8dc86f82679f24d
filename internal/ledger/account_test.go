package ledger_test

import (
	"math"
	"reflect"
	"slices"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/wire"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

func jobOf(account manifest.Terms) cell.AcceptedJob {
	return cell.AcceptedJob{
		Job: workload.Job{
			ID: "00000000000000a1", Queue: "q", Steps: []workload.Step{{Tasks: 1, Size: job.Size{MilliCores: 5}}},
		},
		Queue: manifest.Queue{Name: "q", Service: "s"}, Account: account,
	}
}

// The account of a job must survive in its row with the terms at acceptance, and hosts of
// earlier releases must read the row, of which they decode the first value.
func TestAccountsOfJobsAreReadAsWritten(t *testing.T) {
	for _, account := range []manifest.Terms{
		{},
		{Name: "a"},
		{Name: "a", Weight: 2.5, Cap: job.Size{MilliCores: 1, MemoryMB: 2, Accelerators: 3}},
	} {
		a := jobOf(account)
		value, err := ledger.EncodeJob(a)
		if err != nil {
			t.Fatal(err)
		}
		if read, err := ledger.DecodeJob(value); err != nil || !reflect.DeepEqual(read, a) {
			t.Errorf("read %+v, %v; written %+v", read, err, a)
		}
		without, err := ledger.EncodeJob(jobOf(manifest.Terms{}))
		if err != nil {
			t.Fatal(err)
		}
		size, err := wire.Measure(value)
		if err != nil || !slices.Equal(value[:size], without) {
			t.Errorf("the first value of the row of a job of %+v is not that of a job without an account: %v", account, err)
		}
	}
}

// A row whose account is malformed must not become that of a job without an account, which
// the clients of all accounts of its queue may see.
func TestMalformedAccountsOfJobsAreRejected(t *testing.T) {
	row, err := ledger.EncodeJob(jobOf(manifest.Terms{}))
	if err != nil {
		t.Fatal(err)
	}
	for name, account := range map[string]any{
		"no list": "a", "no name": []any{"", 1.0, 0, 0, 0}, "weight NaN": []any{"a", math.NaN(), 0, 0, 0},
		"infinite weight": []any{"a", math.Inf(1), 0, 0, 0}, "negative weight": []any{"a", -1.0, 0, 0, 0},
		"negative cap": []any{"a", 1.0, 0, -1, 0}, "cap as text": []any{"a", 1.0, "x", 0, 0},
	} {
		value, err := msgpack.Marshal(account)
		if err != nil {
			t.Fatal(err)
		}
		for n := 1; n <= len(value); n++ {
			if got, err := ledger.DecodeJob(slices.Concat(row, value[:n])); !fault.Is(err, ledger.KindMalformed) {
				t.Errorf("%s, %d of %d bytes: read as %+v, %v", name, n, len(value), got.Account, err)
			}
		}
	}
}
