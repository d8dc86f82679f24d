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

// KeyOwner recognizes the repeats of the keys of one share while this host owns
// that share.
type KeyOwner struct {
	gained lease.Gained
	guard  Guard
	timers timer.Service

	mu     sync.Mutex
	table  *repeat.Table
	active sync.WaitGroup
	closed bool
}

// NewKeyOwner returns the owner of a gained share. closed is the word of the
// owner before it, or the zero time.
func NewKeyOwner(g lease.Gained, closed time.Time, guard Guard, timers timer.Service) *KeyOwner {
	k := &KeyOwner{gained: g, guard: guard, timers: timers}
	if closed.IsZero() {
		k.table = repeat.New(repeat.DefaultConfig(), g.First, timers.Now())
	} else {
		k.table = repeat.NewFromHandoff(repeat.DefaultConfig(), closed)
	}
	return k
}

// Do runs a request once for its key, and gives every repeat the same answer.
// The run goes on when its caller has left, since a repeat may ask for it.
func (k *KeyOwner) Do(ctx context.Context, r message.Request, run func(context.Context) message.Answer) message.Answer {
	if err := k.guard.MayAct(k.gained.Unit, k.gained.Epoch); err != nil {
		return notRun(r.ID, err.Error())
	}
	joined := make(chan message.Answer, 1)
	verdict, known, err := k.begin(r, func(a message.Answer) { joined <- a })
	if err != nil {
		return notRun(r.ID, err.Error())
	}
	switch verdict {
	case repeat.DecisionRun:
		defer k.active.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.Deadline)
		defer cancel()
		a := run(ctx)
		k.mu.Lock()
		k.table.End(r.Key, a)
		k.mu.Unlock()
		return a
	case repeat.DecisionKnown:
		return answerTo(r, known)
	case repeat.DecisionJoin:
		return k.join(ctx, r, joined)
	case repeat.DecisionUnknown:
	}
	if r.Idempotent {
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
	verdict, known, err := k.table.Begin(r.Key, digest(r), k.timers.Now(), joined)
	if err == nil && verdict == repeat.DecisionRun {
		k.active.Add(1)
	}
	return verdict, known, err
}

// join waits for the outcome of the key's request in progress, within the
// repeat's own deadline.
func (k *KeyOwner) join(ctx context.Context, r message.Request, joined <-chan message.Answer) message.Answer {
	late := k.timers.After(max(r.Deadline-answerMargin, 0))
	defer late.Stop()
	select {
	case a := <-joined:
		return answerTo(r, a)
	case <-late.C:
	case <-ctx.Done():
	}
	return message.Answer{ID: r.ID, Outcome: message.OutcomeUnknown, Reason: "its first request is still in progress"}
}

// answerTo gives a repeat the answer of its key's first request.
func answerTo(r message.Request, a message.Answer) message.Answer {
	a.ID = r.ID
	return a
}

// digest tells a repeat from another request that carries the same key.
func digest(r message.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Service, r.Method, r.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Yield lets what is in progress finish and takes nothing more. It returns the
// word for the next owner.
func (k *KeyOwner) Yield() time.Time {
	k.Close()
	k.active.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.HandoffTime()
}

// Close takes nothing more.
func (k *KeyOwner) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
}
