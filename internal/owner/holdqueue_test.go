package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// takeDue returns the IDs of the loops that are due, in order.
func (q *holdQueue) takeDue(now time.Time) string {
	out := ""
	for h := q.next(now); h != nil; h = q.next(now) {
		out += string(h.id)
	}
	return out
}

func TestHoldQueueOrder(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	loops := make(map[cell.WorkerID]*holdLoop)
	for i := range 6 {
		id := cell.WorkerID(fmt.Sprint(i))
		loops[id] = &holdLoop{id: id, position: notIdle}
	}
	var q holdQueue
	for i, due := range []int{50, 20, 90, 10, 300} {
		q.add(loops[cell.WorkerID(fmt.Sprint(i))], at(due))
	}
	expect := func(now int, want string) {
		t.Helper()
		if got := q.takeDue(at(now)); got != want {
			t.Errorf("at %d ms %q are due, want %q", now, got, want)
		}
	}
	expect(9, "")
	expect(20, "31")
	q.addAcknowledging(loops["3"], at(200))
	q.addAcknowledging(loops["1"], at(200))
	expect(199, "02")
	loops["1"].notBefore = at(250)
	q.committed(at(199))
	expect(199, "3")
	expect(250, "1")
	q.addAcknowledging(loops["5"], at(260))
	expect(260, "5")
	q.committed(at(261)) // it is no longer in the queue
	expect(400, "4")
}

// registeringPlatform is a platform whose workers register and leave while the owner
// runs.
type registeringPlatform struct {
	*fakePlatform
	changed chan rowstore.Row

	mu     sync.Mutex
	held   map[cell.WorkerID]int
	silent map[cell.WorkerID]bool
}

// Follow returns the next change of the registrations.
func (p *registeringPlatform) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Snapshot, error) {
	if table == tableWorkers {
		select {
		case row := <-p.changed:
			return rowstore.Snapshot{Version: after + 1, Rows: []rowstore.Row{row}}, nil
		case <-ctx.Done():
		}
	}
	return p.fakePlatform.Follow(ctx, table, after, wait)
}

// Hold counts the calls to each worker, and fails if the worker is silent.
func (p *registeringPlatform) Hold(ctx context.Context, request cell.HoldRequest, fence uint64) (cell.Report, error) {
	p.mu.Lock()
	p.held[request.Worker]++
	silent := p.silent[request.Worker]
	p.mu.Unlock()
	if silent {
		return cell.Report{}, errors.New("no answer")
	}
	return p.fakePlatform.Hold(ctx, request, fence)
}

// holdsWithin returns the number of hold calls to a worker in the next period.
func (p *registeringPlatform) holdsWithin(period time.Duration, id cell.WorkerID, silent bool) int {
	count := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.silent[id] = silent
		return p.held[id]
	}
	before := count()
	time.Sleep(period)
	return count() - before
}

// A worker that registers while the owner runs, for the first time or after it was
// gone, must get hold calls, and one that is gone none.
func TestWorkersThatRegisterLaterAreHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &registeringPlatform{
			fakePlatform: newFakePlatform(2), changed: make(chan rowstore.Row), held: make(map[cell.WorkerID]int),
			silent: make(map[cell.WorkerID]bool),
		}
		key := rowstore.Key{Table: tableWorkers, Name: "w01"}
		row := p.rows[key]
		delete(p.rows, key)
		ports := portsOf(p, fakeRegistrations{})
		o := p.startOwnerOn(fakeConfig(), ports, timer.NewSystem())
		defer o.Close()
		for range 3 {
			if n := p.holdsWithin(5*time.Second, "w01", false); n > 0 {
				t.Errorf("%d calls to a worker that is not registered", n)
			}
			row.Deleted = false
			p.changed <- row
			if n := p.holdsWithin(5*time.Second, "w01", false); n < 4 || n > 7 {
				t.Errorf("%d calls in 5 s after the registration", n)
			}
			row.Deleted = true
			p.changed <- row
			p.holdsWithin(15*time.Second, "w01", true)
		}
		if n := p.holdsWithin(5*time.Second, "w00", false); n < 4 || n > 7 {
			t.Errorf("%d calls in 5 s to a worker that was there all the time", n)
		}
	})
}

// Of the workers whose reports were handled together, the one whose lease ends first must
// get its next call first.
func TestHoldQueueOrderOfReportsHandledTogether(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var q holdQueue
	for _, sent := range []int{5, 2, 8, 1, 9, 3} {
		h := &holdLoop{id: cell.WorkerID(fmt.Sprint(sent)), position: notIdle, sentAt: now.Add(time.Duration(sent-10) * time.Millisecond)}
		q.add(h, now)
	}
	if got, want := q.takeDue(now), "123589"; got != want {
		t.Errorf("the order is %q, want %q", got, want)
	}
}
