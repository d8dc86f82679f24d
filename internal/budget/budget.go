// Package budget provides a number of bytes that requests reserve before they use memory.
package budget

import (
	"container/list"
	"context"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	// smallBytes is the largest reservation that may use the share of a budget that is
	// kept from larger ones. Bodies of ordinary jobs have a few kilobytes, and messages
	// between hosts less.
	smallBytes = 32 << 10
	// largeShare is the share of a budget that larger reservations may use together, so
	// that large requests do not keep small ones from being served.
	largeShare = 0.75
	// reclaimInterval is how often a reservation that waits looks for a connection that
	// holds bytes without progress.
	reclaimInterval = 50 * time.Millisecond
)

// Kind is the kind of an Error.
type Kind string

// KindShort means that there were too few bytes for a reservation.
const KindShort Kind = "too few bytes"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Budget is a number of bytes that requests reserve before they use memory. It is safe for
// concurrent use.
type Budget struct {
	timers  timer.Service
	total   int64
	changed func(used int64)

	mu sync.Mutex
	// used is what is reserved, and usedLarge the part of it by large reservations.
	used, usedLarge int64
	// waiting has the reservations that wait, small ones and large ones apart.
	waiting [2]list.List
}

// reservation is a reservation that waits.
type reservation struct {
	bytes   int64
	granted chan struct{}
}

// New returns a budget of a number of bytes. It calls changed with the reserved bytes,
// which must not block.
func New(total int64, timers timer.Service, changed func(used int64)) *Budget {
	return &Budget{timers: timers, total: total, changed: changed}
}

func isLarge(bytes int64) bool { return bytes > smallBytes }

// queue returns the reservations that wait and are of the same class as one of some bytes.
func (b *Budget) queue(bytes int64) *list.List {
	if isLarge(bytes) {
		return &b.waiting[1]
	}
	return &b.waiting[0]
}

// fits reports whether bytes can be reserved now. A single large reservation always can,
// so that a request within the limits of the manifest is served while there is no load,
// however small the host is. The caller holds the lock.
func (b *Budget) fits(bytes int64) bool {
	if isLarge(bytes) {
		within := float64(b.usedLarge+bytes) <= largeShare*float64(b.total) && b.used+bytes <= b.total
		return b.usedLarge == 0 || within
	}
	return b.used == 0 || b.used+bytes <= b.total
}

// take reserves bytes. The caller holds the lock.
func (b *Budget) take(bytes int64) {
	b.used += bytes
	if isLarge(bytes) {
		b.usedLarge += bytes
	}
	b.changed(b.used)
}

// Acquire reserves bytes. If there are too few, it calls reclaim from time to time, and
// fails with KindShort when wait has passed or the context ends.
func (b *Budget) Acquire(ctx context.Context, bytes int64, wait time.Duration, reclaim func(bytes int64)) error {
	b.mu.Lock()
	queue := b.queue(bytes)
	if queue.Len() == 0 && b.fits(bytes) {
		b.take(bytes)
		b.mu.Unlock()
		return nil
	}
	r := &reservation{bytes: bytes, granted: make(chan struct{})}
	element := queue.PushBack(r)
	b.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	tick := b.timers.Every(reclaimInterval)
	defer tick.Stop()
	for {
		if b.isFirst(queue, element) {
			reclaim(bytes)
		}
		select {
		case <-r.granted:
			return nil
		case <-tick.C:
		case <-ctx.Done():
			return b.giveUp(element)
		}
	}
}

func (b *Budget) isFirst(queue *list.List, element *list.Element) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return queue.Front() == element
}

// giveUp ends the wait of a reservation, which may have been granted meanwhile.
func (b *Budget) giveUp(element *list.Element) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, _ := element.Value.(*reservation)
	select {
	case <-r.granted:
		return nil
	default:
	}
	b.queue(r.bytes).Remove(element)
	b.grant()
	return fault.New("reserve", KindShort, "%d bytes; %d of %d are in use", r.bytes, b.used, b.total)
}

// Release returns bytes that were reserved in one reservation.
func (b *Budget) Release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
	if isLarge(bytes) {
		b.usedLarge -= bytes
	}
	b.grant()
	b.changed(b.used)
}

// grant grants what fits of the reservations that wait, in the order of their arrival in
// each class. The caller holds the lock.
func (b *Budget) grant() {
	for i := range b.waiting {
		queue := &b.waiting[i]
		for first := queue.Front(); first != nil; first = queue.Front() {
			r, _ := first.Value.(*reservation)
			if !b.fits(r.bytes) {
				break
			}
			b.take(r.bytes)
			queue.Remove(first)
			close(r.granted)
		}
	}
}

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
