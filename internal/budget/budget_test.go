package budget

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

func TestSingleReservationIsGrantedHoweverLarge(t *testing.T) {
	b := New(1000, timer.NewSystem(), func(int64) {})
	if err := b.Acquire(t.Context(), 1<<20, 0, func(int64) {}); err != nil {
		t.Error(err)
	}
}

// Reservations must stay within the budget, apart from a single small one and a single
// large one that exceed it, and each must be granted or given up.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		total := rapid.Int64Range(1, 8*smallBytes).Draw(rt, "total")
		sizes := rapid.SliceOfN(rapid.Int64Range(1, 4*smallBytes), 1, 40).Draw(rt, "sizes")
		holds := rapid.SliceOfN(rapid.IntRange(0, 2000), len(sizes), len(sizes)).Draw(rt, "holds")
		synctest.Test(t, func(*testing.T) {
			largest := int64(0)
			for _, n := range sizes {
				largest = max(largest, n)
			}
			b := New(total, timer.NewSystem(), func(used int64) {
				if used > total+2*largest {
					rt.Errorf("%d bytes are reserved of %d", used, total)
				}
			})
			for i, n := range sizes {
				go func() {
					time.Sleep(time.Duration(i%7) * 100 * time.Millisecond)
					err := b.Acquire(context.Background(), n, time.Second, func(int64) {})
					if err != nil {
						if !fault.Is(err, KindShort) {
							rt.Error(err)
						}
						return
					}
					time.Sleep(time.Duration(holds[i]) * time.Millisecond)
					b.Release(n)
				}()
			}
			time.Sleep(time.Hour)
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.used != 0 || b.usedLarge != 0 || b.waiting[0].Len()+b.waiting[1].Len() > 0 {
				rt.Errorf("%d bytes are reserved at the end, %d of them large", b.used, b.usedLarge)
			}
		})
	})
}
