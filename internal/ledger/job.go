package ledger

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/wire"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

type jobWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Spec     string
	First    int64
	Every    int64
	Times    int
	Queue    queueWire
	Steps    stepsWire
}

// stepsWire is the list of a job's steps. Its length is checked before memory is reserved.
type stepsWire []stepWire

// DecodeMsgpack decodes the list.
func (w *stepsWire) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n > workload.MaxSteps {
		return fault.New("decode job", KindMalformed, "%d steps; at most %d are allowed", n, workload.MaxSteps)
	}
	*w = make(stepsWire, max(n, 0))
	for i := range *w {
		if err := d.Decode(&(*w)[i]); err != nil {
			return err
		}
	}
	return nil
}

type queueWire struct {
	_msgpack        struct{} `msgpack:",as_array"`
	Name            string
	Service         string
	Priority        int
	MaxAttempts     int
	SlackFactor     float64
	TargetLatency   time.Duration
	AdviceFixed     time.Duration
	AdvicePerWorker time.Duration
	AdviceValidFor  time.Duration
}

type stepWire struct {
	_msgpack          struct{} `msgpack:",as_array"`
	Tasks             int
	MilliCores        int64
	MemoryMB          int64
	Accelerators      int64
	Estimate          time.Duration
	After             []int
	Checkpoints       bool
	Gang              bool
	SameRack          bool
	Label             string
	DataRack          string
	MaxPerWorker      int
	Speculative       bool
	LongRunning       bool
	Image             string
	LatencyTarget     time.Duration
	BestEffort        bool
	MaxUnavailable    int
	HasMaxUnavailable bool
}

// EncodeJob encodes the row of an accepted job.
func EncodeJob(a cell.AcceptedJob) ([]byte, error) {
	w := jobWire{ID: string(a.Job.ID), Spec: a.Job.Spec, Times: a.Job.Schedule.Times, Queue: encodeQueue(a.Queue)}
	if a.Job.Schedule.Times > 0 {
		w.First = a.Job.Schedule.First.UnixMilli()
		w.Every = a.Job.Schedule.Every.Milliseconds()
	}
	w.Steps = make([]stepWire, len(a.Job.Steps))
	for i := range a.Job.Steps {
		w.Steps[i] = encodeStep(&a.Job.Steps[i])
	}
	row, err := msgpack.Marshal(&w)
	if err != nil {
		return nil, err
	}
	return appendAccount(row, a.Account)
}

// jobLimits bounds the row of a job, which also comes from other hosts. The largest
// submission has 128 Ki values, and a row up to 21 values for each step besides the
// dependencies.
var jobLimits = wire.Limits{Bytes: 1 << 20, Values: 192 << 10}

// DecodeJob decodes the row of an accepted job and validates the job.
func DecodeJob(value []byte) (cell.AcceptedJob, error) {
	var w jobWire
	if err := wire.UnmarshalWithin(jobLimits, value, &w); err != nil {
		return cell.AcceptedJob{}, fault.New("decode job", KindMalformed, "%w", err)
	}
	a := cell.AcceptedJob{Queue: w.Queue.queue()}
	a.Job = workload.Job{ID: workload.JobID(w.ID), Queue: w.Queue.Name, Spec: w.Spec}
	if w.Times > 0 {
		a.Job.Schedule = workload.Schedule{
			First: time.UnixMilli(w.First), Every: time.Duration(w.Every) * time.Millisecond, Times: w.Times,
		}
	}
	a.Job.Steps = make([]workload.Step, len(w.Steps))
	for i := range w.Steps {
		a.Job.Steps[i] = w.Steps[i].step()
	}
	if err := a.Job.Check(); err != nil {
		return cell.AcceptedJob{}, fault.New("decode job", KindMalformed, "%w", err)
	}
	var err error
	if a.Account, err = decodeAccount(value); err != nil {
		return cell.AcceptedJob{}, fault.New("decode job", KindMalformed, "%w", err)
	}
	return a, nil
}

func encodeQueue(q manifest.Queue) queueWire {
	return queueWire{
		Name: q.Name, Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
		SlackFactor: q.SlackFactor, TargetLatency: q.TargetLatency,
		AdviceFixed: q.Advice.Fixed, AdvicePerWorker: q.Advice.PerWorker, AdviceValidFor: q.Advice.ValidFor,
	}
}

func (w *queueWire) queue() manifest.Queue {
	return manifest.Queue{
		Name: w.Name, Service: w.Service, Priority: w.Priority, MaxAttempts: w.MaxAttempts,
		SlackFactor: w.SlackFactor, TargetLatency: w.TargetLatency,
		Advice: manifest.Advice{Fixed: w.AdviceFixed, PerWorker: w.AdvicePerWorker, ValidFor: w.AdviceValidFor},
	}
}

func encodeStep(s *workload.Step) stepWire {
	return stepWire{
		Tasks: s.Tasks, MilliCores: s.Size.MilliCores, MemoryMB: s.Size.MemoryMB, Accelerators: s.Size.Accelerators,
		Estimate: s.Estimate, After: s.After, Checkpoints: s.Checkpoints, Gang: s.Gang, SameRack: s.SameRack,
		Label: s.Label, DataRack: s.DataRack, MaxPerWorker: s.MaxPerWorker, Speculative: s.Speculative,
		LongRunning: s.LongRunning, Image: s.Image, LatencyTarget: s.LatencyTarget, BestEffort: s.BestEffort,
		MaxUnavailable: s.MaxUnavailable, HasMaxUnavailable: s.HasMaxUnavailable,
	}
}

func (w *stepWire) step() workload.Step {
	return workload.Step{
		Tasks: w.Tasks, Size: job.Size{MilliCores: w.MilliCores, MemoryMB: w.MemoryMB, Accelerators: w.Accelerators},
		Estimate: w.Estimate, After: w.After, Checkpoints: w.Checkpoints, Gang: w.Gang, SameRack: w.SameRack,
		Label: w.Label, DataRack: w.DataRack, MaxPerWorker: w.MaxPerWorker, Speculative: w.Speculative,
		LongRunning: w.LongRunning, Image: w.Image, LatencyTarget: w.LatencyTarget, BestEffort: w.BestEffort,
		MaxUnavailable: w.MaxUnavailable, HasMaxUnavailable: w.HasMaxUnavailable,
	}
}
