package host

import (
	"context"
	"encoding/json"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/interference"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Cell returns the operator's view of the cell in JSON, as the owner reports it.
func (h *Host) Cell(ctx context.Context) ([]byte, error) { return h.view(ctx, "") }

// Job returns the operator's view of a job in JSON. An unknown job gives
// KindNoJob.
func (h *Host) Job(ctx context.Context, id workload.JobID) ([]byte, error) {
	document, err := h.view(ctx, id)
	if err == nil && len(document) == 0 {
		return nil, fault.New("show job", KindNoJob, "the owner knows no job %q", id)
	}
	return document, err
}

func (h *Host) view(ctx context.Context, id workload.JobID) ([]byte, error) {
	reply, err := askOwner(ctx, h, call{message: message.EncodeCellLookup(message.CellLookup{Job: id})}, message.DecodeCellLookupReply)
	return reply.Document, err
}

// lookUpCell answers the lookup of the cell or of one job. The document is empty
// for an unknown job.
func (h *Host) lookUpCell(ctx context.Context, q message.CellLookup) (peer.Message, error) {
	ready := h.readyOwner()
	if ready == nil {
		return peer.Message{}, errNotOwner
	}
	if q.Job != "" {
		view, known, err := ready.JobView(ctx, q.Job)
		if err != nil || !known {
			return message.EncodeCellLookupReply(message.CellLookupReply{}), err
		}
		return encodeView(encodeJobView(view))
	}
	overview, err := ready.Overview(ctx)
	if err != nil {
		return peer.Message{}, err
	}
	view := encodeOverview(overview, h.config.Self.Name, ready.Epoch())
	view.Accounts = encodeAccounts(overview.Accounts, h.accountRefusals.total(h.advisors.list().addrs))
	h.addRelays(&view)
	return encodeView(view)
}

func encodeView(wire any) (peer.Message, error) {
	document, err := json.Marshal(wire)
	if err != nil {
		return peer.Message{}, fault.New("encode view", KindInvalid, "%w", err)
	}
	return message.EncodeCellLookupReply(message.CellLookupReply{Document: document}), nil
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
	out.Interference = encodeInterference(o.Interference)
	return out
}

func encodeInterference(v cell.InterferenceView) *api.CellInterference {
	if v.Mode == interference.ModeOff {
		return nil
	}
	out := &api.CellInterference{Mode: string(v.Mode), Classes: v.Classes, Pairs: v.Pairs, Worst: make([]api.CellPair, len(v.Worst))}
	for i, p := range v.Worst {
		out.Worst[i] = api.CellPair{
			Image: p.Task.Image, Serving: p.Task.Serving, Beside: p.Beside.Image, BesideServing: p.Beside.Serving,
			Loss: p.Loss, Age: p.Age.Round(time.Millisecond).String(),
		}
	}
	return out
}

func encodeJobView(v cell.JobView) api.CellJob {
	out := api.CellJob{
		ID: string(v.ID), Queue: v.Queue, State: string(v.State), Cause: string(v.Cause), Age: v.Age.Round(time.Millisecond).String(),
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
