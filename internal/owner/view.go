package owner

import (
	"context"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

type overviewQuery struct {
	reply chan<- cell.Overview
}

func (e overviewQuery) apply(o *Owner, now time.Time) { e.reply <- o.cell.Overview(now) }

// Overview returns the operator's view of the cell.
func (o *Owner) Overview(ctx context.Context) (cell.Overview, error) {
	reply := make(chan cell.Overview, 1)
	return query(ctx, o, overviewQuery{reply}, reply)
}

// jobViewReply is the operator's view of a job, if the owner knows the job.
type jobViewReply struct {
	view  cell.JobView
	known bool
}

type jobViewQuery struct {
	id    workload.JobID
	reply chan<- jobViewReply
}

func (e jobViewQuery) apply(o *Owner, now time.Time) {
	view, known := o.cell.Job(now, e.id)
	e.reply <- jobViewReply{view, known}
}

// JobView returns the operator's view of a job, and false for an unknown job.
func (o *Owner) JobView(ctx context.Context, id workload.JobID) (cell.JobView, bool, error) {
	reply := make(chan jobViewReply, 1)
	r, err := query(ctx, o, jobViewQuery{id, reply}, reply)
	return r.view, r.known, err
}
