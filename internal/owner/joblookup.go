package owner

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	// jobLookupTimeout bounds the reads of the jobs of a report. Without the report, the
	// worker's lease is not renewed.
	jobLookupTimeout = 1 * time.Second
	// maxJobLookups limits the concurrent reads for one report.
	maxJobLookups = 8
	// rowsOfJob is the number of rows whose names begin with the ID of a job.
	rowsOfJob = 2
)

// jobLookups finds out which jobs a report names that were accepted after this owner read
// the store. A predecessor that did not know that it was replaced may have started them
// early. Only the event loop uses it.
type jobLookups struct {
	// workers has the workers that the predecessor's row names.
	workers map[cell.WorkerID]bool
	// done has the jobs that were looked up.
	done map[workload.JobID]bool
}

func newJobLookups(earlyStartWorkers []string) jobLookups {
	l := jobLookups{workers: make(map[cell.WorkerID]bool), done: make(map[workload.JobID]bool)}
	for _, id := range workerIDs(earlyStartWorkers) {
		l.workers[id] = true
	}
	return l
}

// unknown returns the jobs that a report of a worker names and that are to be looked up.
func (l *jobLookups) unknown(id cell.WorkerID, report *cell.Report, known func(workload.JobID) bool) []workload.JobID {
	if !l.workers[id] {
		return nil
	}
	var out []workload.JobID
	add := func(job workload.JobID) {
		if !known(job) && !l.done[job] && !slices.Contains(out, job) {
			out = append(out, job)
		}
	}
	for i := range report.Running {
		add(report.Running[i].Task.Job)
	}
	for i := range report.Ended {
		add(report.Ended[i].Task.Job)
	}
	return out
}

// errJobsUnread is why a report is dropped: its jobs could not be read.
var errJobsUnread = fault.New("look up jobs", KindStore, "the jobs that a report names could not be read")

// lookUpJobs reads the jobs that a report names and that this owner does not know, and
// returns false if there are none. The event handle is then applied once they are read, or
// failed. Without the jobs, the ends of the report would be acknowledged at once, and its
// runs would be stopped and the tasks placed again beside them.
func (o *Owner) lookUpJobs(id cell.WorkerID, report *cell.Report, handle, failed event) bool {
	unknown := o.jobLookups.unknown(id, report, func(job workload.JobID) bool {
		_, known := o.cell.Status(job)
		return known || o.deletedJobs.has(job)
	})
	if len(unknown) == 0 {
		return false
	}
	o.calls.Go(func() {
		rows, err := o.readJobs(unknown)
		o.put(jobsLookedUp{jobs: unknown, rows: rows, err: err, handle: handle, failed: failed})
	})
	return true
}

// readJobs returns the rows of jobs.
func (o *Owner) readJobs(ids []workload.JobID) ([]rowstore.Row, error) {
	ctx, cancel := context.WithTimeout(o.ctx, jobLookupTimeout)
	defer cancel()
	found := make([][]rowstore.Row, len(ids))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxJobLookups)
	limiter := newReadLimiter(len(ids), maxJobLookups)
	for i, id := range ids {
		group.Go(func() error {
			key := ledger.JobKey(id)
			rows := rowstore.Range{Table: key.Table, Partition: key.Partition, From: key.Name, Limit: rowsOfJob}
			snapshot, err := o.hedgedRead(ctx, rows, limiter)
			found[i] = slices.DeleteFunc(snapshot.Rows, func(row rowstore.Row) bool {
				return row.Key != key && row.Key != ledger.CancelKey(id)
			})
			return err
		})
	}
	err := group.Wait()
	return slices.Concat(found...), err
}

// jobsLookedUp carries the rows of the jobs that a report names.
type jobsLookedUp struct {
	jobs []workload.JobID
	rows []rowstore.Row
	err  error
	// handle is applied once the rows are loaded, or failed if they were not read.
	handle event
	failed event
}

func (e jobsLookedUp) apply(o *Owner, now time.Time) {
	o.log.Info("looked up jobs that a worker has named", zap.Int("Jobs", len(e.jobs)), zap.Int("Rows", len(e.rows)), zap.Error(e.err))
	if e.err != nil {
		e.failed.apply(o, now)
		return
	}
	for _, id := range e.jobs {
		o.jobLookups.done[id] = true
	}
	l := o.rowLoader(o.cell)
	rows := o.deletedJobs.withoutDeleted(e.rows)
	l.loadJobs(now, rows)
	l.loadCancels(now, rows)
	e.handle.apply(o, now)
}
