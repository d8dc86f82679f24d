package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// jobFeed is a platform whose calls for changes of the jobs return what the test sends.
type jobFeed struct {
	*fakePlatform
	answers chan feedAnswer
}

type feedAnswer struct {
	snapshot rowstore.Snapshot
	err      error
}

// Follow returns the next answer, or none after the wait.
func (f *jobFeed) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Snapshot, error) {
	if table != ledger.TableIntake {
		return f.fakePlatform.Follow(ctx, table, after, wait)
	}
	select {
	case a := <-f.answers:
		return a.snapshot, a.err
	case <-time.After(wait):
		return rowstore.Snapshot{Version: after}, nil
	case <-ctx.Done():
		return rowstore.Snapshot{}, fault.New("follow", rowstore.KindUnknown, "%w", ctx.Err())
	}
}

// firstPartitionJob returns a job whose row is in the partition that is read first.
func firstPartitionJob() cell.AcceptedJob {
	id := jobID(0)
	for n := 1; ledger.JobKey(id).Partition != "0"; n++ {
		id = jobID(n)
	}
	step := workload.Step{Tasks: 1, Size: job.Size{MilliCores: 100, MemoryMB: 10}, Estimate: time.Second}
	return cell.AcceptedJob{
		Job: workload.Job{ID: id, Queue: queueUrgent, Steps: []workload.Step{step}}, Queue: fakeManifest.Queues[0],
	}
}

// putJob writes the row of a job and returns the row.
func (p *fakePlatform) putJob(t *testing.T, a cell.AcceptedJob) rowstore.Row {
	t.Helper()
	value, err := ledger.EncodeJob(a)
	if err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	row := rowstore.Row{Key: ledger.JobKey(a.Job.ID), Value: value, Version: p.version}
	p.rows[row.Key] = row
	return row
}

// takeStarted reports whether the task of a job was started since the last call.
func (p *fakePlatform) takeStarted(id workload.JobID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	task := workload.TaskID{StepID: workload.StepID{Job: id}}
	started := p.started[task]
	delete(p.started, task)
	return started
}

func (p *fakePlatform) hasRow(key rowstore.Key) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, there := p.rows[key]
	return there
}

// A job that has run, and whose rows were deleted, is not to run again because of what was
// read or sent while the row was there and is handled later. Nothing else would stop it: the
// owner has forgotten that the job has ended.
func TestDeletedJobDoesNotRunAgain(t *testing.T) {
	const keepEnded = 3 * time.Second
	for _, c := range []struct {
		name string
		// before is done shortly before the rows are deleted, and after afterwards.
		before func(f *jobFeed)
		after  func(f *jobFeed, o *Owner, a cell.AcceptedJob, row rowstore.Row)
		again  bool
	}{
		{name: "the table is reread while the rows are deleted", before: func(f *jobFeed) {
			f.mu.Lock()
			f.readTakes = 200 * time.Millisecond // of each of the 32 partitions
			f.mu.Unlock()
			f.answers <- feedAnswer{err: fault.New("follow", rowstore.KindCompacted, "scripted")}
		}},
		{name: "a change from before the deletion", after: func(f *jobFeed, _ *Owner, _ cell.AcceptedJob, row rowstore.Row) {
			f.answers <- feedAnswer{snapshot: rowstore.Snapshot{Rows: []rowstore.Row{row}, Version: row.Version}}
		}},
		{name: "a notice from before the deletion", after: func(_ *jobFeed, o *Owner, a cell.AcceptedJob, _ rowstore.Row) {
			o.JobAccepted(a)
		}},
		{name: "the job is accepted again", again: true, after: func(f *jobFeed, o *Owner, a cell.AcceptedJob, _ rowstore.Row) {
			row := f.putJob(t, a)
			o.JobAccepted(a)
			f.answers <- feedAnswer{snapshot: rowstore.Snapshot{Rows: []rowstore.Row{row}, Version: row.Version}}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &jobFeed{newFakePlatform(2), make(chan feedAnswer)}
				f.runTakes = 100 * time.Millisecond
				config := fakeConfig()
				config.Cell.KeepEnded = keepEnded
				o := f.startOwnerOn(config, portsOf(f, fakeRegistrations{}), timer.NewSystem())
				defer o.Close()
				time.Sleep(time.Second)
				a := firstPartitionJob()
				row := f.putJob(t, a)
				o.JobAccepted(a)
				time.Sleep(keepEnded - time.Second)
				if !f.takeStarted(a.Job.ID) || !f.hasRow(row.Key) {
					t.Fatal("the job has not run, or its row has been deleted too soon")
				}
				if c.before != nil {
					c.before(f)
				}
				time.Sleep(keepEnded)
				if f.hasRow(row.Key) {
					t.Fatal("the row has not been deleted")
				}
				if c.after != nil {
					c.after(f, o, a, row)
				}
				time.Sleep(3 * keepEnded)
				if again := f.takeStarted(a.Job.ID); again != c.again {
					t.Errorf("the job runs again: %v", again)
				}
			})
		})
	}
}

// The memory of deleted jobs must not grow for ever, and must last until no change from
// before the deletion can follow, however far behind the change feed is.
func TestDeletedJobsAreForgotten(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	d := newDeletedJobs()
	d.add(now, []deletedJob{{id: "a", version: 10}, {id: "b", version: 11}})
	d.forget(now.Add(minDeletedJobMemory-1), 20)
	if !d.has("a") || !d.has("b") {
		t.Error("deletions were forgotten too soon")
	}
	d = newDeletedJobs()
	d.add(now, []deletedJob{{id: "a", version: 10}, {id: "b", version: 11}})
	d.forget(now.Add(time.Hour), 10)
	if d.has("a") || !d.has("b") || len(d.queue) != 1 {
		t.Errorf("%v are remembered; want b, since changes from before its deletion may follow", d.versions)
	}
	d.add(now.Add(time.Hour), []deletedJob{{id: "b", version: 30}})
	d.forget(now.Add(time.Hour), 20)
	if !d.has("b") {
		t.Error("a later deletion was forgotten with an earlier one")
	}
}
