package upstream

import (
	"cmp"
	"slices"
	"time"
)

// queue holds the waiting requests of one priority in order of their deadlines,
// the earliest first.
type queue struct {
	items      []queuedRequest
	perCaller  map[string]int
	lastNumber uint64
	// avoiding counts the requests that avoid an instance.
	avoiding int
}

// queuedRequest is a request in a queue. Requests with the same deadline are
// ordered by their numbers, which is the order of their arrival.
type queuedRequest struct {
	request Request
	number  uint64
}

func newQueue() *queue { return &queue{perCaller: make(map[string]int)} }

func (q *queue) push(r Request) {
	q.lastNumber++
	w := queuedRequest{request: r, number: q.lastNumber}
	at, _ := slices.BinarySearchFunc(q.items, w, func(a, b queuedRequest) int {
		return cmp.Or(a.request.Deadline.Compare(b.request.Deadline), cmp.Compare(a.number, b.number))
	})
	q.items = slices.Insert(q.items, at, w)
	q.perCaller[r.Caller]++
	if r.Avoid != "" {
		q.avoiding++
	}
}

// countUpTo returns the number of requests whose deadline is not after the
// given one.
func (q *queue) countUpTo(deadline time.Time) int {
	at, _ := slices.BinarySearchFunc(q.items, deadline, func(w queuedRequest, d time.Time) int {
		if w.request.Deadline.After(d) {
			return 1
		}
		return -1
	})
	return at
}

func (q *queue) remove(at int) Request {
	r := q.items[at].request
	q.items = slices.Delete(q.items, at, at+1)
	q.perCaller[r.Caller]--
	if r.Avoid != "" {
		q.avoiding--
	}
	if q.perCaller[r.Caller] == 0 {
		delete(q.perCaller, r.Caller)
	}
	return r
}

// withdraw removes the request with an ID and reports whether it was queued.
func (q *queue) withdraw(id string) bool {
	at := slices.IndexFunc(q.items, func(w queuedRequest) bool { return w.request.ID == id })
	if at < 0 {
		return false
	}
	q.remove(at)
	return true
}

// largestCaller returns the caller with the most waiting requests and their
// number. Of several such callers it is the first by name.
func (q *queue) largestCaller() (caller string, n int) {
	for c, m := range q.perCaller {
		if m > n || m == n && c < caller {
			caller, n = c, m
		}
	}
	return caller, n
}

// shedLatest removes the caller's request with the latest deadline. The caller
// must have a request in the queue.
func (q *queue) shedLatest(caller string) Request {
	for at := len(q.items) - 1; at > 0; at-- {
		if q.items[at].request.Caller == caller {
			return q.remove(at)
		}
	}
	return q.remove(0)
}
