package relay

import (
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// permission is the owner's permission to make calls in its epoch.
type permission struct {
	clock timer.Clock

	mu    sync.Mutex
	epoch uint64
	// until is when the permission ends, by the clock that includes suspensions.
	until time.Time
}

// grant extends the permission of an epoch, counted from when the ping that asked for
// it was sent. A later epoch replaces an earlier one.
func (p *permission) grant(epoch uint64, sent time.Time, remaining time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := sent.Add(remaining)
	if epoch < p.epoch || epoch == p.epoch && until.Before(p.until) {
		return
	}
	p.epoch, p.until = epoch, until
}

// verify returns an error unless calls of an epoch are permitted now.
func (p *permission) verify(epoch uint64) error {
	now := p.clock.Latest()
	p.mu.Lock()
	defer p.mu.Unlock()
	if epoch != p.epoch {
		return fault.New("relay", KindRefused, "the call is of epoch %d, the permission of epoch %d", epoch, p.epoch)
	}
	if !now.Before(p.until) {
		return fault.New("relay", KindRefused, "the permission of epoch %d has expired %v ago", epoch, now.Sub(p.until))
	}
	return nil
}
