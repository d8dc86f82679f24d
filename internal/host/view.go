package host

import (
	"context"
	"encoding/json"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Cell returns what an operator sees of the cell, in JSON, from whichever host
// owns it.
func (h *Host) Cell(ctx context.Context) ([]byte, error) { return h.view(ctx, "") }

// Job returns what an operator sees of a job, in JSON. An unknown job gives
// KindNoJob.
func (h *Host) Job(ctx context.Context, id workload.JobID) ([]byte, error) {
	document, err := h.view(ctx, id)
	if err == nil && len(document) == 0 {
		return nil, fault.New("show job", KindNoJob, "the owner knows no job %q", id)
	}
	return document, err
}

func (h *Host) view(ctx context.Context, id workload.JobID) ([]byte, error) {
	seen, err := askOwner(ctx, h, message.EncodeCellLookup(message.CellLookup{Job: id}), message.DecodeCellSeen)
	return seen.Document, err
}

// lookUpCell answers for the owner.
func (h *Host) lookUpCell(ctx context.Context, q message.CellLookup) (peer.Message, error) {
	own := h.owning()
	if own == nil {
		return peer.Message{}, errNotOwner
	}
	if q.Job != "" {
		view, known, err := own.JobView(ctx, q.Job)
		if err != nil || !known {
			return message.EncodeCellSeen(message.CellSeen{}), err
		}
		return encodeView(encodeJobView(view))
	}
	overview, err := own.Overview(ctx)
	if err != nil {
		return peer.Message{}, err
	}
	return encodeView(encodeOverview(overview, h.config.Self.Name, own.Epoch()))
}

func encodeView(wire any) (peer.Message, error) {
	document, err := json.Marshal(wire)
	if err != nil {
		return peer.Message{}, fault.New("encode view", KindInvalid, "%w", err)
	}
	return message.EncodeCellSeen(message.CellSeen{Document: document}), nil
}

func encodeOverview(o cell.Overview, owner string, epoch uint64) api.Cell {
	out := api.Cell{
		Owner: owner, Epoch: epoch, Manifest: o.Manifest, Settling: o.Settling,
		Jobs: o.Backlog.Jobs, Steps: o.Backlog.Steps, Tasks: o.Backlog.Tasks,
		Workers: make([]api.CellWorker, len(o.Workers)), Waves: make([]api.CellWave, len(o.Waves)),
	}
	for i, w := range o.Workers {
		out.Workers[i] = api.CellWorker{
			ID: string(w.ID), Rack: w.Rack, State: string(w.State), Runs: w.Runs,
			Room: api.Size(w.Capacity), Free: api.Size(w.Free), Slowness: w.Slowness,
		}
	}
	for i, w := range o.Waves {
		out.Waves[i] = api.CellWave(w)
	}
	return out
}

func encodeJobView(v cell.JobView) api.CellJob {
	out := api.CellJob{
		ID: string(v.ID), Queue: v.Queue, State: string(v.State), Age: v.Age.Round(time.Millisecond).String(),
		Steps: make([]api.CellStep, len(v.Steps)),
	}
	for i, s := range v.Steps {
		out.Steps[i] = api.CellStep{
			Step: s.ID.String(), Ready: s.Ready, Tasks: s.Tasks, Waiting: s.Waiting, Done: s.Done, Runs: encodeRuns(s.Runs),
		}
	}
	return out
}

func encodeRuns(runs []cell.RunView) []api.CellRun {
	out := make([]api.CellRun, len(runs))
	for i, r := range runs {
		out[i] = api.CellRun{
			Task: r.Task.String(), Run: r.Run, Worker: string(r.Worker), Percent: r.Percent, Pace: r.Pace, Stopping: r.Stopping,
		}
	}
	return out
}
