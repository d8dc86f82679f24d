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
	// bucketTime is the length of one bucket of counts.
	bucketTime = time.Minute
	// kept is the number of buckets, and with it the longest window.
	kept = 24 * 60
	// ShortWindow is the window of the burn rate that shows a fast burn soon.
	ShortWindow = 5 * time.Minute
	// LongWindow is the window of the burn rate that shows a lasting burn.
	LongWindow = time.Hour
	// maxObjectives bounds the objectives that one host counts.
	maxObjectives = 512
)

// Plan tells the objectives in force.
type Plan interface {
	Document() plan.Document
}

// Counts are the events of an objective.
type Counts struct {
	Good uint64
	Bad  uint64
}

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts { return Counts{Good: c.Good + o.Good, Bad: c.Bad + o.Bad} }

// ObjectiveCounts is what one host counted of one objective.
type ObjectiveCounts struct {
	Team string
	Name string
	// Since is how long ago the host began to count.
	Since time.Duration
	// Window sums the events of the objective's window, as far as they are
	// kept.
	Window Counts
	// Minutes holds the events of each of the last 60 minutes, the newest
	// last.
	Minutes []Counts
}

// key names an objective.
type key struct{ team, name string }

// series holds the counts of one objective by minute.
type series struct {
	began   time.Time
	buckets [kept]bucket
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

	mu     sync.Mutex
	series map[key]*series
}

// New returns a recorder that has counted nothing.
func New(p Plan, clock timer.Clock, scope tally.Scope) *Recorder {
	return &Recorder{plan: p, clock: clock, scope: scope.SubScope("burn"), series: make(map[key]*series)}
}

// Request counts a caller's request to a service. answered tells that a whole
// answer without an error came.
func (r *Recorder) Request(service string, took time.Duration, answered bool) {
	r.count(service, func(o *plan.Objective) (good, applies bool) {
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

// FirstStarted counts the first start of a task of a team's job.
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

func (r *Recorder) count(of string, judge func(*plan.Objective) (good, applies bool)) {
	for team, section := range r.plan.Document() {
		for i := range section.Objectives {
			o := &section.Objectives[i]
			if o.Of != of {
				continue
			}
			if good, applies := judge(o); applies {
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
	s := r.series[k]
	if s == nil {
		if len(r.series) >= maxObjectives {
			return
		}
		s = &series{began: now}
		r.series[k] = s
	}
	b := s.at(now.Unix() / int64(bucketTime/time.Second))
	tags := r.scope.Tagged(map[string]string{"team": team, "objective": name})
	if good {
		b.counts.Good++
		tags.Counter("good").Inc(1)
		return
	}
	b.counts.Bad++
	tags.Counter("bad").Inc(1)
}

// at returns the bucket of a minute, emptied if it held an older one.
func (s *series) at(minute int64) *bucket {
	b := &s.buckets[minute%kept]
	if b.minute != minute {
		*b = bucket{minute: minute}
	}
	return b
}

// sum adds the buckets from the minute first up to the minute last.
func (s *series) sum(first, last int64) Counts {
	var c Counts
	for minute := max(first, last-kept+1); minute <= last; minute++ {
		if b := &s.buckets[minute%kept]; b.minute == minute {
			c = c.Add(b.counts)
		}
	}
	return c
}

// Snapshot returns the counts of the objectives in force, in order. Counts of
// others are forgotten.
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
			s := r.series[k]
			if s == nil {
				continue
			}
			l := ObjectiveCounts{Team: team, Name: o.Name, Since: now.Sub(s.began)}
			l.Window = s.sum(minute-int64(o.Window/bucketTime)+1, minute)
			for m := minute - int64(LongWindow/bucketTime) + 1; m <= minute; m++ {
				l.Minutes = append(l.Minutes, s.sum(m, m))
			}
			out = append(out, l)
		}
	}
	for k := range r.series {
		if !live[k] {
			delete(r.series, k)
		}
	}
	slices.SortFunc(out, func(a, b ObjectiveCounts) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Name, b.Name))
	})
	return out
}
