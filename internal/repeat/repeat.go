// Package repeat recognizes repeated requests by their caller's key, so that
// all repeats of a key get the one answer of its only run.
//
// Table belongs to the one owner of a share of the keys. A key carries the time
// at which it was issued (UUID version 7), so an owner can tell a new key from
// one that an earlier owner may have seen.
package repeat

import (
	"container/list"
	"strings"
	"time"

	"github.com/google/uuid"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/message"
)

// Kind tells what was wrong with a key.
type Kind string

const (
	// KindMalformed means that the key is no UUID of version 7.
	KindMalformed Kind = "malformed key"
	// KindFuture means that the key was issued later than now.
	KindFuture Kind = "key from the future"
	// KindReused means that the key was used for another request.
	KindReused Kind = "key of another request"
	// KindBusy means that too many requests with keys are in progress.
	KindBusy Kind = "too many keys in progress"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Config bounds a table.
type Config struct {
	// ClientSkew is how far a caller's clock may be ahead of an entry host's.
	ClientSkew time.Duration
	// HostSkew is how far an entry host's wall clock may be off.
	HostSkew time.Duration
	// KeepFor is how long an answer is kept.
	KeepFor time.Duration
	// MaxBytes bounds the memory of the table.
	MaxBytes int
	// MaxWaiters is how many repeats may wait for one request.
	MaxWaiters int
}

// DefaultConfig returns bounds that keep a table within 3 MB.
func DefaultConfig() Config {
	return Config{
		ClientSkew: 2 * time.Second, HostSkew: 500 * time.Millisecond, KeepFor: 10 * time.Minute, MaxBytes: 3 << 20,
		MaxWaiters: 16,
	}
}

// Decision is what to do with a request.
type Decision int

const (
	// DecisionRun means that the request is the first of its key.
	DecisionRun Decision = iota + 1
	// DecisionJoin means that a request of that key is in progress.
	DecisionJoin
	// DecisionKnown means that the answer is kept.
	DecisionKnown
	// DecisionUnknown means that an earlier owner may have run it, or that its
	// answer is no longer kept.
	DecisionUnknown
)

// Table holds the keys that one owner has seen. It is not safe for concurrent
// use.
type Table struct {
	cfg Config
	// vouchFrom is the time from which on every key came to this owner.
	vouchFrom time.Time
	entries   map[string]*list.Element
	// latest is when the youngest key that ran here was issued.
	latest time.Time
	// order holds the entries, the oldest first.
	order list.List
	bytes int
}

type entry struct {
	key     string
	issued  time.Time
	at      time.Time
	sum     uint64
	done    bool
	answer  message.Answer
	waiters []func(message.Answer)
}

// entryBytes is the memory that an entry needs beside its answer.
const entryBytes = 256

// New returns the table of an owner that took over at the given time of the
// wall clock. first says that there was no owner before. An earlier owner may
// have seen keys that were issued up to Skew ahead of its own clock, which may
// be off against this one's by HostSkew each.
func New(cfg Config, first bool, now time.Time) *Table {
	t := &Table{cfg: cfg, entries: make(map[string]*list.Element)}
	if !first {
		t.vouchFrom = now.Add(cfg.ClientSkew + 2*cfg.HostSkew)
	}
	return t
}

// NewFromHandoff returns the table of an owner whose predecessor has closed its own
// with the given Closed.
func NewFromHandoff(cfg Config, closed time.Time) *Table {
	return &Table{cfg: cfg, entries: make(map[string]*list.Element), vouchFrom: closed}
}

// HandoffTime returns a time such that no key that was issued at it or later has run
// at this owner or an earlier one. It is kept to the millisecond, as keys are.
func (t *Table) HandoffTime() time.Time {
	from := t.latest.Add(time.Millisecond)
	if t.vouchFrom.After(from) {
		from = t.vouchFrom
	}
	return from.Add(time.Millisecond - 1).Truncate(time.Millisecond)
}

// Key is a caller's key in its one spelling, with the time at which it was
// issued.
type Key struct {
	Text   string
	Issued time.Time
}

// ParseKey reads a caller's key. Two spellings of one UUID are the same key.
func ParseKey(text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, fault.New("read key", KindMalformed, "key %q: %w", text, err)
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return Key{}, fault.New("read key", KindMalformed, "key %q is a UUID of version %d; 7 is needed", text, id.Version())
	}
	sec, nsec := id.Time().UnixTime()
	return Key{Text: id.String(), Issued: time.Unix(sec, nsec)}, nil
}

// ParseKeyWithHome reads a caller's key with the name of its home data centre and a
// colon before it. A key that may run only once needs its home: a repeat may
// come to another data centre, and has to find the same one there.
func ParseKeyWithHome(text string, once bool) (home string, key Key, err error) {
	home, rest, named := strings.Cut(text, ":")
	if !named {
		home, rest = "", text
	}
	key, err = ParseKey(rest)
	if err == nil && once && home == "" {
		err = fault.New("read key", KindMalformed, "key %q needs the name of its home data centre and a colon before it", text)
	}
	return home, key, err
}

// Begin decides on a request with a key; sum is a digest of the request. With
// VerdictJoin, answer is called once the request in progress has its outcome.
// After an error the request surely did not run here.
func (t *Table) Begin(text string, sum uint64, now time.Time, answer func(message.Answer)) (Decision, message.Answer, error) {
	key, err := ParseKey(text)
	if err != nil {
		return 0, message.Answer{}, err
	}
	if key.Issued.After(now.Add(t.cfg.ClientSkew)) {
		return 0, message.Answer{}, fault.New("read key", KindFuture,
			"key %q was issued at %v; it is %v", text, key.Issued.UTC(), now.UTC())
	}
	t.expire(now)
	if el, ok := t.entries[key.Text]; ok {
		return t.repeated(el.Value.(*entry), sum, answer)
	}
	t.trim(entryBytes)
	if key.Issued.Before(t.vouchFrom) {
		return DecisionUnknown, message.Answer{}, nil
	}
	if t.bytes+entryBytes > t.cfg.MaxBytes {
		return 0, message.Answer{}, fault.New("begin", KindBusy, "%d keys are in progress", len(t.entries))
	}
	if key.Issued.After(t.latest) {
		t.latest = key.Issued
	}
	t.entries[key.Text] = t.order.PushBack(&entry{key: key.Text, issued: key.Issued, at: now, sum: sum})
	t.bytes += entryBytes
	return DecisionRun, message.Answer{}, nil
}

// repeated decides on the repeat of a key that is kept.
func (t *Table) repeated(e *entry, sum uint64, answer func(message.Answer)) (Decision, message.Answer, error) {
	switch {
	case e.sum != sum:
		return 0, message.Answer{}, fault.New("begin", KindReused, "key %q was used for another request", e.key)
	case e.done:
		return DecisionKnown, e.answer, nil
	case len(e.waiters) >= t.cfg.MaxWaiters:
		return DecisionUnknown, message.Answer{}, nil
	}
	e.waiters = append(e.waiters, answer)
	return DecisionJoin, message.Answer{}, nil
}

// End takes the outcome of a request that Begin let run. A request that did not
// run is forgotten, so that its repeat may run.
func (t *Table) End(text string, a message.Answer) {
	key, err := ParseKey(text)
	el, ok := t.entries[key.Text]
	if err != nil || !ok {
		return
	}
	e := el.Value.(*entry)
	for _, w := range e.waiters {
		w(a)
	}
	e.waiters = nil
	if a.Outcome == message.OutcomeNotRun {
		t.drop(el)
		return
	}
	e.done = true
	e.answer = a
	t.bytes += len(a.Body)
	t.trim(0)
}

// expire forgets the answers that are old.
func (t *Table) expire(now time.Time) {
	t.forget(func(e *entry) bool { return now.Sub(e.at) >= t.cfg.KeepFor })
}

// trim forgets the oldest answers until the table has room for more bytes.
func (t *Table) trim(room int) {
	t.forget(func(*entry) bool { return t.bytes+room > t.cfg.MaxBytes })
}

// forget drops answers, the oldest first, while the condition holds. Keys as
// old as a dropped one can no longer be vouched for.
func (t *Table) forget(while func(*entry) bool) {
	for el := t.order.Front(); el != nil; {
		e := el.Value.(*entry)
		next := el.Next()
		if !while(e) {
			return
		}
		if e.done {
			if at := e.issued.Add(time.Millisecond); at.After(t.vouchFrom) {
				t.vouchFrom = at
			}
			t.drop(el)
		}
		el = next
	}
}

func (t *Table) drop(el *list.Element) {
	e := el.Value.(*entry)
	t.order.Remove(el)
	delete(t.entries, e.key)
	t.bytes -= entryBytes
	if e.done {
		t.bytes -= len(e.answer.Body)
	}
}

// Bytes returns the memory that the table accounts for.
func (t *Table) Bytes() int { return t.bytes }

// Len returns the number of keys that are kept.
func (t *Table) Len() int { return len(t.entries) }
