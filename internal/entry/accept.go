package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/google/uuid"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/journal"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/pool"
)

// submission is a submitted job that is either refused or has a commit in
// progress, whose outcome arrives on a channel.
type submission struct {
	refused *message.Submitted
	outcome <-chan message.Submitted
}

// Submit commits a job durably and adds it to the pool. If the context ends
// before the commit has an outcome, the outcome is unknown and the job may run.
func (o *PoolOwner) Submit(ctx context.Context, s job.Spec) message.Submitted {
	sub, err := queryPool(ctx, o, func(p *pool.Pool, _ time.Time) submission { return o.submit(p, s) })
	if err != nil {
		return refusedSubmit(err.Error())
	}
	if sub.refused != nil {
		return *sub.refused
	}
	select {
	case out := <-sub.outcome:
		return out
	case <-ctx.Done():
		return message.Submitted{
			Outcome: message.OutcomeUnknown, Reason: "the table service has not answered", RetryAfter: submitRetryAfter,
		}
	}
}

// submit checks a job and starts its acceptance in a goroutine of its own.
func (o *PoolOwner) submit(p *pool.Pool, s job.Spec) submission {
	refuse := func(err error, invalid bool) submission {
		out := refusedSubmit(err.Error())
		out.Invalid = invalid
		return submission{refused: &out}
	}
	if err := p.Check(s); err != nil {
		return refuse(err, !fault.Is(err, pool.KindFull))
	}
	if err := o.guard.MayAct(o.gained.Unit, o.gained.Epoch); err != nil {
		return refuse(err, false)
	}
	select {
	case o.pendingAccepts <- struct{}{}:
	default:
		return refuse(fault.New("submit", KindUnavailable, "%d submissions wait for the table service", maxPendingAccepts), false)
	}
	outcome := make(chan message.Submitted, 1)
	settled := o.beginAccept(s.ID)
	o.work.Go(func() {
		defer func() { <-o.pendingAccepts }()
		outcome <- o.accept(s)
		o.post(settled)
	})
	return submission{outcome: outcome}
}

// acceptsInFlight are the submissions of one job whose commit has no known outcome yet.
type acceptsInFlight struct {
	n int
	// settled is closed once all of them have an outcome, and the pool has the job if it
	// was accepted.
	settled chan struct{}
}

// beginAccept records that a submission of a job is in flight, and returns the event by
// which it has an outcome. Only the event loop calls it.
func (o *PoolOwner) beginAccept(id string) poolEvent {
	a, known := o.accepts[id]
	if !known {
		a = &acceptsInFlight{settled: make(chan struct{})}
		o.accepts[id] = a
	}
	a.n++
	return func(*pool.Pool, time.Time) []pool.Action {
		if a.n--; a.n == 0 {
			delete(o.accepts, id)
			close(a.settled)
		}
		return nil
	}
}

// awaitAccepts waits until no submission of a job is in flight. Otherwise the job could
// begin after a caller was told that it does not exist.
func (o *PoolOwner) awaitAccepts(ctx context.Context, id string) error {
	settled, err := queryPool(ctx, o, func(*pool.Pool, time.Time) <-chan struct{} {
		if a, known := o.accepts[id]; known {
			return a.settled
		}
		return nil
	})
	if err != nil || settled == nil {
		return err
	}
	limit := o.timers.After(maxAcceptWait)
	defer limit.Stop()
	select {
	case <-settled:
		return nil
	case <-limit.C:
	case <-ctx.Done():
	case <-o.done:
	}
	return fault.New("ask", KindUnavailable, "a submission of job %q has no outcome yet", id)
}

// addToPool adds a job to the pool after its acceptance has become durable.
func (o *PoolOwner) addToPool(s job.Spec) poolEvent {
	return func(p *pool.Pool, now time.Time) []pool.Action {
		p.Accept(s, now)
		o.acceptKeys[journal.AcceptKey(o.dataCentre, o.gained.Unit, o.gained.Epoch, s.ID)] = struct{}{}
		return nil
	}
}

const (
	// maxAcceptWait limits how long a query about a job waits for a submission of it.
	maxAcceptWait = 1 * time.Second
	// maxPendingAccepts limits the submissions whose commit has no known outcome
	// yet.
	maxPendingAccepts = 1024
	// acceptInitialBackoff and acceptMaxBackoff are the first and the longest mean
	// backoff before an acceptance with an unknown outcome is retried.
	acceptInitialBackoff = 250 * time.Millisecond
	acceptMaxBackoff     = 5 * time.Second
)

// acceptance is the content of the commit that accepts a job under the epoch of
// this owner.
type acceptance struct {
	spec   job.Spec
	record []byte
}

func newAcceptance(s job.Spec) acceptance {
	return acceptance{spec: s, record: journal.Encode([]pool.Record{{Kind: pool.RecordAccepted, Spec: s}})}
}

// accept commits a job durably and adds it to the pool. It continues after its
// caller has gone: a commit with an unknown outcome is retried until the outcome
// is known, so that this owner starts every job that it has accepted. Each
// attempt requires that the job has no row yet and that the unit is still held,
// so at most one attempt takes effect, and none after a takeover.
func (o *PoolOwner) accept(s job.Spec) message.Submitted {
	a := newAcceptance(s)
	wait := acceptInitialBackoff
	for first := true; ; first = false {
		accepted, out := o.tryAccept(a, first)
		if accepted {
			o.post(o.addToPool(s))
		}
		if out.Outcome != message.OutcomeUnknown {
			return out
		}
		sub := o.timers.After(wait/2 + rand.N(wait))
		select {
		case <-sub.C:
		case <-o.ctx.Done():
			sub.Stop()
			return out
		}
		wait = min(wait*2, acceptMaxBackoff)
	}
}

// tryAccept commits an acceptance once and, after a conflict, reads the job's row
// back to find the cause. An ID that was accepted before is not accepted again.
func (o *PoolOwner) tryAccept(a acceptance, first bool) (accepted bool, out message.Submitted) {
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	key := jobKey(a.spec.ID)
	row := newJobRow(o.dataCentre, a.spec)
	_, err := o.plat.Table.Commit(ctx, platform.Commit{
		ID: o.id + "/accept/" + uuid.NewString(),
		Checks: []platform.Check{
			{Key: lease.UnitKey(o.dataCentre, o.gained.Unit), Version: o.gained.Version},
			{Key: key, Version: platform.Absent},
		},
		Writes: []platform.Write{
			{Key: key, Value: encodeJobRow(row)},
			{Key: journal.AcceptKey(o.dataCentre, o.gained.Unit, o.gained.Epoch, a.spec.ID), Value: a.record},
		},
	})
	unknown := message.Submitted{Outcome: message.OutcomeUnknown, RetryAfter: submitRetryAfter}
	switch {
	case err == nil:
		return true, message.Submitted{Outcome: message.OutcomeAnswered, State: job.StateAccepted}
	case fault.Is(err, platform.KindNotRun) && first:
		return false, refusedSubmit(err.Error())
	case !fault.Is(err, platform.KindConflict):
		unknown.Reason = err.Error()
		return false, unknown
	}
	found, err := o.plat.Table.Get(ctx, key)
	switch {
	case err == nil:
		return o.answerRepeat(found, a.spec)
	case fault.Is(err, platform.KindMissing):
		// The check of the unit failed, so no earlier attempt can take effect
		// any more.
		return false, refusedSubmit("the pool has another owner")
	}
	unknown.Reason = err.Error()
	return false, unknown
}

func refusedSubmit(reason string) message.Submitted {
	return message.Submitted{Outcome: message.OutcomeNotRun, Reason: reason, RetryAfter: submitRetryAfter}
}

// answerRepeat answers a submission whose ID is already in the table. A job that
// an earlier commit of this owner accepted, with the response lost, is added to
// the pool, which ignores a job that it already has.
func (o *PoolOwner) answerRepeat(row platform.Row, s job.Spec) (accepted bool, out message.Submitted) {
	r, err := decodeJobRow(row)
	if err != nil {
		return false, message.Submitted{Outcome: message.OutcomeUnknown, Reason: err.Error()}
	}
	if r.Sum != specDigest(s) {
		return false, message.Submitted{
			Outcome: message.OutcomeNotRun, Invalid: true,
			Reason: fmt.Sprintf("job %q: ID is taken by another job; allowed: an ID that was never used", s.ID),
		}
	}
	ours := strings.HasPrefix(row.WriteID, o.id+"/accept/")
	return ours && r.State == job.StateAccepted, message.Submitted{Outcome: message.OutcomeAnswered, State: r.State}
}
