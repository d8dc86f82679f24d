package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"cicadabarrow.example/cicadabarrow/internal/plan"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	// bucketTime is the time that one bucket of counts covers.
	bucketTime = time.Minute
	// bucketCount is the number of buckets kept. It limits the window of an
	// objective to 24 hours.
	bucketCount = 24 * 60
	// ShortWindow is the window of the burn rate that detects a fast burn early.
	ShortWindow = 5 * time.Minute
	// LongWindow is the window of the burn rate that detects a sustained burn.
	LongWindow = time.Hour
	// maxObjectives limits the number of objectives that one host counts.
	maxObjectives = 512
)

// Plan provides the plan in force, which holds the objectives.
type Plan interface {
	Document() plan.Document
}

// Counts holds the numbers of good and bad events of an objective.
type Counts struct {
	Good uint64
	Bad  uint64
}

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts { return Counts{Good: c.Good + o.Good, Bad: c.Bad + o.Bad} }

// ObjectiveCounts holds what one host has counted for one objective.
type ObjectiveCounts struct {
	Team string
	Name string
	// Since is the time since the host began to count.
	Since time.Duration
	// Window holds the counts of the objective's window, at most those of the last
	// 24 hours.
	Window Counts
	// Minutes counts the events in each of the last 60 minutes, newest last.
	Minutes []Counts
}

// key identifies an objective.
type key struct{ team, name string }

// series is a ring buffer of the counts of one objective by minute.
type series struct {
	startedAt time.Time
	buckets   [bucketCount]bucket
}

type bucket struct {
	minute int64
	counts Counts
}

// Recorder counts good and bad events. It is safe for concurrent use.
type Recorder struct {
	plan  Plan
	clock timer.Clock
	scope tally.Scope

	mu                sync.Mutex
	seriesByObjective map[key]*series
}

// New returns a recorder that has counted nothing.
func New(p Plan, clock timer.Clock, scope tally.Scope) *Recorder {
	return &Recorder{plan: p, clock: clock, scope: scope.SubScope("burn"), seriesByObjective: make(map[key]*series)}
}

// Request records a caller's request to a service. answered reports whether the
// caller received a complete response without an error.
func (r *Recorder) Request(service string, took time.Duration, answered bool) {
	r.countEvent(service, func(o *plan.Objective) (good, applies bool) {
		switch o.Kind {
		case plan.ObjectiveLatency:
			return answered && took <= o.Threshold, true
		case plan.ObjectiveSuccess:
			return answered, true
		case plan.ObjectiveStartWait:
		}
		return false, false
	})
}

// FirstStarted records the first start of a task of a team's job. wait is the time
// for which the task waited for it.
func (r *Recorder) FirstStarted(team, job string, wait time.Duration) {
	section, ok := r.plan.Document()[team]
	if !ok {
		return
	}
	for i := range section.Objectives {
		o := &section.Objectives[i]
		if o.Kind == plan.ObjectiveStartWait && o.Of == job {
			r.add(team, o.Name, wait <= o.Threshold)
		}
	}
}

func (r *Recorder) countEvent(of string, classify func(*plan.Objective) (good, applies bool)) {
	for team, section := range r.plan.Document() {
		for i := range section.Objectives {
			o := &section.Objectives[i]
			if o.Of != of {
				continue
			}
			if good, applies := classify(o); applies {
				r.add(team, o.Name, good)
			}
		}
	}
}

func (r *Recorder) add(team, name string, good bool) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	k := key{team, name}
	s := r.seriesByObjective[k]
	if s == nil {
		if len(r.seriesByObjective) >= maxObjectives {
			return
		}
		s = &series{startedAt: now}
		r.seriesByObjective[k] = s
	}
	b := s.bucketAt(now.Unix() / int64(bucketTime/time.Second))
	tags := r.scope.Tagged(map[string]string{"team": team, "objective": name})
	if good {
		b.counts.Good++
		tags.Counter("good").Inc(1)
		return
	}
	b.counts.Bad++
	tags.Counter("bad").Inc(1)
}

// bucketAt returns the bucket of a minute, emptied if it held an older one.
func (s *series) bucketAt(minute int64) *bucket {
	b := &s.buckets[minute%bucketCount]
	if b.minute != minute {
		*b = bucket{minute: minute}
	}
	return b
}

// sum adds the buckets from the minute first up to the minute last.
func (s *series) sum(first, last int64) Counts {
	var c Counts
	for minute := max(first, last-bucketCount+1); minute <= last; minute++ {
		if b := &s.buckets[minute%bucketCount]; b.minute == minute {
			c = c.Add(b.counts)
		}
	}
	return c
}

// Snapshot returns the counts of the objectives in force for which an event was
// counted, sorted by team and name. It also deletes the counts of objectives that
// are no longer in force.
func (r *Recorder) Snapshot() []ObjectiveCounts {
	now := r.clock.Now()
	minute := now.Unix() / int64(bucketTime/time.Second)
	document := r.plan.Document()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []ObjectiveCounts
	live := make(map[key]bool)
	for team, section := range document {
		for i := range section.Objectives {
			o := &section.Objectives[i]
			k := key{team, o.Name}
			live[k] = true
			s := r.seriesByObjective[k]
			if s == nil {
				continue
			}
			l := ObjectiveCounts{Team: team, Name: o.Name, Since: now.Sub(s.startedAt)}
			l.Window = s.sum(minute-int64(o.Window/bucketTime)+1, minute)
			for m := minute - int64(LongWindow/bucketTime) + 1; m <= minute; m++ {
				l.Minutes = append(l.Minutes, s.sum(m, m))
			}
			out = append(out, l)
		}
	}
	for k := range r.seriesByObjective {
		if !live[k] {
			delete(r.seriesByObjective, k)
		}
	}
	slices.SortFunc(out, func(a, b ObjectiveCounts) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Name, b.Name))
	})
	return out
}
