// Package ledger defines the keys and the encoding of the rows that a cell keeps
// in the store.
//
// Accepted jobs and their cancellations are in the table TableIntake, spread over
// several partitions, so that any host can write them concurrently. The owner's row,
// the progress records and the wave records have the same partition key in their
// tables, so that one transaction can write a record under the condition that its
// writer still owns the cell.
package ledger

import (
	"hash/fnv"
	"strconv"
	"strings"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Kind is the kind of an Error.
type Kind string

const (
	// KindMalformed means that a row cannot be decoded.
	KindMalformed Kind = "malformed row"
	// KindSupplement means that only the supplement of a progress record cannot be
	// decoded.
	KindSupplement Kind = "malformed supplement"
)

// Error is returned for a row that cannot be decoded.
type Error = fault.Error[Kind]

const (
	// TableIntake contains accepted jobs and cancellations.
	TableIntake = "intake"
	// TableProgress contains the progress records of jobs.
	TableProgress = "progress"
	// TableWaves contains the progress of maintenance waves.
	TableWaves = "waves"
	// TableOwner contains the owner's row and the row of the hosts.
	TableOwner = "owner"

	// partitionCell is the partition key of the owner's row and of all records that
	// the owner writes with it.
	partitionCell = "cell"
	// ownerName is the name of the owner's row, and hostsName that of the row of the
	// hosts.
	ownerName = "owner"
	hostsName = "hosts"

	// intakePartitions is the number of partitions of TableIntake. The store executes
	// the transactions of a partition serially, so with more partitions jobs are
	// accepted at a higher rate while the store is slow.
	intakePartitions = 32
	// cancelSuffix follows the job's ID in the name of a cancellation's row.
	cancelSuffix = ":cancel"
)

// OwnerKey returns the key of the row that names the owner of the cell. Each
// commit of the owner writes it, under the condition that nobody else has written
// it since.
func OwnerKey() rowstore.Key {
	return rowstore.Key{Table: TableOwner, Partition: partitionCell, Name: ownerName}
}

// ProgressKey returns the key of a job's progress record.
func ProgressKey(id workload.JobID) rowstore.Key {
	return rowstore.Key{Table: TableProgress, Partition: partitionCell, Name: string(id)}
}

// ProgressRange selects all progress records.
func ProgressRange() rowstore.Range {
	return rowstore.Range{Table: TableProgress, Partition: partitionCell}
}

// WaveKey returns the key of a maintenance wave's record.
func WaveKey(number int) rowstore.Key {
	return rowstore.Key{Table: TableWaves, Partition: partitionCell, Name: strconv.Itoa(number)}
}

// WavesRange selects the records of all maintenance waves.
func WavesRange() rowstore.Range { return rowstore.Range{Table: TableWaves, Partition: partitionCell} }

// JobKey returns the key of an accepted job.
func JobKey(id workload.JobID) rowstore.Key {
	return rowstore.Key{Table: TableIntake, Partition: intakePartition(id), Name: string(id)}
}

// CancelKey returns the key of a job's cancellation.
func CancelKey(id workload.JobID) rowstore.Key {
	return rowstore.Key{Table: TableIntake, Partition: intakePartition(id), Name: string(id) + cancelSuffix}
}

// IntakeRanges selects all accepted jobs and cancellations, one range per
// partition.
func IntakeRanges() []rowstore.Range {
	out := make([]rowstore.Range, intakePartitions)
	for i := range out {
		out[i] = rowstore.Range{Table: TableIntake, Partition: strconv.Itoa(i)}
	}
	return out
}

// ParseCancelName returns the ID of the cancelled job if the name of a row of
// TableIntake is that of a cancellation, and false otherwise.
func ParseCancelName(name string) (workload.JobID, bool) {
	id, ok := strings.CutSuffix(name, cancelSuffix)
	return workload.JobID(id), ok
}

func intakePartition(id workload.JobID) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return strconv.Itoa(int(h.Sum32() % intakePartitions))
}
