// Package ledger gives the rows that a cell keeps in the store their names and
// their encoding.
//
// Accepted jobs and cancels lie in the table TableIntake, spread over a few
// parts, so that any host can write them at once. The owner's row and the
// records of progress lie in one part, so that a record is written only while
// its writer is the owner.
package ledger

import (
	"hash/fnv"
	"strconv"
	"strings"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Kind tells why a row could not be used.
type Kind string

const (
	// KindMalformed means that a row cannot be decoded.
	KindMalformed Kind = "malformed row"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

const (
	// TableIntake holds accepted jobs and cancels.
	TableIntake = "intake"
	// TableProgress holds the records of progress.
	TableProgress = "progress"
	// TableWaves holds how far the waves of maintenance are.
	TableWaves = "waves"
	// TableOwner holds the row of the owner.
	TableOwner = "owner"

	// partitionCell is the part of the owner's row and of all that an owner writes.
	partitionCell = "cell"
	// ownerName names the owner's row.
	ownerName = "owner"

	// intakePartitions spreads accepted jobs over the store's parts. A part carries
	// out one transaction after the other, so many of them keep a slow store
	// able to accept jobs.
	intakePartitions = 32
	// cancelSuffix follows the job's ID in the name of a cancel.
	cancelSuffix = ":cancel"
)

// OwnerKey names the row that says who owns the cell. Each of the owner's
// commits writes it, under the condition that nothing else has.
func OwnerKey() rowstore.Key {
	return rowstore.Key{Table: TableOwner, Part: partitionCell, Name: ownerName}
}

// ProgressKey names the record of a job.
func ProgressKey(id workload.JobID) rowstore.Key {
	return rowstore.Key{Table: TableProgress, Part: partitionCell, Name: string(id)}
}

// ProgressRange selects all records of progress.
func ProgressRange() rowstore.Range {
	return rowstore.Range{Table: TableProgress, Part: partitionCell}
}

// WaveKey names the record of a wave of maintenance.
func WaveKey(number int) rowstore.Key {
	return rowstore.Key{Table: TableWaves, Part: partitionCell, Name: strconv.Itoa(number)}
}

// WavesRange selects all records of waves.
func WavesRange() rowstore.Range { return rowstore.Range{Table: TableWaves, Part: partitionCell} }

// JobKey names the row of an accepted job.
func JobKey(id workload.JobID) rowstore.Key {
	return rowstore.Key{Table: TableIntake, Part: intakePartition(id), Name: string(id)}
}

// CancelKey names the row of a cancel.
func CancelKey(id workload.JobID) rowstore.Key {
	return rowstore.Key{Table: TableIntake, Part: intakePartition(id), Name: string(id) + cancelSuffix}
}

// IntakeRanges selects all accepted jobs and cancels.
func IntakeRanges() []rowstore.Range {
	out := make([]rowstore.Range, intakePartitions)
	for i := range out {
		out[i] = rowstore.Range{Table: TableIntake, Part: strconv.Itoa(i)}
	}
	return out
}

// IsCancel tells a cancel from a job, and returns the ID of the job.
func IsCancel(name string) (workload.JobID, bool) {
	id, ok := strings.CutSuffix(name, cancelSuffix)
	return workload.JobID(id), ok
}

func intakePartition(id workload.JobID) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return strconv.Itoa(int(h.Sum32() % intakePartitions))
}
