package standin_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/standin"
)

// TestSlowTableLeavesTheOutcomeOpen gives up on a commit on either side of the
// write. The caller cannot tell the two apart.
func TestSlowTableLeavesTheOutcomeOpen(t *testing.T) {
	for name, c := range map[string]struct {
		waited  time.Duration
		written uint64
	}{
		"BeforeTheWrite": {time.Second, 0},
		"AfterTheWrite":  {5 * time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSession(t, false)
				s.deployment.Table.SetSlow(10 * time.Second)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() {
					_, err := s.table.Commit(ctx, platform.Commit{ID: "w", Writes: []platform.Write{{Key: "a"}}})
					done <- err
				}()
				synctest.Wait()
				s.timers.Advance(c.waited)
				synctest.Wait()
				cancel()
				if err := <-done; !fault.Is(err, platform.KindUnknown) {
					t.Errorf("error %v, want an unknown outcome", err)
				}
				if n := s.deployment.Table.Counts().RowsWritten; n != c.written {
					t.Errorf("%d rows were written, want %d", n, c.written)
				}
			})
		})
	}
}

// TestUpstreamBeyondItsSlots stalls an instance that has 8 slots.
func TestUpstreamBeyondItsSlots(t *testing.T) {
	for sent, over := range map[int]int{8: 0, 9: 1} {
		synctest.Test(t, func(t *testing.T) {
			s := newSession(t, false)
			u := s.deployment.Upstreams.Get(instance)
			u.SetStalled(true)
			for range sent {
				go func() {
					answer, err := u.Send(t.Context(), platform.UpstreamRequest{ID: "r", Idempotent: true})
					if err != nil || !standin.IsCompleteResponse("r", nil, answer.Body) {
						t.Errorf("answer %+v, error %v", answer, err)
					}
				}()
			}
			synctest.Wait()
			status, err := u.Status(t.Context())
			if err != nil || status.Running != sent {
				t.Errorf("%d run, error %v; want %d", status.Running, err, sent)
			}
			u.SetStalled(false)
			synctest.Wait()
			if got := s.deployment.Audit.Findings().OverfullUpstreams; got != over {
				t.Errorf("after %d requests at once: %d overfull, want %d", sent, got, over)
			}
		})
	}
}
