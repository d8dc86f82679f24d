package owner

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestNewOwnerCallsAFewWorkersAtATime guards against a new owner whose renewals wait
// for the processor behind its first hold calls to all workers.
func TestNewOwnerCallsAFewWorkersAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 1100
		p := newFakePlatform(workers)
		o := p.startOwner()
		defer o.Close()
		time.Sleep(time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.maxFirstHolds > maxFirstHolds || len(p.held) != workers {
			t.Errorf("%d first calls at once, %d of %d workers held after 1 s", p.maxFirstHolds, len(p.held), workers)
		}
	})
}

// TestSilentWorkersDelayNoOthers guards against a new owner that reaches the workers
// that answer only after those that do not.
func TestSilentWorkersDelayNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers, silent = 1100, 220 // those whose ID begins with w0 or w1
		p := newFakePlatform(workers)
		p.silentBelow = "w2"
		o := p.startOwner()
		defer o.Close()
		time.Sleep(time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		if answering := len(p.held); answering < workers-silent {
			t.Errorf("%d workers held after 1 s; %d answer", answering, workers-silent)
		}
	})
}
