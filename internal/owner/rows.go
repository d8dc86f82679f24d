package owner

import (
	"context"
	"maps"
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

// tableRows holds the rows of a table and the version from which to follow it.
type tableRows struct {
	rows    []rowstore.Row
	version uint64
}

// size returns the total size of the rows' values in bytes.
func (t *tableRows) size() int {
	n := 0
	for _, row := range t.rows {
		n += len(row.Value)
	}
	return n
}

// storeRows holds all rows that a new owner reads.
type storeRows struct {
	intake, progress, waves, workers tableRows
}

// readStore reads all rows that a new owner needs.
func (o *Owner) readStore(ctx context.Context) (storeRows, error) {
	var s storeRows
	parts := []struct {
		into   *tableRows
		ranges []rowstore.Range
	}{
		{&s.intake, ledger.IntakeRanges()},
		{&s.progress, []rowstore.Range{ledger.ProgressRange()}},
		{&s.waves, []rowstore.Range{ledger.WavesRange()}},
		{&s.workers, []rowstore.Range{{Table: o.registrations.Table()}}},
	}
	reads := 0
	for _, part := range parts {
		reads += len(part.ranges)
	}
	limiter := newReadLimiter(reads, o.config.MaxReads)
	group, ctx := errgroup.WithContext(ctx)
	for _, part := range parts {
		group.Go(func() (err error) {
			*part.into, err = o.readAll(ctx, limiter, part.ranges...)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return storeRows{}, fault.New("recover", KindStore, "%w", err)
	}
	return s, nil
}

// populate loads the rows into an empty cell.
// It returns the number of rows of each progress record that has several.
func (o *Owner) populate(c *cell.Cell, now time.Time, s *storeRows) map[workload.JobID]int {
	l := o.rowLoader(c)
	l.loadJobs(now, s.intake.rows)
	parts := l.loadProgress(now, s.progress.rows)
	l.loadCancels(now, s.intake.rows)
	l.loadWaves(s.waves.rows)
	l.loadWorkers(now, s.workers.rows, time.Time{})
	return parts
}

// feeds returns the change feeds to follow once the rows have been read.
func (o *Owner) feeds(s *storeRows) []*feed {
	return []*feed{
		{table: ledger.TableIntake, version: s.intake.version, ranges: ledger.IntakeRanges(), newEvent: intakeChanged},
		{
			table: o.registrations.Table(), version: s.workers.version, interval: registrationsInterval,
			ranges: []rowstore.Range{{Table: o.registrations.Table()}}, newEvent: workersChanged,
		},
	}
}

func workerIDs(names []string) []cell.WorkerID {
	out := make([]cell.WorkerID, len(names))
	for i, name := range names {
		out[i] = cell.WorkerID(name)
	}
	return out
}

// add appends the rows of another read. The table is followed from the oldest
// version of all reads.
func (t *tableRows) add(o tableRows) {
	t.rows = append(t.rows, o.rows...)
	if t.version == 0 || o.version < t.version {
		t.version = o.version
	}
}

// rowLoader decodes rows and applies them to a cell.
type rowLoader struct {
	cell          *cell.Cell
	registrations Registrations
	rejected      *malformedRegistrations
	log           *zap.Logger
}

func (o *Owner) rowLoader(c *cell.Cell) rowLoader {
	return rowLoader{cell: c, registrations: o.registrations, rejected: &o.malformedRegistrations, log: o.log}
}

func (l rowLoader) loadJobs(now time.Time, rows []rowstore.Row) {
	for _, row := range rows {
		if _, cancel := ledger.ParseCancelName(row.Name); cancel || row.Deleted || ledger.IsTombstone(row.Value) {
			continue
		}
		a, err := ledger.DecodeJob(row.Value)
		if err != nil {
			l.log.Error("the row of a job cannot be decoded", zap.String("Job", row.Name), zap.Error(err))
			continue
		}
		l.cell.Accept(now, a)
	}
}

func (l rowLoader) loadCancels(now time.Time, rows []rowstore.Row) {
	for _, row := range rows {
		if id, cancel := ledger.ParseCancelName(row.Name); cancel && !row.Deleted {
			l.cell.Cancel(now, id)
		}
	}
}

// loadProgress returns the number of rows of each record that has several.
func (l rowLoader) loadProgress(now time.Time, rows []rowstore.Row) map[workload.JobID]int {
	records, malformed := ledger.GroupRecords(rows)
	for _, row := range malformed {
		l.log.Error("the row of a progress record has a malformed name", zap.String("Row", row.Name))
	}
	parts := make(map[workload.JobID]int)
	for _, id := range slices.Sorted(maps.Keys(records)) {
		if n := records[id].Count(); n > 1 {
			parts[id] = n
		}
		value, err := records[id].Join()
		var r cell.Record
		if err == nil {
			r, err = ledger.DecodeRecord(value)
		}
		if fault.Is(err, ledger.KindSupplement) {
			l.log.Error("the supplement of a progress record cannot be decoded; its crashes no longer count", zap.String("Job", string(id)), zap.Error(err))
			err = nil
		}
		if err != nil {
			l.log.Error("the progress record of a job cannot be decoded", zap.String("Job", string(id)), zap.Error(err))
			continue
		}
		l.cell.Restore(now, r)
	}
	return parts
}

func (l rowLoader) loadWaves(rows []rowstore.Row) {
	for _, row := range rows {
		r, err := ledger.DecodeWave(row.Value)
		if err != nil {
			l.log.Error("the record of a wave cannot be decoded", zap.String("Wave", row.Name), zap.Error(err))
			continue
		}
		l.cell.RestoreWave(r)
	}
}

// loadWorkers loads the entries of workers, which the store did not have at the time
// after; zero if no such time is known.
func (l rowLoader) loadWorkers(now time.Time, rows []rowstore.Row, after time.Time) {
	for _, row := range rows {
		if row.Deleted {
			l.rejected.remove(row.Name)
			l.cell.Unlist(now, cell.WorkerID(row.Name))
			continue
		}
		s, err := l.registrations.Decode(row)
		if err != nil {
			if l.rejected.add(row.Name) {
				l.log.Warn("the registration of a worker cannot be decoded", zap.String("Entry", row.Name), zap.Error(err))
			}
			l.cell.RejectEntry(now, cell.WorkerID(row.Name))
			continue
		}
		l.rejected.remove(row.Name)
		s.WrittenAfter = after
		l.cell.Register(now, s)
	}
}
