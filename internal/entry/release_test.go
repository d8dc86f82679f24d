package entry

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/ring"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// A peer fences the incarnation before the query of the release is handled.
func TestReleaseOfAFencedIncarnationSaysThatItIsFenced(t *testing.T) {
	l := &Leases{
		timers: timer.NewSystem(), log: zap.NewNop(), ctx: context.Background(), done: make(chan struct{}),
		events: ring.New[func(time.Time) []lease.Action](leaseEventBuffer),
		err:    fault.New("lease", KindNotOwner, "a peer has fenced this incarnation"),
	}
	close(l.done)
	if err := l.ReleaseAll(t.Context()); !fault.Is(err, KindNotOwner) {
		t.Errorf("the release ends with %v", err)
	}
}
