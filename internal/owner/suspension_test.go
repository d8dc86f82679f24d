package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// An owner that resumes after more than a lease may have been replaced, and a lease
// that it extends then may outlive the wait of its successor.
func TestResumedOwnerExtendsNoLeaseUnconfirmed(t *testing.T) {
	for _, c := range []struct {
		name      string
		suspended time.Duration
		frozen    time.Duration
		inFlight  bool
		extends   bool
	}{
		{"suspended for longer than a lease", 4 * time.Second, 0, false, false},
		{"frozen for longer than a lease", 0, 4 * time.Second, false, false},
		{"suspended with a commit in flight", 4 * time.Second, 0, true, false},
		{"suspended for less than a lease, store away", 3 * time.Second, 0, false, true},
		{"never suspended, store away", 0, 0, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakePlatform(1)
				p.runTakes = time.Minute
				timers := &suspendableTimers{System: timer.NewSystem()}
				o := p.startOwnerWith(fakeConfig(), timers)
				defer o.Close()
				accept(o, 1, 1)
				time.Sleep(2 * time.Second)
				p.hang(true)
				if c.inFlight {
					time.Sleep(400 * time.Millisecond)
				}
				timers.suspended.Store(int64(c.suspended))
				o.put(loopFunc(func(*Owner) { time.Sleep(c.frozen) }))
				time.Sleep(c.frozen)
				before := p.longestLease()
				time.Sleep(2500 * time.Millisecond)
				if extended := p.longestLease() > before; extended != c.extends {
					t.Errorf("lease extended without a confirmation: %v", extended)
				}
				p.hang(false)
				time.Sleep(4 * time.Second)
				if p.longestLease() < p.clock() {
					t.Error("no lease was extended after a commit confirmed the ownership")
				}
			})
		})
	}
}

// longestLease returns the latest lease deadline that the workers were sent.
func (p *fakePlatform) longestLease() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaseUntil
}

// An owner that is cut off and suspended several times, each time for less than a lease,
// must not extend leases in between for longer than its successor waits.
func TestCutOffOwnerSuspendedSeveralTimesExtendsNoLease(t *testing.T) {
	for _, c := range []struct {
		name    string
		cut     bool
		extends bool
	}{
		{"cut off from the store and the hosts", true, false},
		{"only the store is away", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakePlatform(1)
				p.otherHosts = 7
				timers := &suspendableTimers{System: timer.NewSystem()}
				o := p.startOwnerWith(fakeConfig(), timers)
				defer o.Close()
				time.Sleep(2 * time.Second)
				p.hang(true)
				if c.cut {
					p.mu.Lock()
					p.heardAt = time.Now()
					p.mu.Unlock()
				}
				for range 2 {
					timers.suspended.Add(int64(2 * time.Second))
					time.Sleep(500 * time.Millisecond)
				}
				before := p.longestLease()
				time.Sleep(1500 * time.Millisecond)
				if extended := p.longestLease() > before; extended != c.extends {
					t.Errorf("lease extended: %v", extended)
				}
			})
		})
	}
}
