package owner

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestReportsInTheQueueAreNoSilence guards against an owner that takes all workers for
// silent, since it was busy itself while their reports arrived.
func TestReportsInTheQueueAreNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 5
		p := newFakePlatform(workers)
		o := p.startOwner()
		defer o.Close()
		time.Sleep(2 * time.Second)
		o.put(loopFunc(func(*Owner) { time.Sleep(2 * time.Second) }))
		usable := make(chan int, 1)
		for range 2 * maxEventsPerDecision {
			o.put(loopFunc(func(*Owner) {}))
		}
		o.put(loopFunc(func(o *Owner) { usable <- o.cell.Backlog(time.Now()).Workers }))
		if n := <-usable; n != workers {
			t.Errorf("%d of %d workers are usable while their reports wait in the queue", n, workers)
		}
	})
}

// TestSilentWorkerOfADelayedOwnerIsNotUsed checks that a worker which really is silent
// gets no starts once the delay of the owner is over.
func TestSilentWorkerOfADelayedOwnerIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(2)
		o := p.startOwner()
		defer o.Close()
		time.Sleep(2 * time.Second)
		p.mu.Lock()
		p.silent["w00"] = true
		p.mu.Unlock()
		time.Sleep(time.Second)
		o.put(loopFunc(func(*Owner) { time.Sleep(2 * time.Second) }))
		time.Sleep(4 * time.Second)
		usable := make(chan int, 1)
		o.put(loopFunc(func(o *Owner) { usable <- o.cell.Backlog(time.Now()).Workers }))
		if n := <-usable; n != 1 {
			t.Errorf("%d workers are usable; want 1", n)
		}
	})
}
