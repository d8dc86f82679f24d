package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/repeat"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// KeyOwner recognizes repeated requests by their idempotency keys. It serves one
// key shard while this host owns the shard.
type KeyOwner struct {
	gained lease.Gained
	guard  Guard
	timers timer.Service

	mu     sync.Mutex
	table  *repeat.Table
	active sync.WaitGroup
	closed bool
}

// NewKeyOwner returns the owner of a gained key shard. closed is the time from
// which the predecessor closed the shard, or the zero time if it is not known.
func NewKeyOwner(g lease.Gained, closed time.Time, guard Guard, timers timer.Service) *KeyOwner {
	k := &KeyOwner{gained: g, guard: guard, timers: timers}
	if closed.IsZero() {
		k.table = repeat.New(repeat.DefaultConfig(), g.First, timers.Now())
	} else {
		k.table = repeat.NewFromHandoff(repeat.DefaultConfig(), closed)
	}
	return k
}

// Do runs a request once for its key and returns the same answer to every repeat.
// The run continues after its caller has gone, since a repeat may ask for its
// answer.
func (k *KeyOwner) Do(ctx context.Context, r message.Request, run func(context.Context) message.Answer) message.Answer {
	if err := k.guard.MayAct(k.gained.Unit, k.gained.Epoch); err != nil {
		return notRun(r.ID, err.Error())
	}
	joined := make(chan message.Answer, 1)
	decision, known, err := k.begin(r, func(a message.Answer) { joined <- a })
	if err != nil {
		return notRun(r.ID, err.Error())
	}
	switch decision {
	case repeat.DecisionRun:
		defer k.active.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.Timeout)
		defer cancel()
		a := run(ctx)
		k.mu.Lock()
		k.table.End(r.Key, a)
		k.mu.Unlock()
		return a
	case repeat.DecisionKnown:
		return withRequestID(r, known)
	case repeat.DecisionJoin:
		return k.join(ctx, r, joined)
	case repeat.DecisionUnknown:
	}
	if r.Idempotent {
		defer k.active.Done()
		return run(ctx)
	}
	return message.Answer{
		ID: r.ID, Outcome: message.OutcomeUnknown,
		Reason: "an earlier owner of the key may have run it",
	}
}

func (k *KeyOwner) begin(r message.Request, joined func(message.Answer)) (repeat.Decision, message.Answer, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return 0, message.Answer{}, fault.New("begin", KindMoved, "the key moves to another owner")
	}
	decision, known, err := k.table.Begin(r.Key, requestDigest(r), k.timers.Now(), joined)
	runs := decision == repeat.DecisionRun || decision == repeat.DecisionUnknown && r.Idempotent
	if err == nil && runs {
		k.active.Add(1)
	}
	return decision, known, err
}

// join waits for the outcome of the request in progress with the same key, until
// the repeat's own deadline.
func (k *KeyOwner) join(ctx context.Context, r message.Request, joined <-chan message.Answer) message.Answer {
	timeout := k.timers.After(max(r.Timeout-answerMargin, 0))
	defer timeout.Stop()
	select {
	case a := <-joined:
		return withRequestID(r, a)
	case <-timeout.C:
	case <-ctx.Done():
	}
	return message.Answer{ID: r.ID, Outcome: message.OutcomeUnknown, Reason: "its first request is still in progress"}
}

// withRequestID returns the answer to the first request of a key as the answer to
// a repeat.
func withRequestID(r message.Request, a message.Answer) message.Answer {
	a.ID = r.ID
	return a
}

// requestDigest returns a digest that distinguishes a repeat from another request
// with the same key.
func requestDigest(r message.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Service, r.Method, r.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Release closes the shard to new requests and waits until those in progress have
// finished. It returns the time for the successor from which the shard is closed.
func (k *KeyOwner) Release() time.Time {
	k.Close()
	k.active.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.UnseenFrom()
}

// Close closes the shard to new requests.
func (k *KeyOwner) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
}
