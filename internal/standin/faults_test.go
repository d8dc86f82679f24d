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

// TestSlowTableLeavesTheOutcomeUnknown cancels a slow commit before and after the
// write. Both outcomes are unknown, since the caller cannot tell them apart.
func TestSlowTableLeavesTheOutcomeUnknown(t *testing.T) {
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

// TestAuditCountsOverfullUpstreams stalls an instance that has 8 slots, and sends
// it 8 and 9 requests at once. The audit reports only the latter as overfull.
func TestAuditCountsOverfullUpstreams(t *testing.T) {
	for sent, over := range map[int]int{8: 0, 9: 1} {
		synctest.Test(t, func(t *testing.T) {
			s := newSession(t, false)
			u := s.deployment.Upstreams.Get(instance)
			u.SetStalled(true)
			for range sent {
				go func() {
					response, err := u.Send(t.Context(), platform.UpstreamRequest{ID: "r", Idempotent: true})
					if err != nil || !standin.IsCompleteResponse("r", nil, response.Body) {
						t.Errorf("response %+v, error %v", response, err)
					}
				}()
			}
			synctest.Wait()
			status, err := u.Status(t.Context())
			if err != nil || status.Running != sent {
				t.Errorf("%d requests run, error %v; want %d", status.Running, err, sent)
			}
			u.SetStalled(false)
			synctest.Wait()
			if got := s.deployment.Audit.Findings().OverfullUpstreams; got != over {
				t.Errorf("after %d requests at once: %d upstreams are overfull, want %d", sent, got, over)
			}
		})
	}
}
