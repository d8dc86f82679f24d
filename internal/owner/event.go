package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// event is applied by the event loop.
type event interface {
	apply(o *Owner, now time.Time)
}

// noEvent is an event without an effect.
type noEvent struct{}

func (noEvent) apply(*Owner, time.Time) {}

// queuedEvent is an event in the queue of the event loop since a time.
type queuedEvent struct {
	event event
	at    time.Time
}

type startReturned struct {
	start   cell.SendStart
	outcome cell.StartOutcome
	// latency is how long the call took.
	latency time.Duration
}

func (e startReturned) apply(o *Owner, now time.Time) {
	end := startEnd{unsent: e.outcome.NotSent, answered: !e.outcome.Unknown, latency: e.latency}
	o.starts.returned(runKey{e.start.Worker, e.start.Task, e.start.Run}, end)
	if e.outcome.Unknown {
		o.cell.StartOverdue(e.start.Worker)
	}
	o.cell.Started(now, e.start.Worker, e.start.Task, e.start.Run, e.outcome)
}

type stopReturned struct {
	stop  cell.SendStop
	clock time.Duration
	err   error
}

func (e stopReturned) apply(o *Owner, _ time.Time) {
	delete(o.pendingStops, runKey{e.stop.Worker, e.stop.Task, e.stop.Run})
	if e.err == nil {
		o.cell.Stopped(e.stop.Worker, e.stop.Task, e.stop.Run, e.clock)
	}
}

type paceReturned struct {
	order cell.SetPace
	err   error
}

func (e paceReturned) apply(o *Owner, _ time.Time) {
	key := runKey{e.order.Worker, e.order.Task, e.order.Run}
	wanted := o.wantedPaces[key]
	delete(o.wantedPaces, key)
	switch {
	case wanted != e.order.Percent:
		next := e.order
		next.Percent = wanted
		o.setPace(next)
	case e.err != nil:
		o.cell.PaceFailed(e.order.Worker, e.order.Task, e.order.Run)
	}
}

type advised struct {
	advice cell.Advice
}

func (e advised) apply(o *Owner, now time.Time) { o.cell.Advised(now, e.advice) }

type manifestChanged struct {
	manifest *manifest.Manifest
}

func (e manifestChanged) apply(o *Owner, _ time.Time) { o.cell.SetManifest(e.manifest) }

// SetManifest passes a newer manifest to the cell.
func (o *Owner) SetManifest(m *manifest.Manifest) { o.put(manifestChanged{m}) }

type jobAccepted struct {
	accepted cell.AcceptedJob
}

func (e jobAccepted) apply(o *Owner, now time.Time) {
	if id := e.accepted.Job.ID; o.deletedJobs.has(id) {
		o.log.Info("notice of a job whose rows were deleted; only a later row makes it known again", zap.String("Job", string(id)))
		return
	}
	o.cell.Accept(now, e.accepted)
	o.updateJobMemory(now)
}

// JobAccepted notifies the owner of an accepted job that has become durable.
func (o *Owner) JobAccepted(a cell.AcceptedJob) { o.put(jobAccepted{a}) }

type jobCancelled struct {
	id workload.JobID
}

func (e jobCancelled) apply(o *Owner, now time.Time) { o.cell.Cancel(now, e.id) }

// JobCancelled notifies the owner of a cancellation that has become durable.
func (o *Owner) JobCancelled(id workload.JobID) { o.put(jobCancelled{id}) }

// JobState is the durable state of a job, if the owner knows the job.
type JobState struct {
	Known bool
	State workload.State
	// Cause tells why the job has failed.
	Cause workload.Cause
	// Queue is the name of the job's queue, and Account that of its account, or empty if
	// it has none.
	Queue   string
	Account string
}

type jobStateQuery struct {
	id    workload.JobID
	reply chan<- JobState
}

func (e jobStateQuery) apply(o *Owner, _ time.Time) {
	state, known := o.cell.Status(e.id)
	e.reply <- JobState{
		Known: known, State: state, Cause: o.cell.FailureCause(e.id), Queue: o.cell.QueueName(e.id), Account: o.cell.AccountName(e.id),
	}
}

// Job returns the durable state of a job.
func (o *Owner) Job(ctx context.Context, id workload.JobID) (JobState, error) {
	reply := make(chan JobState, 1)
	return query(ctx, o, jobStateQuery{id, reply}, reply)
}

type pendingQuery struct {
	name  string
	reply chan<- int
}

func (e pendingQuery) apply(o *Owner, _ time.Time) {
	pending := o.cell.Pending(e.name)
	o.log.Info("counted pending jobs", zap.String("Queue", e.name), zap.Int("Pending", pending),
		zap.Int("EventsWaiting", o.events.Len()))
	e.reply <- pending
}

// Pending returns the number of accepted jobs in a queue that have neither started a
// task nor ended.
func (o *Owner) Pending(ctx context.Context, queue string) (int, error) {
	reply := make(chan int, 1)
	return query(ctx, o, pendingQuery{queue, reply}, reply)
}

// query enqueues a request for the event loop and waits for the reply.
func query[T any](ctx context.Context, o *Owner, request event, reply <-chan T) (T, error) {
	var none T
	o.put(request)
	select {
	case answer := <-reply:
		return answer, nil
	case <-o.ctx.Done():
		return none, fault.New("ask", KindClosed, "the owner has ended")
	case <-ctx.Done():
		return none, fault.New("ask", KindClosed, "%w", ctx.Err())
	}
}
