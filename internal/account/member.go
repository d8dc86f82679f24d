package account

import (
	"math"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// Member is the membership of a job in its account. The methods of a nil Member are
// those of a job without an account.
type Member struct {
	entry *entry
	// accepted are the terms at the time of the job's acceptance. They hold while the
	// manifest does not have the account.
	accepted manifest.Terms
}

// Name returns the name of the account, or "" without one.
func (m *Member) Name() string {
	if m == nil {
		return ""
	}
	return m.entry.name
}

// Terms returns the terms that hold for the job.
func (m *Member) Terms() manifest.Terms {
	switch {
	case m == nil:
		return manifest.Terms{}
	case m.entry.known:
		return m.entry.terms
	}
	return m.accepted
}

// Limited reports whether the job is subject to a cap.
func (m *Member) Limited() bool { return m != nil && !m.Terms().Cap.IsZero() }

// Use returns what the account has in use.
func (m *Member) Use() job.Size {
	if m == nil {
		return job.Size{}
	}
	return m.entry.use
}

// Plan adds something whose start has not been sent yet.
func (m *Member) Plan(size job.Size) {
	if m != nil {
		m.entry.use = m.entry.use.Add(size)
		m.entry.planned = m.entry.planned.Add(size)
	}
}

// Sent records that the start of something planned is sent.
func (m *Member) Sent(size job.Size) {
	if m != nil {
		m.entry.planned = m.entry.planned.Sub(size)
	}
}

// Add adds something that is or may be running.
func (m *Member) Add(size job.Size) {
	if m != nil {
		m.entry.use = m.entry.use.Add(size)
	}
}

// Remove removes something that is certainly not running any more.
func (m *Member) Remove(size job.Size) {
	if m != nil {
		m.entry.use = m.entry.use.Sub(size)
	}
}

// Room returns how many things of a size fit under the cap, beside what is in use and
// something else.
func (m *Member) Room(size, beside job.Size) int64 {
	if !m.Limited() {
		return math.MaxInt32
	}
	return room(m.Terms().Cap, m.entry.use.Add(beside), size)
}

// Fits reports whether something fits under the cap beside what is in use.
func (m *Member) Fits(size job.Size) bool { return m.Room(size, job.Size{}) > 0 }

// MaySend reports whether something planned still fits under the cap, beside what has
// been sent. The cap may have been lowered since it was planned.
func (m *Member) MaySend(size job.Size) bool {
	return !m.Limited() || room(m.Terms().Cap, m.entry.use.Sub(m.entry.planned), size) > 0
}

// room returns how many things of a size fit under a cap beside what is in use. A
// resource that is not needed does not matter, even if the use of it exceeds the cap.
func room(limit, use, size job.Size) int64 {
	n := int64(math.MaxInt32)
	for _, r := range [...]struct{ limit, use, need int64 }{
		{limit.MilliCores, use.MilliCores, size.MilliCores},
		{limit.MemoryMB, use.MemoryMB, size.MemoryMB},
		{limit.Accelerators, use.Accelerators, size.Accelerators},
	} {
		if r.limit > 0 && r.need > 0 {
			n = min(n, max(r.limit-r.use, 0)/r.need)
		}
	}
	return n
}
