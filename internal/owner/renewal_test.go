package owner

import (
	"testing"
	"testing/synctest"
	"time"
)

// An owner whose event loop is behind by 6 s must renew the leases of workers that answer.
func TestRenewalsDoNotWaitBehindOtherEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(4)
		o := p.startOwner()
		defer o.Close()
		time.Sleep(2 * time.Second)
		for range 6000 {
			o.put(loopFunc(func(*Owner) { time.Sleep(time.Millisecond) }))
		}
		for range 5 {
			time.Sleep(time.Second)
			if p.longestLease() < p.clock() {
				t.Fatalf("%v after the start the leases have expired", p.clock())
			}
		}
	})
}

// Renewals must not wait until as many slow events have been handled as may go before a
// decision.
func TestRenewalsDoNotWaitForManySlowEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(4)
		o := p.startOwner()
		defer o.Close()
		time.Sleep(2 * time.Second)
		for range maxEventsPerDecision / 2 {
			o.put(loopFunc(func(*Owner) { time.Sleep(40 * time.Millisecond) }))
		}
		for range 5 {
			time.Sleep(time.Second)
			if p.longestLease() < p.clock() {
				t.Fatalf("%v after the start the leases have expired", p.clock())
			}
		}
	})
}
