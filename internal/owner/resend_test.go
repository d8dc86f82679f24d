package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// silentCommits loses commits, or only their responses, as a silent connection does.
type silentCommits struct {
	*fakePlatform
	// lost is how many of the next commits get no response, and apply is set if they
	// take effect nevertheless.
	lost    atomic.Int32
	apply   atomic.Bool
	commits atomic.Int32
	applied atomic.Int32
	refused atomic.Int32
}

func (p *silentCommits) Commit(ctx context.Context, t rowstore.Transaction) (rowstore.Result, error) {
	p.commits.Add(1)
	lost := p.lost.Add(-1) >= 0
	if lost && !p.apply.Load() {
		<-ctx.Done()
		return rowstore.Result{}, fault.New("commit", rowstore.KindUnknown, "%w", ctx.Err())
	}
	p.mu.Lock()
	current := p.rows[t.Conditions[0].Key].Version
	p.mu.Unlock()
	if current != t.Conditions[0].Version {
		p.refused.Add(1)
		return rowstore.Result{}, fault.New("commit", rowstore.KindConflict, "scripted")
	}
	p.applied.Add(1)
	result, err := p.fakePlatform.Commit(ctx, t)
	if lost {
		<-ctx.Done()
		return rowstore.Result{}, fault.New("commit", rowstore.KindUnknown, "%w", ctx.Err())
	}
	return result, err
}

func withSilentCommits(t *testing.T, test func(t *testing.T, p *silentCommits)) {
	synctest.Test(t, func(t *testing.T) {
		p := &silentCommits{fakePlatform: newFakePlatform(1)}
		o := p.startOwnerOn(fakeConfig(), portsOf(p, fakeRegistrations{}), timer.NewSystem())
		defer o.Close()
		time.Sleep(2 * time.Second)
		test(t, p)
	})
}

// Guards against an owner that is replaced, and starts nothing for seconds, since a
// connection to the store has fallen silent under a commit while new ones work (review
// case 1).
func TestCommitThatIsLostIsSentAgain(t *testing.T) {
	withSilentCommits(t, func(t *testing.T, p *silentCommits) {
		p.lost.Store(1)
		// staleAfter of package host: hosts replace an owner whose row is older.
		const staleAfter = 900 * time.Millisecond
		if gap := p.longestRenewalGap(5 * time.Second); gap >= staleAfter {
			t.Errorf("the row was not renewed for %v", gap)
		}
	})
}

// Guards against a commit that is sent again although it has taken effect, or more than
// once: the store may be slow.
func TestCommitThatIsOnlyNotAnsweredIsNotSentAgain(t *testing.T) {
	withSilentCommits(t, func(t *testing.T, p *silentCommits) {
		p.apply.Store(true)
		p.lost.Store(3)
		time.Sleep(10 * time.Second)
		if p.refused.Load() > 0 || p.commits.Load() != p.applied.Load() {
			t.Errorf("of %d commits %d took effect and %d were refused", p.commits.Load(), p.applied.Load(), p.refused.Load())
		}
	})
	withSilentCommits(t, func(t *testing.T, p *silentCommits) {
		before := p.commits.Load()
		p.lost.Store(1 << 20)
		time.Sleep(commitTimeout)
		if n := p.commits.Load() - before; n > 2 {
			t.Errorf("%d commits are sent within the timeout of one", n)
		}
	})
}
