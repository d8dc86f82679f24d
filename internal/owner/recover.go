package owner

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

// tableRows are the rows of a table and the version from which to follow it.
type tableRows struct {
	rows    []rowstore.Row
	version uint64
}

// recover reads the store, fills the cell and returns what to follow.
func (o *Owner) recover(ctx context.Context, now time.Time) ([]*feed, error) {
	var intake, progress, waves, workers tableRows
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) { intake, err = o.readAll(ctx, ledger.IntakeRanges()...); return err })
	group.Go(func() (err error) { progress, err = o.readAll(ctx, ledger.ProgressRange()); return err })
	group.Go(func() (err error) { waves, err = o.readAll(ctx, ledger.WavesRange()); return err })
	group.Go(func() (err error) {
		workers, err = o.readAll(ctx, rowstore.Range{Table: o.listing.Table()})
		return err
	})
	if err := group.Wait(); err != nil {
		return nil, fault.New("recover", KindStore, "%w", err)
	}
	o.cell.RestoreAhead(workerIDs(o.tenure.Me.Ahead))
	o.takeIntake(now, intake.rows)
	o.takeProgress(now, progress.rows)
	o.takeCancels(now, intake.rows)
	o.takeWaves(waves.rows)
	o.takeWorkers(now, workers.rows)
	return []*feed{
		{table: ledger.TableIntake, version: intake.version, ranges: ledger.IntakeRanges(), changed: intakeChanged},
		{
			table: o.listing.Table(), version: workers.version, pause: listPause,
			ranges: []rowstore.Range{{Table: o.listing.Table()}}, changed: workersChanged,
		},
	}, nil
}

func workerIDs(names []string) []cell.WorkerID {
	out := make([]cell.WorkerID, len(names))
	for i, name := range names {
		out[i] = cell.WorkerID(name)
	}
	return out
}

// readersAtOnce bounds the reads of the store that run at the same time.
const readersAtOnce = 64

// readAll reads ranges to their end.
func (o *Owner) readAll(ctx context.Context, ranges ...rowstore.Range) (tableRows, error) {
	found := make([]tableRows, len(ranges))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(readersAtOnce)
	for i, r := range ranges {
		group.Go(func() (err error) {
			found[i], err = o.readRange(ctx, r)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return tableRows{}, err
	}
	var out tableRows
	for _, f := range found {
		out.add(f)
	}
	return out, nil
}

func (o *Owner) readRange(ctx context.Context, r rowstore.Range) (tableRows, error) {
	var out tableRows
	for {
		snapshot, err := o.store.Read(ctx, r)
		if err != nil {
			return tableRows{}, err
		}
		out.add(tableRows{rows: snapshot.Rows, version: snapshot.Version})
		if !snapshot.More || len(snapshot.Rows) == 0 {
			return out, nil
		}
		// The smallest name after the last one.
		r.From = snapshot.Rows[len(snapshot.Rows)-1].Name + "\x00"
	}
}

// add joins the rows of another read; the oldest version is the one to follow
// from.
func (t *tableRows) add(o tableRows) {
	t.rows = append(t.rows, o.rows...)
	if t.version == 0 || o.version < t.version {
		t.version = o.version
	}
}

func (o *Owner) takeIntake(now time.Time, rows []rowstore.Row) {
	for _, row := range rows {
		if _, cancel := ledger.IsCancel(row.Name); cancel || row.Removed {
			continue
		}
		a, err := ledger.DecodeJob(row.Value)
		if err != nil {
			o.log.Error("a job's row cannot be read", zap.String("Job", row.Name), zap.Error(err))
			continue
		}
		o.cell.Accept(now, a)
	}
}

func (o *Owner) takeCancels(now time.Time, rows []rowstore.Row) {
	for _, row := range rows {
		if id, cancel := ledger.IsCancel(row.Name); cancel && !row.Removed {
			o.cell.Cancel(now, id)
		}
	}
}

func (o *Owner) takeProgress(now time.Time, rows []rowstore.Row) {
	for _, row := range rows {
		r, err := ledger.DecodeRecord(row.Value)
		if err != nil {
			o.log.Error("a record of progress cannot be read", zap.String("Job", row.Name), zap.Error(err))
			continue
		}
		o.cell.Restore(now, r)
	}
}

func (o *Owner) takeWaves(rows []rowstore.Row) {
	for _, row := range rows {
		r, err := ledger.DecodeWave(row.Value)
		if err != nil {
			o.log.Error("a record of a wave cannot be read", zap.String("Wave", row.Name), zap.Error(err))
			continue
		}
		o.cell.RestoreWave(r)
	}
}

func (o *Owner) takeWorkers(now time.Time, rows []rowstore.Row) {
	for _, row := range rows {
		if row.Removed {
			o.cell.Unlist(now, cell.WorkerID(row.Name))
			continue
		}
		s, err := o.listing.Decode(row)
		if err != nil {
			o.log.Warn("an entry in the list of workers cannot be used", zap.String("Entry", row.Name), zap.Error(err))
			o.cell.Unlist(now, cell.WorkerID(row.Name))
			continue
		}
		o.cell.Register(now, s)
	}
}
