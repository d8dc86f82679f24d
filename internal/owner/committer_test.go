package owner

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cicadabarrow.example/cicadabarrow/internal/ledger"
)

// ownerRow returns the owner's row in the store with its version.
func (p *fakePlatform) ownerRow() (ledger.Owner, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.rows[ledger.OwnerKey()]
	o, err := ledger.DecodeOwner(row.Value)
	if err != nil {
		panic(err)
	}
	return o, row.Version
}

// longestRenewalGap watches the owner's row for a time and returns for how long it
// was unchanged at most.
func (p *fakePlatform) longestRenewalGap(watched time.Duration) time.Duration {
	_, last := p.ownerRow()
	changedAt, longest := time.Now(), time.Duration(0)
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, version := p.ownerRow(); version != last {
			last, changedAt = version, time.Now()
		}
		longest = max(longest, time.Since(changedAt))
	}
	return longest
}

// keepBusy makes each iteration of the event loop take a time.
func keepBusy(o *Owner, round time.Duration) {
	for o.ctx.Err() == nil {
		o.put(loopFunc(func(*Owner) { time.Sleep(round) }))
		time.Sleep(round + time.Millisecond)
	}
}

// ownerTimeout is how long hosts wait for a renewal of a silent owner.
const ownerTimeout = 600 * time.Millisecond

// TestBusyEventLoopDelaysNoRenewal guards against the takeover from a live owner whose
// event loop takes half a second for each iteration.
func TestBusyEventLoopDelaysNoRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(4)
		p.runTakes = time.Second
		o := p.startOwner()
		defer o.Close()
		time.Sleep(time.Second)
		accept(o, 50, 4)
		var busy sync.WaitGroup
		defer busy.Wait()
		defer o.Close()
		busy.Go(func() { keepBusy(o, 500*time.Millisecond) })
		time.Sleep(time.Second)
		if gap := p.longestRenewalGap(20 * time.Second); gap >= ownerTimeout {
			t.Errorf("the row was not renewed for %v", gap)
		}
	})
}

// TestCommitOutcomeDoesNotWaitBehindEvents guards against commits that follow each
// other only when all events that were queued before have been handled.
func TestCommitOutcomeDoesNotWaitBehindEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(1)
		o := p.startOwner()
		defer o.Close()
		time.Sleep(time.Second)
		o.put(loopFunc(func(o *Owner) { o.renewAt = time.Now() }))
		slow := loopFunc(func(*Owner) { time.Sleep(time.Millisecond) })
		for range 3 * maxEventsPerDecision {
			o.put(slow)
		}
		waits := make(chan bool, 1)
		o.put(loopFunc(func(o *Owner) { waits <- o.committing }))
		for range 2 * maxEventsPerDecision {
			o.put(slow)
		}
		if <-waits {
			t.Error("the outcome of the commit waits behind later events")
		}
	})
}

// TestStuckEventLoopEndsRenewals guards against an owner that keeps the cell although
// it decides nothing.
func TestStuckEventLoopEndsRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(1)
		o := p.startOwner()
		defer o.Close()
		time.Sleep(time.Second)
		o.put(loopFunc(func(*Owner) { time.Sleep(10 * time.Second) }))
		time.Sleep(maxIterationTime + ownerTimeout)
		if gap := p.longestRenewalGap(5 * time.Second); gap < 5*time.Second-time.Millisecond {
			t.Errorf("the row was renewed after %v", gap)
		}
		time.Sleep(5 * time.Second)
		if gap := p.longestRenewalGap(5 * time.Second); gap >= ownerTimeout {
			t.Errorf("the row was not renewed for %v once the event loop ran again", gap)
		}
	})
}

// TestRenewalNamesEarlyStartWorkers guards against a renewal without a batch from
// which a successor would not learn where unrecorded runs may be.
func TestRenewalNamesEarlyStartWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(1)
		p.inherited = []string{"silent"}
		o := p.startOwner()
		defer o.Close()
		time.Sleep(time.Second)
		_, before := p.ownerRow()
		o.put(loopFunc(func(*Owner) { time.Sleep(maxIterationTime) }))
		time.Sleep(maxIterationTime)
		if row, version := p.ownerRow(); version == before || !slices.Equal(row.EarlyStartWorkers, p.inherited) {
			t.Errorf("version %d after %d names %v; want %v", version, before, row.EarlyStartWorkers, p.inherited)
		}
	})
}

// TestNoRenewalAfterRelease guards against a renewal that takes back the release of
// the row, whose response was lost.
func TestNoRenewalAfterRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(1)
		o := p.startOwner()
		defer o.Close()
		time.Sleep(time.Second)
		p.hang(true)
		o.put(releaseRequested{})
		time.Sleep(commitTimeout - 100*time.Millisecond)
		o.put(loopFunc(func(*Owner) { time.Sleep(maxIterationTime) }))
		time.Sleep(150 * time.Millisecond)
		_, before := p.ownerRow()
		p.hang(false)
		time.Sleep(maxIterationTime - 200*time.Millisecond)
		if _, version := p.ownerRow(); version != before {
			t.Error("the row was renewed although it may have been released")
		}
	})
}

// TestLateRenewalDoesNotLookOld guards against a row that looks as if it had not been
// renewed for long, since its owner had renewed it late.
func TestLateRenewalDoesNotLookOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(1)
		o := p.startOwner()
		defer o.Close()
		time.Sleep(time.Second)
		p.hang(true)
		time.Sleep(commitTimeout)
		p.hang(false)
		_, before := p.ownerRow()
		row, version := p.ownerRow()
		for ; version == before; row, version = p.ownerRow() {
			time.Sleep(time.Millisecond)
		}
		if age := p.clock() - row.WrittenAfter; age > 10*fakeLatency {
			t.Errorf("a row that has just been written may be %v old", age)
		}
	})
}

// TestLateRenewalIsLogged guards against a log of the owner that does not tell whether
// the store or its own event loop was late when it was replaced.
func TestLateRenewalIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		p := newFakePlatform(1)
		p.log = zap.New(core)
		o := p.startOwner()
		defer o.Close()
		time.Sleep(2 * time.Second)
		if late := logs.FilterMessage("the row was renewed late").Len(); late > 0 {
			t.Errorf("an idle owner renewed its row late %d times", late)
		}
		o.put(loopFunc(func(*Owner) { time.Sleep(2 * maxIterationTime) }))
		time.Sleep(3 * maxIterationTime)
		late := logs.FilterMessage("the row was renewed late").All()
		if len(late) == 0 {
			t.Fatal("a late renewal was not logged")
		}
		known := late[0].ContextMap()
		if since, ok := known["Unrenewed"].(time.Duration); !ok || since < maxIterationTime {
			t.Errorf("logged %v", known)
		}
	})
}

// TestIdleOwnerCommitsOncePerInterval guards against renewals without a batch beside
// those of the event loop, since each call to the store has a price.
func TestIdleOwnerCommitsOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(1)
		o := p.startOwner()
		defer o.Close()
		time.Sleep(time.Second)
		_, before := p.ownerRow()
		const watched = 20 * time.Second
		time.Sleep(watched)
		_, after := p.ownerRow()
		if commits, most := after-before, uint64(watched/fakeConfig().RenewEvery); commits > most {
			t.Errorf("%d commits in %v; want %d at most", commits, watched, most)
		}
	})
}
