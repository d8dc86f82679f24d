package ledger_test

import (
	"slices"
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// A tombstone must not be taken for a job, which would run, by this or an earlier release,
// nor a job for a tombstone, which would be deleted.
func TestTombstoneIsNoJob(t *testing.T) {
	scopes := []manifest.JobScope{{Queue: "q"}, {Queue: "q", Account: "a", HasAccounts: true}}
	scopes = append(scopes, make([]manifest.JobScope, ledger.MaxTombstoneScopes-len(scopes))...)
	value, err := ledger.EncodeTombstone(ledger.Tombstone{Scopes: scopes})
	if err != nil {
		t.Fatal(err)
	}
	got, err := ledger.DecodeTombstone(value)
	if err != nil || !slices.Equal(got.Scopes, scopes) || !ledger.IsTombstone(value) {
		t.Errorf("decoded %+v, %v", got, err)
	}
	if _, err := ledger.DecodeJob(value); !fault.Is(err, ledger.KindMalformed) {
		t.Errorf("decoded as a job: %v", err)
	}
	row, err := ledger.EncodeJob(jobOf(manifest.Terms{Name: "a"}))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ledger.DecodeTombstone(row); ledger.IsTombstone(row) || !fault.Is(err, ledger.KindMalformed) {
		t.Errorf("the row of a job is taken for a tombstone: %v", err)
	}
}
