package owner

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// minDeletedJobMemory is the least time for which a deleted job is remembered. A notice of
// its acceptance that was sent before arrives within seconds, or not at all.
const minDeletedJobMemory = 1 * time.Minute

// deletedJobs remembers the jobs whose rows this owner has deleted. Rows that were read
// and notices that were sent before the deletion may be handled after it. They would be
// taken for new jobs, and the tasks would run again. Only the event loop uses it.
type deletedJobs struct {
	// versions has the version of each deletion, and queue all of them in order.
	versions map[workload.JobID]uint64
	queue    []deletedJob
	// followed is the version up to which the changes of accepted jobs were handled.
	followed uint64
}

// deletedJob is the deletion of the rows of a job.
type deletedJob struct {
	id workload.JobID
	// version is that of the transaction, and at is when this owner heard of it.
	version uint64
	at      time.Time
}

func newDeletedJobs() *deletedJobs {
	return &deletedJobs{versions: make(map[workload.JobID]uint64)}
}

// add records deletions.
func (d *deletedJobs) add(now time.Time, deleted []deletedJob) {
	for _, e := range deleted {
		e.at = now
		d.versions[e.id] = e.version
		d.queue = append(d.queue, e)
	}
}

// has reports whether a job was deleted and, as far as is known, not accepted again.
func (d *deletedJobs) has(id workload.JobID) bool {
	_, deleted := d.versions[id]
	return deleted
}

// withoutDeleted returns rows of the table of jobs without those that were written before
// the rows of their job were deleted. A later row is that of a job that was accepted again.
func (d *deletedJobs) withoutDeleted(rows []rowstore.Row) []rowstore.Row {
	out := make([]rowstore.Row, 0, len(rows))
	for _, row := range rows {
		id := workload.JobID(row.Name)
		version, deleted := d.versions[id]
		if deleted && row.Version < version {
			continue
		}
		if deleted && !row.Deleted && !ledger.IsTombstone(row.Value) {
			delete(d.versions, id)
		}
		out = append(out, row)
	}
	return out
}

// forget records up to which version the changes of accepted jobs were handled, and
// forgets the deletions that no row from before can follow any more.
func (d *deletedJobs) forget(now time.Time, followed uint64) {
	d.followed = max(d.followed, followed)
	for len(d.queue) > 0 {
		first := d.queue[0]
		if first.version > d.followed || now.Sub(first.at) < minDeletedJobMemory {
			return
		}
		if d.versions[first.id] == first.version {
			delete(d.versions, first.id)
		}
		d.queue = d.queue[1:]
	}
}
