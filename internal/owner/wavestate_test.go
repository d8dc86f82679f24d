package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	waveBegun = "begun"
	waveEnded = "ended"
)

// waveStore keeps the state of one wave. It carries out the first commit late, without an
// answer.
type waveStore struct {
	Store
	row  *rowstore.Write
	late []rowstore.Transaction
	n    int
}

// Commit applies a transaction if its conditions hold.
func (s *waveStore) Commit(ctx context.Context, t rowstore.Transaction) (rowstore.Result, error) {
	if s.n++; s.n == 1 {
		s.late = append(s.late, t)
		<-ctx.Done()
		return rowstore.Result{}, fault.New("commit", rowstore.KindUnknown, "%w", ctx.Err())
	}
	return rowstore.Result{}, s.apply(t)
}

func (s *waveStore) apply(t rowstore.Transaction) error {
	if len(t.Conditions) > 0 && s.row != nil {
		return fault.New("commit", rowstore.KindConflict, "%w", &rowstore.ConflictError{})
	}
	s.row = &t.Writes[0]
	return nil
}

// WaveRow returns the state of the wave as text.
func (s *waveStore) WaveRow(status cell.WaveStatus) (rowstore.Write, error) {
	if status.Done {
		return rowstore.Write{Value: []byte(waveEnded)}, nil
	}
	return rowstore.Write{Value: []byte(waveBegun)}, nil
}

// The store may carry out the write of a wave's begin after that of its end, and a new owner
// takes up waves that have ended. The operator would wait for ever, or again, for the end.
func TestEndOfAWaveStaysPublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &waveStore{}
		publish := func(status cell.WaveStatus) string {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			o := &Owner{ctx: ctx, store: store, ports: Ports{WaveRows: store}, timers: timer.NewSystem(), log: zap.NewNop()}
			o.publishWave(status)
			time.Sleep(10 * time.Second)
			cancel()
			o.calls.Wait()
			return string(store.row.Value)
		}
		if state := publish(cell.WaveStatus{Wave: 1}); state != waveBegun {
			t.Errorf("the state is %q after the begin", state)
		}
		if state := publish(cell.WaveStatus{Wave: 1, Done: true}); state != waveEnded {
			t.Errorf("the state is %q after the end", state)
		}
		_ = store.apply(store.late[0])
		if state := string(store.row.Value); state != waveEnded {
			t.Errorf("the state is %q after the late write of the begin", state)
		}
		if state := publish(cell.WaveStatus{Wave: 1}); state != waveEnded {
			t.Errorf("the state is %q after a takeover", state)
		}
	})
}
