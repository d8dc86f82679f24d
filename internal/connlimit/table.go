// Package connlimit decides which of the connections of untrusted clients are closed when
// there are too many of them, or when they hold bytes that others need. It does no input
// or output.
package connlimit

import (
	"container/list"
	"time"
)

const (
	// newShare is the share of the connections that clients without a completed request
	// may have together. The rest is for clients that complete their requests.
	newShare = 0.75
	// keptNewShare is the share that such clients keep when others take the rest, so that
	// a new client can be served at all.
	keptNewShare = 0.25
	// grace is how long a connection may hold bytes without progress while others wait for
	// bytes. At 4 KB in this time a body of 256 KB takes 16 s, far longer than a call may.
	grace = 250 * time.Millisecond
)

// Entry is a connection in a Table.
type Entry[T any] struct {
	Value T

	// proven is set once a request has been completed on the connection.
	proven     bool
	closable   bool
	removed    bool
	stalled    bool
	progressAt time.Time
	held       int64
	queue      *list.List
	element    *list.Element
	holder     *list.Element
}

// ProgressAt returns when the connection last made progress.
func (e *Entry[T]) ProgressAt() time.Time { return e.progressAt }

// Stalled reports whether Stalled of the table has returned the connection.
func (e *Entry[T]) Stalled() bool { return e.stalled }

// Table holds the connections of a server. It is not safe for concurrent use.
type Table[T any] struct {
	most int
	// open counts the connections, and unproven those without a completed request.
	open, unproven int
	// fresh and proven have the connections that may be closed, those longest without
	// progress first: without and with a completed request.
	fresh, proven list.List
	// holders has those of them that hold bytes.
	holders list.List
}

// New returns a table of up to a number of connections.
func New[T any](most int) *Table[T] { return &Table[T]{most: most} }

// Open returns the number of connections.
func (t *Table[T]) Open() int { return t.open }

// Add adds a new connection, which may be closed. MakeRoom has to follow.
func (t *Table[T]) Add(e *Entry[T], now time.Time) {
	t.open++
	t.unproven++
	e.progressAt, e.closable = now, true
	t.enlist(e)
}

// Remove removes a connection that has been closed.
func (t *Table[T]) Remove(e *Entry[T]) {
	if e.removed {
		return
	}
	e.removed = true
	t.unlist(e)
	t.open--
	if !e.proven {
		t.unproven--
	}
}

// Progress records that a connection has made progress.
func (t *Table[T]) Progress(e *Entry[T], now time.Time) {
	e.progressAt = now
	if e.element != nil {
		e.queue.MoveToBack(e.element)
	}
	if e.holder != nil {
		t.holders.MoveToBack(e.holder)
	}
}

// Prove records that a request has been completed on a connection.
func (t *Table[T]) Prove(e *Entry[T]) {
	if e.proven || e.removed {
		return
	}
	e.proven = true
	t.unproven--
	if e.element != nil {
		t.unlist(e)
		t.enlist(e)
	}
}

// SetClosable sets whether a connection may be closed. One whose request is being
// processed may not: its client could not tell whether the request has run.
func (t *Table[T]) SetClosable(e *Entry[T], closable bool) {
	if e.closable == closable || e.removed {
		return
	}
	e.closable = closable
	if closable {
		t.enlist(e)
		return
	}
	t.unlist(e)
}

// CloseNext makes a connection the first one to be closed.
func (t *Table[T]) CloseNext(e *Entry[T]) {
	t.SetClosable(e, true)
	if e.element != nil {
		e.queue.MoveToFront(e.element)
	}
}

// Hold records that a connection holds more bytes, or fewer if bytes is negative.
func (t *Table[T]) Hold(e *Entry[T], bytes int64) {
	e.held += bytes
	switch {
	case e.held > 0 && e.element != nil && e.holder == nil:
		e.holder = t.holders.PushBack(e)
	case e.held <= 0 && e.holder != nil:
		t.holders.Remove(e.holder)
		e.holder = nil
	}
}

func (t *Table[T]) enlist(e *Entry[T]) {
	e.queue = &t.fresh
	if e.proven {
		e.queue = &t.proven
	}
	e.element = e.queue.PushBack(e)
	if e.held > 0 {
		e.holder = t.holders.PushBack(e)
	}
}

func (t *Table[T]) unlist(e *Entry[T]) {
	if e.element != nil {
		e.queue.Remove(e.element)
		e.element = nil
	}
	if e.holder != nil {
		t.holders.Remove(e.holder)
		e.holder = nil
	}
}

// MakeRoom removes connections until their number is within its limits after one was
// added, and returns them. The added one is among them if no other may be closed.
func (t *Table[T]) MakeRoom(added *Entry[T]) []*Entry[T] {
	var closed []*Entry[T]
	for !added.removed && (t.open > t.most || float64(t.unproven) > newShare*float64(t.most)) {
		e := t.next(added)
		t.Remove(e)
		closed = append(closed, e)
	}
	return closed
}

// next returns the connection to close for an added one: that without progress for
// longest, of those without a completed request as long as there are many of them.
func (t *Table[T]) next(added *Entry[T]) *Entry[T] {
	fresh, proven := firstOther(&t.fresh, added), firstOther(&t.proven, added)
	switch {
	case fresh != nil && float64(t.unproven) > keptNewShare*float64(t.most):
		return fresh
	case float64(t.unproven) > newShare*float64(t.most):
		return added
	case fresh == nil && proven == nil:
		return added
	case proven == nil || fresh != nil && !fresh.progressAt.After(proven.progressAt):
		return fresh
	}
	return proven
}

// firstOther returns the first connection of a list other than the given one.
func firstOther[T any](queue *list.List, other *Entry[T]) *Entry[T] {
	for element := queue.Front(); element != nil; element = element.Next() {
		if e, _ := element.Value.(*Entry[T]); e != other {
			return e
		}
	}
	return nil
}

// Stalled returns connections that hold bytes without progress, those longest without it
// first, until they hold as many as needed or only those remain that have made progress
// lately. It returns each connection once.
func (t *Table[T]) Stalled(now time.Time, needed int64) []*Entry[T] {
	var stalled []*Entry[T]
	for element := t.holders.Front(); element != nil && needed > 0; element = element.Next() {
		e, _ := element.Value.(*Entry[T])
		if now.Sub(e.progressAt) < grace {
			break
		}
		needed -= e.held
		if !e.stalled {
			e.stalled = true
			stalled = append(stalled, e)
		}
	}
	return stalled
}
