package owner

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

const (
	// readTimeout bounds the reads of a takeover, and those of a table whose
	// history the store has dropped, also over a narrow link.
	readTimeout = 15 * time.Second
	// hedgeFactor times the longest of the first reads that have ended is when
	// another one counts as late, at most maxLate.
	hedgeFactor   = 3
	maxHedgeDelay = 3 * time.Second
	// minHedgeDelay is the least such time on an endless link. To it comes largestRead,
	// which one reader needs for the largest answer, divided by the readers that
	// the link bears.
	minHedgeDelay   = 400 * time.Millisecond
	largestReadTime = 2200 * time.Millisecond
	// hedgeCheckInterval is the period at which a read is looked at, and the wait before
	// a failed one is repeated.
	hedgeCheckInterval = 100 * time.Millisecond
	// maxOpenCalls bounds the calls of one read that have no answer, and
	// failedCalls those that fail until the read has failed.
	maxOpenCalls   = 8
	maxFailedCalls = 3
)

// readLimiter tells how long reads that begin together take, and bounds how many of them
// run at the same time.
type readLimiter struct {
	slots chan struct{}

	mu sync.Mutex
	// samplesNeeded is how many reads have to end until it is known how long one takes.
	samplesNeeded int
	longest       time.Duration
}

func newReadLimiter(reads, readers int) *readLimiter {
	readers = max(readers, 1)
	return &readLimiter{slots: make(chan struct{}, readers), samplesNeeded: min((reads+1)/2, 2*readers)}
}

// observe notes how long a read took.
func (l *readLimiter) observe(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.samplesNeeded == 0 {
		return // later ones may have been repeated
	}
	l.samplesNeeded--
	l.longest = max(l.longest, took)
}

// hedgeDelay returns after which time a call counts as late.
func (l *readLimiter) hedgeDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.samplesNeeded > 0 {
		return maxHedgeDelay
	}
	least := minHedgeDelay + largestReadTime/time.Duration(cap(l.slots))
	return min(max(hedgeFactor*l.longest, least), maxHedgeDelay)
}

// readAll reads ranges to their end, at the pace of all reads that begin with them.
func (o *Owner) readAll(ctx context.Context, limiter *readLimiter, ranges ...rowstore.Range) (tableRows, error) {
	found := make([]tableRows, len(ranges))
	group, ctx := errgroup.WithContext(ctx)
	for i, r := range ranges {
		group.Go(func() (err error) {
			select {
			case limiter.slots <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			defer func() { <-limiter.slots }()
			start := o.timers.Now()
			found[i], err = o.readRange(ctx, r, limiter)
			limiter.observe(o.timers.Now().Sub(start))
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return tableRows{}, err
	}
	var out tableRows
	for _, f := range found {
		out.add(f)
	}
	return out, nil
}

func (o *Owner) readRange(ctx context.Context, r rowstore.Range, limiter *readLimiter) (tableRows, error) {
	var out tableRows
	for {
		snapshot, err := o.hedgedRead(ctx, r, limiter)
		if err != nil {
			return tableRows{}, err
		}
		out.add(tableRows{rows: snapshot.Rows, version: snapshot.Version})
		if !snapshot.More || len(snapshot.Rows) == 0 {
			return out, nil
		}
		// The smallest name after the last one.
		r.From = snapshot.Rows[len(snapshot.Rows)-1].Name + "\x00"
	}
}

// readOutcome is how one call of a read went.
type readOutcome struct {
	snapshot rowstore.Snapshot
	err      error
}

// hedgedRead reads once, and again if the call fails or its answer may be lost: it
// is late against other reads. The first answer counts.
func (o *Owner) hedgedRead(ctx context.Context, r rowstore.Range, limiter *readLimiter) (rowstore.Snapshot, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan readOutcome, maxOpenCalls)
	inFlight, failed := 0, 0
	var lastCall time.Time
	call := func() {
		inFlight++
		lastCall = o.timers.Now()
		go func() {
			snapshot, err := o.store.Read(ctx, r)
			outcomes <- readOutcome{snapshot, err}
		}()
	}
	call()
	ticker := o.timers.Every(hedgeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case outcome := <-outcomes:
			if outcome.err == nil {
				return outcome.snapshot, nil
			}
			inFlight--
			failed++
			if failed == maxFailedCalls || ctx.Err() != nil {
				return rowstore.Snapshot{}, outcome.err
			}
			o.log.Debug("a read of the store failed", zap.String("Table", r.Table), zap.String("Part", r.Part), zap.Error(outcome.err))
		case <-ticker.C:
			late := o.timers.Now().Sub(lastCall) > limiter.hedgeDelay()
			if inFlight == 0 || late && inFlight < maxOpenCalls {
				call()
			}
		}
	}
}
