package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// lossTime is how long answers of the store are lost, lossShare the share of the writes
	// that is drawn for it, and maxShare the largest that may come of that. Such a write is
	// done between earliest and latest after it was sent.
	lossTime  = 4500 * time.Millisecond
	lossShare = 0.35
	maxShare  = 0.35
	earliest  = 1 * time.Second
	latest    = 6 * time.Second
	// patience is after what time a client leaves.
	patience = 900 * time.Millisecond
	// cancelTime and stopTimeout are cancel_ms and stop_timeout_ms.
	cancelTime  = 3 * time.Second
	stopTimeout = 200 * time.Millisecond
	// ordinary and impatient are the numbers of clients.
	ordinary  = 30
	impatient = 18
	// firstLeaves is when the first client that leaves hands in its job, and nextLeaves
	// how much later the next.
	firstLeaves = 1 * time.Second
	nextLeaves  = 180 * time.Millisecond
	// lookAt is when it is looked what runs, with no impairment for much longer than contact.
	lookAt = 20 * time.Second
)

// impatientJob returns the ID of a job whose client leaves.
func impatientJob(n int) string { return fmt.Sprintf("bad0%012x", n) }

// playCancel has clients leave whose submission is not answered, since the store loses
// answers, and cancel their jobs. It looks whether these jobs run although their cancels
// were answered.
func playCancel(b *bed, trouble bool) verdict {
	b.mu.Lock()
	b.behaves = func(_ *worker, task string, _ int) behaviour {
		if strings.HasPrefix(task, "bad0") {
			return behaviour{} // it lasts
		}
		return behaviour{time.Second, "done"}
	}
	b.mu.Unlock()
	short := jobBody("hold", step{"count": 2, "cpu": 1000, "mem_mb": 512, "estimate_ms": 1000})
	lasting := jobBody("watch", step{"count": 2, "cpu": 1000, "mem_mb": 512, "estimate_ms": 500, "long_running": true, "image": "watcher"})
	begin := time.Now()
	var writes, lost int
	var mu sync.Mutex
	if trouble {
		b.note("the store loses answers for %v", lossTime)
		b.store.setFate(func(t transaction) fate {
			mu.Lock()
			defer mu.Unlock()
			if time.Since(begin) >= lossTime {
				return fate{}
			}
			writes++
			if rand.Float64() < lossShare && float64(lost+1) <= maxShare*float64(writes) {
				lost++
				return fate{after: earliest + time.Duration(rand.Int64N(int64(latest-earliest))), lost: true}
			}
			return fate{}
		})
	}
	var clients sync.WaitGroup
	for n := range ordinary {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * lossTime / ordinary)
			b.call(b.hosts[n%len(b.hosts)], "POST", fmt.Sprintf("600d%012x", n), short)
		})
	}
	acked := make([]time.Time, impatient)
	for n := range impatient {
		clients.Go(func() {
			time.Sleep(firstLeaves + time.Duration(n)*nextLeaves)
			b.callWithin(patience, b.hosts[n%len(b.hosts)], "POST", impatientJob(n), lasting)
			time.Sleep(time.Until(begin.Add(firstLeaves + time.Duration(n)*nextLeaves + patience)))
			acked[n] = b.cancel(n)
		})
	}
	clients.Wait()
	if trouble {
		b.note("the answers of %d of %d writes were lost", lost, writes)
		if lost == 0 || float64(lost) > maxShare*float64(writes) {
			return notPlayed
		}
	}
	time.Sleep(time.Until(begin.Add(lookAt)))
	out := held
	for n, at := range acked {
		if at.IsZero() {
			b.note("the cancel of %s was not answered", impatientJob(n))
			return notPlayed
		}
		for i := range 2 {
			task := fmt.Sprintf("%s.0.0.%d", impatientJob(n), i)
			if since := time.Since(at); len(b.runsOf(task)) > 0 && since > cancelTime+stopTimeout {
				b.note("%s runs %v after its cancel was answered", task, since.Round(time.Millisecond))
				out = broken
			}
		}
		b.call(b.hosts[0], "GET", impatientJob(n), nil)
	}
	return out
}

// cancel cancels a job, at one host after the other, until that is answered with 2xx or 410.
// It returns when.
func (b *bed) cancel(n int) time.Time {
	for try := range 12 {
		a := b.call(b.hosts[(n+try)%len(b.hosts)], "DELETE", impatientJob(n), nil)
		if a.status == 410 || a.status/100 == 2 {
			return time.Now()
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}
}
