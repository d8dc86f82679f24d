package interference

import (
	"math"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// Mode tells what the owner does with what it learns.
type Mode string

const (
	// ModeOff learns nothing.
	ModeOff Mode = ""
	// ModeObserve learns and shows, and changes no placement.
	ModeObserve Mode = "Observe"
	// ModeAvoid also takes what was learned into account when a worker is chosen.
	ModeAvoid Mode = "Avoid"
)

// Class is a set of tasks that are expected to behave alike.
type Class struct {
	Image string
	// Serving is set for tasks with a latency target.
	Serving bool
}

// Valid reports whether a class has an image that is kept. Clients name the images, and
// comparing long names would cost the owner time.
func (c Class) Valid() bool { return c.Image != "" && len(c.Image) <= maxImageBytes }

// Presence is how many tasks of a class are on a worker. It may be a fraction: a task that
// is active for half of the time counts as half a task.
type Presence struct {
	Class Class
	Tasks float64
}

// Measurement is how one task fares.
type Measurement struct {
	Class Class
	Size  job.Size
	// Own is the part of the presence of its class that the task itself makes up.
	Own float64
	// Value is the latency over the target of a serving task, and the progress per
	// second of another one, in any unit that is the same for all tasks of the class
	// and size.
	Value float64
}

// Observation is what was seen on a worker over a short time.
type Observation struct {
	Worker    string
	Presences []Presence
	// Measured holds tasks of classes that are present.
	Measured []Measurement
}

const (
	// halfLife is the time in which the weight of an observation halves, and the loss of a
	// pair that is no longer seen together.
	halfLife = 15 * time.Second
	// maxClasses limits the classes, and maxNeighbours the neighbours of each.
	maxClasses    = 128
	maxNeighbours = 32
	// maxImageBytes limits the names of images, which are kept and logged.
	maxImageBytes = 200
	// replaceAfter is how long a class has not been seen when another one may take its
	// place, and dropAfter how long when it is dropped.
	replaceAfter = 2 * halfLife
	dropAfter    = 20 * halfLife
	// maxTasks limits a presence.
	maxTasks = 256
	// rebaseAfter is after how many half-lives the sums are scaled down, so that the
	// weights of new observations do not overflow.
	rebaseAfter = 200
)

// Model holds what was learned. It is not safe for concurrent use.
type Model struct {
	subjects map[Class]*subject
	// order holds the subjects in the order in which they were added, so that the model is
	// deterministic.
	order []*subject
	// next is the index of the class whose turn it is to be refreshed.
	next int
	// epoch is when an observation had the weight 1. The weight of later ones grows in
	// place of a decay of all sums.
	epoch time.Time
	// known counts the known pairs.
	known   int
	changes changeLog
	// present and groups are buffers of Observe.
	present []presentSubject
	groups  []group
}

// presentSubject is a resolved Presence.
type presentSubject struct {
	subject *subject
	tasks   float64
}

// group is the mean over the measured tasks of one class on a worker.
type group struct {
	subject   *subject
	loss, own float64
	n         int
}

// New returns an empty model.
func New() *Model { return &Model{subjects: make(map[Class]*subject)} }

// Observe adds an observation. Values that are not finite or out of range, and classes for
// which there is no space, are left out.
func (m *Model) Observe(now time.Time, o Observation) {
	weight := m.weightAt(now)
	m.present = m.present[:0]
	for _, p := range o.Presences {
		if !(p.Tasks > 0) {
			continue
		}
		if s := m.subject(now, p.Class); s != nil {
			m.addPresent(s, p.Tasks)
		}
	}
	m.groups = m.groups[:0]
	for i := range o.Measured {
		m.measure(now, &o.Measured[i])
	}
	for i := range m.groups {
		g := &m.groups[i]
		mean := 1 / float64(g.n)
		g.subject.observe(now, weight, o.Worker, m.present, g.loss*mean, g.own*mean)
	}
}

// addPresent adds to the presence of a class.
func (m *Model) addPresent(s *subject, tasks float64) {
	for i := range m.present {
		if m.present[i].subject == s {
			m.present[i].tasks = min(m.present[i].tasks+tasks, maxTasks)
			return
		}
	}
	m.present = append(m.present, presentSubject{s, min(tasks, maxTasks)})
}

// presentOf returns the subject of a class that is present, or nil.
func (m *Model) presentOf(c Class) *subject {
	for _, p := range m.present {
		if p.subject.class == c {
			return p.subject
		}
	}
	return nil
}

// measure adds a measurement to the group of its class.
func (m *Model) measure(now time.Time, e *Measurement) {
	if math.IsNaN(e.Value) || math.IsInf(e.Value, 0) || e.Value < 0 || !(e.Own >= 0) {
		return
	}
	s := m.presentOf(e.Class)
	if s == nil {
		return
	}
	loss, known := s.lossOf(now, e)
	if !known {
		return
	}
	for i := range m.groups {
		if g := &m.groups[i]; g.subject == s {
			g.loss, g.own, g.n = g.loss+loss, g.own+min(e.Own, maxTasks), g.n+1
			return
		}
	}
	m.groups = append(m.groups, group{s, loss, min(e.Own, maxTasks), 1})
}

// subject returns the subject of a class that is seen now, or nil if there is no space for
// another one.
func (m *Model) subject(now time.Time, c Class) *subject {
	if !c.Valid() {
		return nil
	}
	if s, ok := m.subjects[c]; ok {
		s.seenAt = now
		return s
	}
	if len(m.order) >= maxClasses && !m.dropOldest(now) {
		return nil
	}
	s := &subject{class: c, seenAt: now}
	m.subjects[c] = s
	m.order = append(m.order, s)
	return s
}

// dropOldest drops the class that was not seen for longest, and reports whether it did.
func (m *Model) dropOldest(now time.Time) bool {
	oldest := m.order[0]
	for _, s := range m.order {
		if s.seenAt.Before(oldest.seenAt) {
			oldest = s
		}
	}
	if now.Sub(oldest.seenAt) < replaceAfter {
		return false
	}
	m.drop(now, oldest)
	return true
}

// weightAt returns the weight of an observation made now.
func (m *Model) weightAt(now time.Time) float64 {
	if m.epoch.IsZero() {
		m.epoch = now
	}
	age := now.Sub(m.epoch).Seconds() / halfLife.Seconds()
	if age > rebaseAfter {
		for _, s := range m.order {
			s.scale(math.Exp2(-age))
		}
		m.epoch, age = now, 0
	}
	return math.Exp2(age)
}

// decay returns the factor by which a weight decays in the given time.
func decay(d time.Duration) float64 {
	return math.Exp2(-max(d.Seconds(), 0) / halfLife.Seconds())
}
