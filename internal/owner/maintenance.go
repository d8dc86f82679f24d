package owner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

// Machines orders the maintenance of machines.
type Machines interface {
	Maintenance(ctx context.Context, order cell.Maintenance, fence uint64) (cell.MaintenanceOutcome, error)
}

// WaveRows encodes the rows from which the operator reads the progress of a wave.
type WaveRows interface {
	WaveRow(s cell.WaveStatus) (rowstore.Write, error)
}

const (
	// maintenanceTimeout is the timeout of an order for maintenance.
	maintenanceTimeout = 2 * time.Second
	// waveBackoff is the mean delay before a failed write of a wave's state is
	// retried.
	waveBackoff = 500 * time.Millisecond
)

type waveSet struct {
	wave cell.Wave
}

func (e waveSet) apply(o *Owner, now time.Time) { o.cell.SetWave(now, e.wave) }

// SetWave passes a maintenance wave to the owner.
func (o *Owner) SetWave(w cell.Wave) { o.put(waveSet{w}) }

type maintained struct {
	order   cell.Maintenance
	outcome cell.MaintenanceOutcome
}

func (e maintained) apply(o *Owner, now time.Time) { o.cell.Maintained(now, e.order, e.outcome) }

func (o *Owner) maintenance(order cell.Maintenance) {
	o.calls.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, maintenanceTimeout)
		defer cancel()
		outcome := cell.MaintenanceRetry
		ctx, release, err := o.withAuthority(ctx, "maintenance")
		defer release()
		if err == nil {
			outcome, err = o.ports.Machines.Maintenance(ctx, order, o.Epoch())
		}
		if errors.Is(err, cell.ErrFenced) {
			o.endFenced("maintenance", cell.WorkerID(order.Machine))
			return
		}
		if err != nil && o.ctx.Err() == nil {
			o.log.Warn("ordering maintenance failed", zap.String("Machine", order.Machine), zap.Int("Wave", order.Wave), zap.Error(err))
		}
		o.put(maintained{order, outcome})
	})
}

// publishWave writes the state of a wave to the store, with retries until it succeeds.
// That a wave has begun is written only if there is no state yet: the write may be carried
// out after that of the end, or come from an owner that was replaced meanwhile.
func (o *Owner) publishWave(s cell.WaveStatus) {
	write, err := o.ports.WaveRows.WaveRow(s)
	if err != nil {
		o.log.Error("the state of a wave cannot be encoded", zap.Int("Wave", s.Wave), zap.Error(err))
		return
	}
	t := rowstore.Transaction{Writes: []rowstore.Write{write}}
	if !s.Done {
		t.Conditions = []rowstore.Condition{{Key: write.Key}}
	}
	o.calls.Go(func() {
		for o.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(o.ctx, commitTimeout)
			_, err := o.store.Commit(ctx, t)
			cancel()
			if err == nil || fault.Is(err, rowstore.KindConflict) {
				return
			}
			o.log.Warn("the state of a wave could not be written", zap.Int("Wave", s.Wave), zap.Error(err))
			o.sleep(waveBackoff/2 + rand.N(waveBackoff))
		}
	})
}
