// Package repeat deduplicates requests by their idempotency key: of the requests
// with one key, at most one runs, and every repeat gets the answer of that run.
//
// Table holds the keys of one key shard and belongs to the shard's single
// owner. A key is a UUID of version 7 and so carries the time at which it was
// issued. From this issue time, an owner tells a new key from one that a predecessor
// may have seen.
package repeat

import (
	"container/list"
	"strings"
	"time"

	"github.com/google/uuid"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/message"
)

// Kind is the kind of an Error.
type Kind string

const (
	// KindMalformed means that the key is not a UUID of version 7, or lacks the
	// home data centre that it needs.
	KindMalformed Kind = "malformed key"
	// KindFuture means that the key was issued further in the future than
	// Config.ClientSkew allows.
	KindFuture Kind = "key from the future"
	// KindReused means that the key was used for a request with another digest.
	KindReused Kind = "key of another request"
	// KindBusy means that the requests in progress fill the table.
	KindBusy Kind = "too many keys in progress"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Config holds the clock tolerances and the limits of a Table.
type Config struct {
	// ClientSkew is how far a client's clock may be ahead of an entry host's.
	ClientSkew time.Duration
	// HostSkew is how far an entry host's wall clock may be off, either way.
	HostSkew time.Duration
	// KeepFor is how long an answer is kept, from the start of its request.
	KeepFor time.Duration
	// MaxBytes bounds the memory that the table accounts for.
	MaxBytes int
	// MaxWaiters is how many repeats may wait for one request in progress.
	MaxWaiters int
}

// DefaultConfig returns a Config that keeps a table within 3 MB.
func DefaultConfig() Config {
	return Config{
		ClientSkew: 2 * time.Second, HostSkew: 500 * time.Millisecond, KeepFor: 10 * time.Minute, MaxBytes: 3 << 20,
		MaxWaiters: 16,
	}
}

// Decision tells the caller of Table.Begin what to do with a request.
type Decision int

const (
	// DecisionRun means that the request is the first of its key and must run.
	DecisionRun Decision = iota + 1
	// DecisionJoin means that a request with that key is in progress; the repeat
	// gets its answer.
	DecisionJoin
	// DecisionKnown means that the request has ended and its answer is kept.
	DecisionKnown
	// DecisionUnknown means that the outcome is unknown: a predecessor may have
	// run the request, its answer is no longer kept, or MaxWaiters repeats wait
	// for it already.
	DecisionUnknown
)

// Table holds the keys that one owner has seen, with the answers of the requests
// that have ended. It is not safe for concurrent use.
type Table struct {
	cfg Config
	// completeFrom is the issue time from which the table is complete: if a key was
	// issued then or later and is not in the table, no request with it has run, here
	// or at a predecessor.
	completeFrom time.Time
	entries      map[string]*list.Element
	// latestIssued is the latest issue time among the keys of the requests that ran
	// here.
	latestIssued time.Time
	// order holds the entries in the order of their arrival, oldest first.
	order list.List
	bytes int
}

type entry struct {
	key     string
	issued  time.Time
	begunAt time.Time
	digest  uint64
	done    bool
	answer  message.Answer
	waiters []func(message.Answer)
}

// entryBytes is the memory that an entry needs besides the body of its answer.
const entryBytes = 256

// New returns the table of an owner that took over at now, by its wall clock.
// first is set when the shard had no owner before. A predecessor accepted keys
// that were issued up to ClientSkew ahead of its own clock. Its clock and this
// owner's may each be off by HostSkew, in opposite directions, hence twice
// HostSkew.
func New(cfg Config, first bool, now time.Time) *Table {
	t := &Table{cfg: cfg, entries: make(map[string]*list.Element)}
	if !first {
		t.completeFrom = now.Add(cfg.ClientSkew + 2*cfg.HostSkew)
	}
	return t
}

// NewFromHandoff returns the table of an owner whose predecessor has stopped using
// its own table and handed over unseenFrom, the time that UnseenFrom returned.
func NewFromHandoff(cfg Config, unseenFrom time.Time) *Table {
	return &Table{cfg: cfg, entries: make(map[string]*list.Element), completeFrom: unseenFrom}
}

// UnseenFrom returns an issue time such that no request whose key was issued then or
// later has run at this owner or a predecessor. It is rounded up to the millisecond,
// the resolution of the issue times.
func (t *Table) UnseenFrom() time.Time {
	from := t.latestIssued.Add(time.Millisecond)
	if t.completeFrom.After(from) {
		from = t.completeFrom
	}
	return from.Add(time.Millisecond - 1).Truncate(time.Millisecond)
}

// Key is an idempotency key in canonical form, with the time at which it was
// issued.
type Key struct {
	Text   string
	Issued time.Time
}

// ParseKey parses an idempotency key. All spellings of a UUID are the same key.
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

// ParseKeyWithHome parses an idempotency key that is preceded by the name of its
// home data centre and a colon. requireHome makes the home mandatory; set it for a
// request that must run at most once. A repeat of such a request may arrive in
// another data centre, which finds the table that has seen the first request only
// by the home in the key.
func ParseKeyWithHome(text string, requireHome bool) (home string, key Key, err error) {
	home, rest, named := strings.Cut(text, ":")
	if !named {
		home, rest = "", text
	}
	key, err = ParseKey(rest)
	if err == nil && requireHome && home == "" {
		err = fault.New("read key", KindMalformed, "key %q needs the name of its home data centre and a colon before it", text)
	}
	return home, key, err
}

// Begin decides what to do with a request that carries a key; digest is a digest of
// the request. After DecisionJoin, onAnswer is called when the request in progress
// ends. After an error, the caller must not run the request.
func (t *Table) Begin(text string, digest uint64, now time.Time, onAnswer func(message.Answer)) (Decision, message.Answer, error) {
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
		return t.decideRepeat(el.Value.(*entry), digest, onAnswer)
	}
	t.trim(entryBytes)
	if key.Issued.Before(t.completeFrom) {
		return DecisionUnknown, message.Answer{}, nil
	}
	if t.bytes+entryBytes > t.cfg.MaxBytes {
		return 0, message.Answer{}, fault.New("begin", KindBusy, "%d keys are in progress", len(t.entries))
	}
	if key.Issued.After(t.latestIssued) {
		t.latestIssued = key.Issued
	}
	t.entries[key.Text] = t.order.PushBack(&entry{key: key.Text, issued: key.Issued, begunAt: now, digest: digest})
	t.bytes += entryBytes
	return DecisionRun, message.Answer{}, nil
}

// decideRepeat decides on a request whose key is in the table.
func (t *Table) decideRepeat(e *entry, digest uint64, onAnswer func(message.Answer)) (Decision, message.Answer, error) {
	switch {
	case e.digest != digest:
		return 0, message.Answer{}, fault.New("begin", KindReused, "key %q was used for another request", e.key)
	case e.done:
		return DecisionKnown, e.answer, nil
	case len(e.waiters) >= t.cfg.MaxWaiters:
		return DecisionUnknown, message.Answer{}, nil
	}
	e.waiters = append(e.waiters, onAnswer)
	return DecisionJoin, message.Answer{}, nil
}

// End takes the answer of a request for which Begin returned DecisionRun, and
// passes it to the repeats that wait for it. A request that did not run is
// removed from the table, so that a repeat may run.
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
		t.remove(el)
		return
	}
	e.done = true
	e.answer = a
	t.bytes += len(a.Body)
	t.trim(0)
}

// expire removes the answers that are older than KeepFor.
func (t *Table) expire(now time.Time) {
	t.evict(func(e *entry) bool { return now.Sub(e.begunAt) >= t.cfg.KeepFor })
}

// trim removes the oldest answers until n bytes are free.
func (t *Table) trim(n int) {
	t.evict(func(*entry) bool { return t.bytes+n > t.cfg.MaxBytes })
}

// evict removes answers, oldest first, while the condition holds; requests in
// progress stay. It moves completeFrom past each removed key, since the table can
// no longer tell whether a request with a key as old as that has run.
func (t *Table) evict(while func(*entry) bool) {
	for el := t.order.Front(); el != nil; {
		e := el.Value.(*entry)
		next := el.Next()
		if !while(e) {
			return
		}
		if e.done {
			if at := e.issued.Add(time.Millisecond); at.After(t.completeFrom) {
				t.completeFrom = at
			}
			t.remove(el)
		}
		el = next
	}
}

func (t *Table) remove(el *list.Element) {
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

// Len returns the number of keys in the table.
func (t *Table) Len() int { return len(t.entries) }
