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

// event is something that the duty applies to the cell.
type event interface {
	apply(o *Owner, now time.Time)
}

type startAnswered struct {
	start   cell.SendStart
	outcome cell.StartOutcome
}

func (e startAnswered) apply(o *Owner, now time.Time) {
	o.startsOut--
	o.cell.Started(now, e.start.Worker, e.start.Task, e.start.Run, e.outcome)
}

type stopEnded struct {
	stop  cell.SendStop
	clock time.Duration
	err   error
}

func (e stopEnded) apply(o *Owner, _ time.Time) {
	delete(o.stops, runKey{e.stop.Worker, e.stop.Task, e.stop.Run})
	if e.err == nil {
		o.cell.Stopped(e.stop.Worker, e.stop.Task, e.stop.Run, e.clock)
	}
}

type paceEnded struct {
	order cell.SetPace
	err   error
}

func (e paceEnded) apply(o *Owner, _ time.Time) {
	key := runKey{e.order.Worker, e.order.Task, e.order.Run}
	wanted := o.paces[key]
	delete(o.paces, key)
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

// SetManifest puts a newer manifest in force.
func (o *Owner) SetManifest(m *manifest.Manifest) { o.put(manifestChanged{m}) }

type jobAccepted struct {
	accepted cell.AcceptedJob
}

func (e jobAccepted) apply(o *Owner, now time.Time) { o.cell.Accept(now, e.accepted) }

// JobAccepted tells the owner of a job that has just become durable.
func (o *Owner) JobAccepted(a cell.AcceptedJob) { o.put(jobAccepted{a}) }

type jobCancelled struct {
	id workload.JobID
}

func (e jobCancelled) apply(o *Owner, now time.Time) { o.cell.Cancel(now, e.id) }

// JobCancelled tells the owner of a cancel that has just become durable.
func (o *Owner) JobCancelled(id workload.JobID) { o.put(jobCancelled{id}) }

// JobState is what the owner says of a job.
type JobState struct {
	Known bool
	State workload.State
}

type jobAsked struct {
	id    workload.JobID
	reply chan<- JobState
}

func (e jobAsked) apply(o *Owner, _ time.Time) {
	state, known := o.cell.Status(e.id)
	e.reply <- JobState{Known: known, State: state}
}

// Job returns the durable state of a job.
func (o *Owner) Job(ctx context.Context, id workload.JobID) (JobState, error) {
	reply := make(chan JobState, 1)
	return ask(ctx, o, jobAsked{id, reply}, reply)
}

type queueAsked struct {
	name  string
	reply chan<- int
}

func (e queueAsked) apply(o *Owner, _ time.Time) {
	pending := o.cell.Pending(e.name)
	o.log.Info("counted waiting jobs", zap.String("Queue", e.name), zap.Int("Pending", pending),
		zap.Int("EventsWaiting", o.events.Len()))
	e.reply <- pending
}

// Pending returns how many accepted jobs of a queue have no task started.
func (o *Owner) Pending(ctx context.Context, queue string) (int, error) {
	reply := make(chan int, 1)
	return ask(ctx, o, queueAsked{queue, reply}, reply)
}

// ask puts a question to the duty and waits for its answer.
func ask[T any](ctx context.Context, o *Owner, question event, reply <-chan T) (T, error) {
	var none T
	o.put(question)
	select {
	case answer := <-reply:
		return answer, nil
	case <-o.ctx.Done():
		return none, fault.New("ask", KindClosed, "the owner has ended")
	case <-ctx.Done():
		return none, fault.New("ask", KindClosed, "%w", ctx.Err())
	}
}
