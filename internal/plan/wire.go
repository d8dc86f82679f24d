package plan

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// Defaults of the optional fields of a section.
const (
	DefaultMaxDeadline = 60 * time.Second
	DefaultRetryBudget = 0.1
	DefaultMaxAttempts = 3
	DefaultGracePeriod = 10 * time.Second
	DefaultWindow      = 28 * 24 * time.Hour
)

// wireSection is the JSON form of a Section.
type wireSection struct {
	Team       string `validate:"name"`
	Revision   uint64
	Quota      wireQuota
	Services   []wireService   `validate:"max=200,dive"`
	Jobs       []wireJobPolicy `validate:"max=1000,dive"`
	Objectives []wireObjective `validate:"max=1000,dive"`
}

type wireQuota struct {
	Guaranteed  wireSize
	Limit       wireSize
	DataCentres []wireDataCentreParts `validate:"max=100,dive"`
}

type wireDataCentreParts struct {
	DataCentre string `validate:"name"`
	Parts      int    `validate:"number=1:1000"`
}

// MaxParts is the largest number of parts that one data centre can have.
const MaxParts = 1000

func (w *wireQuota) quota() Quota {
	q := Quota{Guaranteed: job.Size(w.Guaranteed), Limit: job.Size(w.Limit)}
	for _, p := range w.DataCentres {
		q.DataCentres = append(q.DataCentres, DataCentreParts(p))
	}
	return q
}

func newWireQuota(q Quota) wireQuota {
	w := wireQuota{
		Guaranteed: wireSize(q.Guaranteed), Limit: wireSize(q.Limit), DataCentres: make([]wireDataCentreParts, 0, len(q.DataCentres)),
	}
	for _, p := range q.DataCentres {
		w.DataCentres = append(w.DataCentres, wireDataCentreParts(p))
	}
	return w
}

type wireSize struct {
	MilliCores   int64 `validate:"number=0:1000000000"`
	MemoryMB     int64 `validate:"number=0:1000000000"`
	Accelerators int64 `validate:"number=0:1000000"`
}

type wireService struct {
	Name        string   `validate:"name"`
	Leaving     []string `validate:"max=1000,dive,name"`
	MaxDeadline *string  `validate:"omitnil,duration=10ms:10m"`
	RetryBudget *float64 `validate:"omitnil,number=0:0.5"`
	Idempotent  bool
	Priority    string `validate:"omitempty,oneof=Normal Urgent"`
}

type wireJobPolicy struct {
	Name        string `validate:"name"`
	Kind        string `validate:"oneof=Service Batch AllAtOnce"`
	Size        wireSize
	Priority    string `validate:"omitempty,oneof=Normal Urgent"`
	MaxAttempts *int   `validate:"omitnil,number=1:100"`
	Replayable  bool
	Preemptible bool
	GracePeriod *string `validate:"omitnil,duration=0s:10m"`
}

type wireObjective struct {
	Name      string  `validate:"name"`
	Of        string  `validate:"name"`
	Kind      string  `validate:"oneof=Latency Success StartWait"`
	Target    float64 `validate:"share=0:1"`
	Threshold *string `validate:"omitnil,duration=1ms:24h"`
	Window    *string `validate:"omitnil,duration=1h:2160h"`
}

// section converts the JSON form to a Section. A malformed value becomes zero;
// validation has already reported it.
func (w *wireSection) section() Section {
	s := Section{
		Team:     w.Team,
		Revision: w.Revision,
		Quota:    w.Quota.quota(),
	}
	for i := range w.Services {
		s.Services = append(s.Services, w.Services[i].service())
	}
	for i := range w.Jobs {
		s.Jobs = append(s.Jobs, w.Jobs[i].policy())
	}
	for i := range w.Objectives {
		s.Objectives = append(s.Objectives, w.Objectives[i].objective())
	}
	return s
}

func (w *wireService) service() Service {
	return Service{
		Name:        w.Name,
		Leaving:     w.Leaving,
		MaxDeadline: durationOr(w.MaxDeadline, DefaultMaxDeadline),
		RetryBudget: valueOr(w.RetryBudget, DefaultRetryBudget),
		Idempotent:  w.Idempotent,
		Priority:    priorityOrNormal(w.Priority),
	}
}

func (w *wireJobPolicy) policy() JobPolicy {
	return JobPolicy{
		Name:        w.Name,
		Kind:        job.Kind(w.Kind),
		Size:        job.Size(w.Size),
		Priority:    priorityOrNormal(w.Priority),
		MaxAttempts: valueOr(w.MaxAttempts, DefaultMaxAttempts),
		Replayable:  w.Replayable,
		Preemptible: w.Preemptible,
		GracePeriod: durationOr(w.GracePeriod, DefaultGracePeriod),
	}
}

func (w *wireObjective) objective() Objective {
	return Objective{
		Name:      w.Name,
		Of:        w.Of,
		Kind:      ObjectiveKind(w.Kind),
		Target:    w.Target,
		Threshold: durationOr(w.Threshold, 0),
		Window:    durationOr(w.Window, DefaultWindow),
	}
}

// newWireSection converts a section to its JSON form, in which every default
// is written out.
func newWireSection(s Section) *wireSection {
	w := &wireSection{
		Team:       s.Team,
		Revision:   s.Revision,
		Quota:      newWireQuota(s.Quota),
		Services:   make([]wireService, 0, len(s.Services)),
		Jobs:       make([]wireJobPolicy, 0, len(s.Jobs)),
		Objectives: make([]wireObjective, 0, len(s.Objectives)),
	}
	for i := range s.Services {
		w.Services = append(w.Services, newWireService(&s.Services[i]))
	}
	for i := range s.Jobs {
		w.Jobs = append(w.Jobs, newWireJobPolicy(&s.Jobs[i]))
	}
	for i := range s.Objectives {
		w.Objectives = append(w.Objectives, newWireObjective(&s.Objectives[i]))
	}
	return w
}

func newWireService(s *Service) wireService {
	return wireService{
		Name:        s.Name,
		Leaving:     append([]string{}, s.Leaving...),
		MaxDeadline: durationText(s.MaxDeadline),
		RetryBudget: &s.RetryBudget,
		Idempotent:  s.Idempotent,
		Priority:    string(s.Priority),
	}
}

func newWireJobPolicy(p *JobPolicy) wireJobPolicy {
	return wireJobPolicy{
		Name:        p.Name,
		Kind:        string(p.Kind),
		Size:        wireSize(p.Size),
		Priority:    string(p.Priority),
		MaxAttempts: &p.MaxAttempts,
		Replayable:  p.Replayable,
		Preemptible: p.Preemptible,
		GracePeriod: durationText(p.GracePeriod),
	}
}

func newWireObjective(o *Objective) wireObjective {
	w := wireObjective{
		Name:   o.Name,
		Of:     o.Of,
		Kind:   string(o.Kind),
		Target: o.Target,
		Window: durationText(o.Window),
	}
	if o.Threshold != 0 {
		w.Threshold = durationText(o.Threshold)
	}
	return w
}

func durationText(d time.Duration) *string {
	s := d.String()
	return &s
}

func durationOr(text *string, fallback time.Duration) time.Duration {
	if text == nil {
		return fallback
	}
	d, err := time.ParseDuration(*text)
	if err != nil {
		return 0
	}
	return d
}

func valueOr[T any](optional *T, fallback T) T {
	if optional == nil {
		return fallback
	}
	return *optional
}

func priorityOrNormal(name string) job.Priority {
	if name == "" {
		return job.PriorityNormal
	}
	return job.Priority(name)
}
