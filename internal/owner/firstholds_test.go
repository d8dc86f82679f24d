package owner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
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
		const workers, silent = 1100, 220
		p := newFakePlatform(workers)
		for i := range silent {
			p.silent[cell.WorkerID(fmt.Sprintf("w%02d", i))] = true
		}
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
