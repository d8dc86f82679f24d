package host

import (
	"context"
	"encoding/json"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
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

type overviewWire struct {
	Owner    string
	Epoch    uint64
	Manifest uint64
	Settling bool
	Jobs     int
	Steps    int
	Tasks    int
	Workers  []workerWire
	Waves    []waveWire
}

type workerWire struct {
	ID       string
	Rack     string
	State    string
	Runs     int
	Room     sizeWire
	Free     sizeWire
	Slowness float64
}

type sizeWire struct {
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
}

type waveWire struct {
	Wave     int
	Machines int
	Ordered  int
	Settled  int
	Done     bool
}

func encodeOverview(o cell.Overview, owner string, epoch uint64) overviewWire {
	out := overviewWire{
		Owner: owner, Epoch: epoch, Manifest: o.Manifest, Settling: o.Settling,
		Jobs: o.Backlog.Jobs, Steps: o.Backlog.Steps, Tasks: o.Backlog.Tasks,
		Workers: make([]workerWire, len(o.Workers)), Waves: make([]waveWire, len(o.Waves)),
	}
	for i, w := range o.Workers {
		out.Workers[i] = workerWire{
			ID: string(w.ID), Rack: w.Rack, State: string(w.State), Runs: w.Runs,
			Room: encodeSize(w.Room), Free: encodeSize(w.Free), Slowness: w.Slowness,
		}
	}
	for i, w := range o.Waves {
		out.Waves[i] = waveWire(w)
	}
	return out
}

func encodeSize(s job.Size) sizeWire { return sizeWire(s) }

type jobWire struct {
	ID    string
	Queue string
	State string
	Age   string
	Steps []stepWire
}

type stepWire struct {
	Step    string
	Ready   bool
	Tasks   int
	Waiting int
	Done    int
	Runs    []runWire
}

type runWire struct {
	Task     string
	Run      int
	Worker   string
	Percent  int
	Pace     int
	Stopping bool
}

func encodeJobView(v cell.JobView) jobWire {
	out := jobWire{
		ID: string(v.ID), Queue: v.Queue, State: string(v.State), Age: v.Age.Round(time.Millisecond).String(),
		Steps: make([]stepWire, len(v.Steps)),
	}
	for i, s := range v.Steps {
		out.Steps[i] = stepWire{
			Step: s.ID.String(), Ready: s.Ready, Tasks: s.Tasks, Waiting: s.Waiting, Done: s.Done,
			Runs: make([]runWire, len(s.Runs)),
		}
		for n, r := range s.Runs {
			out.Steps[i].Runs[n] = runWire{
				Task: r.Task.String(), Run: r.Run, Worker: string(r.Worker), Percent: r.Percent, Pace: r.Pace,
				Stopping: r.Stopping,
			}
		}
	}
	return out
}
