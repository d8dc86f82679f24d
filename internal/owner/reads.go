package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

const (
	// readTimeout is the timeout for reading the store in a takeover, and for
	// rereading a table whose history the store has compacted. It allows for a link
	// of low bandwidth.
	readTimeout = 15 * time.Second
	// hedgeFactor times the longest of the first reads that have completed is the
	// hedge delay, at most maxHedgeDelay. A call that takes longer is hedged: the
	// read is sent again.
	hedgeFactor   = 3
	maxHedgeDelay = 3 * time.Second
	// minHedgeDelay is the minimum hedge delay with unlimited bandwidth. Added to it
	// is largestReadTime, which the largest response takes when reads are not
	// concurrent, divided by the concurrent reads that the link allows.
	minHedgeDelay   = 400 * time.Millisecond
	largestReadTime = 2200 * time.Millisecond
	// hedgeCheckInterval is the interval at which an open read is checked, and the
	// longest delay before one is retried whose connection broke. After a rejection the
	// delay is rejectedDelay longer, as the store may be at its rate limit.
	hedgeCheckInterval = 25 * time.Millisecond
	rejectedDelay      = 75 * time.Millisecond
	// maxOpenCalls limits the calls of one read that have no response, and
	// maxRejectedCalls is the number of calls rejected by the store after which the
	// read fails: another host may be served.
	maxOpenCalls     = 8
	maxRejectedCalls = 3
	// maxBrokenCalls is the same number for calls that fail in another way. A store
	// that breaks connections does so for all hosts, and seldom breaks all of them.
	maxBrokenCalls = 24
	// shortPage is the number of rows of a page after one was too long to be read, and
	// shorterPages the factor by which it falls if that is too long again. A page of the
	// store has 500 rows, and the row of a large job up to 0.5 MB in a response.
	shortPage    = 64
	shorterPages = 8
)

// readLimiter limits the concurrency of a group of reads, and derives their hedge
// delay from the time that the first of them take.
type readLimiter struct {
	slots chan struct{}

	mu sync.Mutex
	// samplesNeeded is the number of reads that still have to complete before the
	// hedge delay is based on longest.
	samplesNeeded int
	longest       time.Duration
}

func newReadLimiter(reads, maxReads int) *readLimiter {
	maxReads = max(maxReads, 1)
	return &readLimiter{slots: make(chan struct{}, maxReads), samplesNeeded: min((reads+1)/2, 2*maxReads)}
}

// observe records the duration of a read.
func (l *readLimiter) observe(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.samplesNeeded == 0 {
		return // later reads may have been hedged
	}
	l.samplesNeeded--
	l.longest = max(l.longest, took)
}

// hedgeDelay returns how long a call may take before its read is sent again.
func (l *readLimiter) hedgeDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.samplesNeeded > 0 {
		return maxHedgeDelay
	}
	least := minHedgeDelay + largestReadTime/time.Duration(cap(l.slots))
	return min(max(hedgeFactor*l.longest, least), maxHedgeDelay)
}

// readAll reads all rows of the ranges. The limiter is shared with other reads that
// begin at the same time.
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
		if errors.Is(err, rowstore.ErrTooLong) && r.Limit != 1 {
			if r.Limit /= shorterPages; r.Limit == 0 {
				r.Limit = shortPage
			}
			o.log.Warn("a page of rows is too long", zap.String("Table", r.Table), zap.String("Part", r.Partition), zap.Int("NextRows", r.Limit))
			continue
		}
		if err != nil {
			return tableRows{}, err
		}
		out.add(tableRows{rows: snapshot.Rows, version: snapshot.Version})
		if !snapshot.More || len(snapshot.Rows) == 0 {
			return out, nil
		}
		// Continue at the smallest name that is greater than the last one.
		r.From = snapshot.Rows[len(snapshot.Rows)-1].Name + "\x00"
	}
}

// readOutcome is the result of one call of a read.
type readOutcome struct {
	snapshot rowstore.Snapshot
	err      error
}

// hedgedRead reads a range, and sends the read again if a call fails or if its
// response may be lost, as it exceeds the hedge delay. It returns the first
// response.
func (o *Owner) hedgedRead(ctx context.Context, r rowstore.Range, limiter *readLimiter) (rowstore.Snapshot, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan readOutcome, maxOpenCalls)
	inFlight, rejected, broken := 0, 0, 0
	var lastCall, retryAt time.Time
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
			if fault.Is(outcome.err, rowstore.KindNotDone) {
				rejected++
				retryAt = o.timers.Now().Add(rejectedDelay)
			} else {
				broken++
			}
			tooLong := errors.Is(outcome.err, rowstore.ErrTooLong)
			if rejected == maxRejectedCalls || broken == maxBrokenCalls || ctx.Err() != nil || tooLong {
				return rowstore.Snapshot{}, outcome.err
			}
			o.log.Debug("a read of the store failed", zap.String("Table", r.Table), zap.String("Part", r.Partition), zap.Error(outcome.err))
		case <-ticker.C:
			now := o.timers.Now()
			late := now.Sub(lastCall) > limiter.hedgeDelay()
			if inFlight == 0 && !now.Before(retryAt) || late && inFlight < maxOpenCalls {
				call()
			}
		}
	}
}
