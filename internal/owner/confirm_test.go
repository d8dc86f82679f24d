package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
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

// slowCommits is a store whose commits take long, and that loses the response to one read.
type slowCommits struct {
	Store
	reads atomic.Int64
}

// Commit takes longer than a lost read.
func (*slowCommits) Commit(ctx context.Context, _ rowstore.Transaction) (rowstore.Result, error) {
	return rowstore.Result{Version: 1}, sleep(ctx, confirmInterval+confirmTimeout+confirmInterval)
}

// Read gives no rows; the first read has no response.
func (s *slowCommits) Read(ctx context.Context, _ rowstore.Range) (rowstore.Snapshot, error) {
	if s.reads.Add(1) == 1 {
		return rowstore.Snapshot{}, sleep(ctx, time.Hour)
	}
	return rowstore.Snapshot{}, sleep(ctx, fakeLatency)
}

// A store that answers all reads but one is not silent, so that a slow commit must not be
// abandoned.
func TestOneLostReadDoesNotAbandonACommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &Owner{store: &slowCommits{}, timers: timer.NewSystem(), log: zap.NewNop()}
		if _, err := o.commitConfirmed(t.Context(), &committer{}, rowstore.Transaction{}, 1); err != nil {
			t.Errorf("the commit gives %v", err)
		}
		o.calls.Wait()
	})
}
