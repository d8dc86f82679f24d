package experiment

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/document"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// Kind is the kind of an Error.
type Kind string

const (
	// KindUnreadable means that the load could not be read at all.
	KindUnreadable Kind = "unreadable"
	// KindInvalid means that fields of the load are wrong; the error wraps
	// document.Faults.
	KindInvalid Kind = "invalid"
	// KindStopped means that the simulation was stopped before its end.
	KindStopped Kind = "stopped"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// maxLoadBytes limits the size of a load file.
const maxLoadBytes = 1 << 20

// loadWire is the JSON form of a Load. Askers is its field AdviceHosts.
type loadWire struct {
	Duration   *string `validate:"required,duration=1s:24h"`
	Askers     int     `validate:"number=1:1000"`
	CommitTime *string `validate:"required,duration=0s:1m"`
	CallTime   *string `validate:"required,duration=0s:1m"`
	Workers    workersWire
	Queues     []queueWire   `validate:"required,dive"`
	Bursts     []burstWire   `validate:"dive"`
	Accounts   []accountWire `validate:"dive"`
	Admission  bool
}

// accountWire is the JSON form of an Account. MilliCores and MemoryMB are its cap.
type accountWire struct {
	Name       string  `validate:"name"`
	Weight     float64 `validate:"gte=0"`
	MilliCores int64   `validate:"number=0:1000000000"`
	MemoryMB   int64   `validate:"number=0:1000000000"`
	Share      float64 `validate:"gte=0"`
	TaskFactor float64 `validate:"gte=0"`
}

type workersWire struct {
	Count        int     `validate:"number=1:100000"`
	MilliCores   int64   `validate:"number=1:10000000"`
	MemoryMB     int64   `validate:"number=1:100000000"`
	PerRack      int     `validate:"number=1:100000"`
	SlowShare    float64 `validate:"gte=0,lte=1"`
	SlowFactor   float64 `validate:"gte=0"`
	FailingShare float64 `validate:"gte=0,lte=1"`
}

type queueWire struct {
	Name          string  `validate:"name"`
	Priority      int     `validate:"number=0:100"`
	MaxAttempts   int     `validate:"number=0:1000"`
	SlackFactor   float64 `validate:"gte=0"`
	TargetLatency *string `validate:"required,duration=0s:24h"`
	PerSecond     float64 `validate:"gte=0"`
	MeanSteps     float64 `validate:"gte=1"`
	MeanTasks     float64 `validate:"gte=1"`
	MilliCores    int64   `validate:"number=1:10000000"`
	MemoryMB      int64   `validate:"number=0:100000000"`
	RunTime       *string `validate:"required,duration=1ms:24h"`
	EstimateError float64 `validate:"gte=0,lte=100"`
	Checkpoints   bool
	FailShare     float64 `validate:"gte=0,lte=1"`
	HopelessShare float64 `validate:"gte=0,lte=1"`
	CancelShare   float64 `validate:"gte=0,lte=1"`
	Advice        *adviceWire
}

type adviceWire struct {
	Fixed        *string `validate:"required,duration=0s:1h"`
	PerWorker    *string `validate:"required,duration=0s:1h"`
	Valid        *string `validate:"required,duration=1ms:24h"`
	AllowedShare float64 `validate:"gt=0,lte=1"`
}

// burstWire is the JSON form of a Burst.
type burstWire struct {
	Queue   string  `validate:"omitempty,name"`
	Account string  `validate:"omitempty,name"`
	At      *string `validate:"required,duration=0s:24h"`
	For     *string `validate:"required,duration=0s:24h"`
	Times   float64 `validate:"gte=0"`
}

// ReadLoad reads a load in JSON. An error of KindInvalid names every invalid
// field.
func ReadLoad(r io.Reader) (Load, error) {
	var w loadWire
	faults, err := document.Decode(r, maxLoadBytes, &w)
	if err != nil {
		return Load{}, fault.New("read load", KindUnreadable, "%w", err)
	}
	for i := range w.Bursts {
		if b := &w.Bursts[i]; !w.hasQueue(b.Queue) && (b.Queue != "" || b.Account == "") {
			faults.Add(fmt.Sprintf("Bursts[%d].Queue", i), b.Queue, "the name of one of the Queues")
		}
		if b := &w.Bursts[i]; b.Account != "" && !w.hasAccount(b.Account) {
			faults.Add(fmt.Sprintf("Bursts[%d].Account", i), b.Account, "the name of one of the Accounts")
		}
	}
	if len(faults) > 0 {
		return Load{}, fault.New("read load", KindInvalid, "%w", faults)
	}
	return w.load(), nil
}

func (w *loadWire) hasQueue(name string) bool {
	for i := range w.Queues {
		if w.Queues[i].Name == name {
			return true
		}
	}
	return false
}

func (w *loadWire) hasAccount(name string) bool {
	return slices.ContainsFunc(w.Accounts, func(a accountWire) bool { return a.Name == name })
}

func (w *loadWire) load() Load {
	l := Load{
		Duration: parseDuration(w.Duration), AdviceHosts: w.Askers, CommitTime: parseDuration(w.CommitTime), CallTime: parseDuration(w.CallTime),
		Workers: Workers{
			Count: w.Workers.Count, Capacity: job.Size{MilliCores: w.Workers.MilliCores, MemoryMB: w.Workers.MemoryMB},
			PerRack: w.Workers.PerRack, SlowShare: w.Workers.SlowShare, SlowFactor: w.Workers.SlowFactor,
			FailingShare: w.Workers.FailingShare,
		},
	}
	for i := range w.Queues {
		l.Queues = append(l.Queues, w.Queues[i].queue())
	}
	for _, b := range w.Bursts {
		l.Bursts = append(l.Bursts, Burst{Queue: b.Queue, Account: b.Account, At: parseDuration(b.At), For: parseDuration(b.For), Factor: b.Times})
	}
	l.Admission = w.Admission
	for _, a := range w.Accounts {
		l.Accounts = append(l.Accounts, Account{
			Terms: manifest.Terms{Name: a.Name, Weight: a.Weight, Cap: job.Size{MilliCores: a.MilliCores, MemoryMB: a.MemoryMB}},
			Share: a.Share, TaskFactor: cmp.Or(a.TaskFactor, 1),
		})
	}
	return l
}

func (w *queueWire) queue() Queue {
	q := Queue{
		Queue: manifest.Queue{
			Name: w.Name, Service: workerService, Priority: w.Priority, MaxAttempts: w.MaxAttempts,
			SlackFactor: w.SlackFactor, TargetLatency: parseDuration(w.TargetLatency),
		},
		PerSecond: w.PerSecond, MeanSteps: w.MeanSteps, MeanTasks: w.MeanTasks,
		Size: job.Size{MilliCores: w.MilliCores, MemoryMB: w.MemoryMB}, RunTime: parseDuration(w.RunTime),
		EstimateError: w.EstimateError, Checkpoints: w.Checkpoints, FailShare: w.FailShare,
		HopelessShare: w.HopelessShare, CancelShare: w.CancelShare, AllowedShare: 1,
	}
	if a := w.Advice; a != nil {
		q.Queue.Advice = manifest.Advice{Fixed: parseDuration(a.Fixed), PerWorker: parseDuration(a.PerWorker), ValidFor: parseDuration(a.Valid)}
		q.AllowedShare = a.AllowedShare
	}
	return q
}

// parseDuration parses a duration that validation has accepted.
func parseDuration(text *string) time.Duration {
	if text == nil {
		return 0
	}
	d, err := time.ParseDuration(*text)
	if err != nil {
		return 0 // validation has reported it
	}
	return d
}
