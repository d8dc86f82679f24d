package owner

import (
	"context"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

type overviewAsked struct {
	reply chan<- cell.Overview
}

func (e overviewAsked) apply(o *Owner, now time.Time) { e.reply <- o.cell.Overview(now) }

// Overview returns what an operator sees of the cell.
func (o *Owner) Overview(ctx context.Context) (cell.Overview, error) {
	reply := make(chan cell.Overview, 1)
	return ask(ctx, o, overviewAsked{reply}, reply)
}

// jobSeen is a job as an operator sees it, if the owner knows it.
type jobSeen struct {
	view  cell.JobView
	known bool
}

type jobViewAsked struct {
	id    workload.JobID
	reply chan<- jobSeen
}

func (e jobViewAsked) apply(o *Owner, now time.Time) {
	view, known := o.cell.Job(now, e.id)
	e.reply <- jobSeen{view, known}
}

// JobView returns what an operator sees of a job, and false for an unknown one.
func (o *Owner) JobView(ctx context.Context, id workload.JobID) (cell.JobView, bool, error) {
	reply := make(chan jobSeen, 1)
	seen, err := ask(ctx, o, jobViewAsked{id, reply}, reply)
	return seen.view, seen.known, err
}
