package owner

import (
	"testing"
	"testing/synctest"
	"time"
)

// setSilent makes the store answer nothing, or answer again. Calls that were sent while it
// was silent get no response.
func (p *fakePlatform) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.commitsHang, p.readTakes = silent, 0
	if silent {
		p.readTakes = time.Hour
	}
}

// A commit that was sent to a silent store has no response, so that an owner that waits
// for it is replaced although the store is back. It must commit before hosts, which have
// been able to read the store again, count the row as unchanged for their timeout.
func TestOwnerCommitsSoonAfterTheStoreWasSilent(t *testing.T) {
	for _, silent := range []time.Duration{1500 * time.Millisecond, 2900 * time.Millisecond, 4200 * time.Millisecond, 7 * time.Second} {
		t.Run(silent.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakePlatform(4)
				p.otherHosts = 4
				o := p.startOwner()
				defer o.Close()
				time.Sleep(2 * time.Second)
				p.setSilent(true)
				time.Sleep(silent)
				p.setSilent(false)
				_, before := p.ownerRow()
				time.Sleep(ownerTimeout)
				if _, after := p.ownerRow(); after == before {
					t.Error("the row has not been written")
				}
			})
		})
	}
}

// A store that is only slow must not get a second transaction while the first one is on
// its way.
func TestSlowCommitIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(4)
		o := p.startOwner()
		defer o.Close()
		time.Sleep(2 * time.Second)
		p.mu.Lock()
		p.commitTakes, p.readTakes = 1200*time.Millisecond, 300*time.Millisecond
		p.mu.Unlock()
		time.Sleep(10 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.mostCommits != 1 {
			t.Errorf("%d commits at a time", p.mostCommits)
		}
	})
}
