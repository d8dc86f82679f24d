package intake

import (
	"context"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// FindResult tells whether the store holds a job and a cancel of it.
type FindResult struct {
	Known     bool
	Cancelled bool
	// Queue is the name of the job's queue.
	Queue string
	// Account is the name of the job's account, or empty if it has none.
	Account string
	// Tombstone tells who has cancelled the job while there was none. It has no scopes if
	// the job is known.
	Tombstone ledger.Tombstone
}

// In reports whether the job is in scope. The clients of a queue must learn nothing of
// the jobs of other queues, nor those of an account of the jobs of others.
func (f FindResult) In(scope manifest.JobScope) bool {
	return f.Known && scope.Contains(f.Queue, f.Account)
}

// jobRows is what the store holds under the ID of a job.
type jobRows struct {
	FindResult
	// version is that of the row of the job or of its tombstone; 0 if there is neither.
	version uint64
}

// rowsOfJob is the number of rows whose names start with the ID of a job.
const rowsOfJob = 2

// Find looks up a job in the store.
func (i *Intake) Find(ctx context.Context, id workload.JobID) (FindResult, error) {
	found, err := i.lookUp(ctx, id)
	return found.FindResult, err
}

// lookUp reads the rows of a job.
func (i *Intake) lookUp(ctx context.Context, id workload.JobID) (jobRows, error) {
	key := ledger.JobKey(id)
	var snapshot rowstore.Snapshot
	err := i.retry(ctx, "find", func(ctx context.Context) error {
		var err error
		snapshot, err = i.store.Read(ctx, rowstore.Range{
			Table: key.Table, Partition: key.Partition, From: key.Name, Limit: rowsOfJob,
		})
		return err
	})
	if err != nil {
		return jobRows{}, err
	}
	return decodeRows(snapshot.Rows, id)
}

// decodeRows finds the rows of a job among others.
func decodeRows(rows []rowstore.Row, id workload.JobID) (jobRows, error) {
	var found jobRows
	for _, row := range rows {
		switch row.Key {
		case ledger.CancelKey(id):
			found.Cancelled = true
		case ledger.JobKey(id):
			if err := found.decodeJob(row); err != nil {
				return jobRows{}, fault.New("find", KindUnknown, "job %s: %w", id, err)
			}
		}
	}
	return found, nil
}

// decodeJob decodes the row of a job or its tombstone.
func (r *jobRows) decodeJob(row rowstore.Row) error {
	r.version = row.Version
	if ledger.IsTombstone(row.Value) {
		var err error
		r.Tombstone, err = ledger.DecodeTombstone(row.Value)
		return err
	}
	accepted, err := ledger.DecodeJob(row.Value)
	if err != nil {
		return err
	}
	r.Known, r.Queue, r.Account = true, accepted.Queue.Name, accepted.Account.Name
	return nil
}
