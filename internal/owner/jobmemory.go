package owner

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/admission"
	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	// largeJobShare is the share of Config.JobBytes that large jobs may take together, so
	// that they leave room for ordinary ones.
	largeJobShare = 0.35
	// reservationTimeout is how long the bytes of a job stay reserved whose outcome is
	// unknown. If it was accepted, the change feed brings it within a few seconds.
	reservationTimeout = 10 * time.Second
	// MemoryRetryAfter is after how long refused jobs should be submitted again. When
	// memory is released is not known: with jobs that ended Config.Cell.KeepEnded ago.
	MemoryRetryAfter = 5 * time.Second
)

// jobMemory bounds the memory of the jobs that the owner keeps. It is safe for concurrent
// use. A limit of 0 is none.
type jobMemory struct {
	limit int64

	mu   sync.Mutex
	held cell.HeldBytes
	// reserved has the jobs that are being accepted and that the cell does not know yet.
	reserved map[workload.JobID]reservedJob
	loggedAt time.Time
	full     bool
}

type reservedJob struct {
	bytes int64
	at    time.Time
}

func newJobMemory(limit int64) *jobMemory {
	return &jobMemory{limit: limit, reserved: make(map[workload.JobID]reservedJob)}
}

// reserve reserves the memory of a job, and returns false if there is too little. A single
// large job is accepted however little there is. The memory of a small job is not reserved:
// it counts once the cell knows the job.
func (m *jobMemory) reserve(now time.Time, id workload.JobID, bytes int64) bool {
	if m.limit == 0 {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	all, large := m.held.All, m.held.Large
	for _, r := range m.reserved {
		all += r.bytes
		large += r.bytes
	}
	if bytes < cell.LargeJobBytes {
		return all+bytes <= m.limit
	}
	if _, repeated := m.reserved[id]; repeated {
		return true
	}
	within := all+bytes <= m.limit && float64(large+bytes) <= largeJobShare*float64(m.limit)
	if !within && large > 0 {
		return false
	}
	m.reserved[id] = reservedJob{bytes, now}
	return true
}

// release returns what was reserved for a job that was not accepted.
func (m *jobMemory) release(id workload.JobID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.reserved, id)
}

// update takes the memory of the jobs that the cell knows.
func (m *jobMemory) update(now time.Time, held cell.HeldBytes, known func(id workload.JobID) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held = held
	for id, r := range m.reserved {
		if known(id) || now.Sub(r.at) > reservationTimeout {
			delete(m.reserved, id)
		}
	}
}

// isFull reports whether the jobs take all of the memory.
func (m *jobMemory) isFull() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limit > 0 && m.held.All >= m.limit
}

// ReserveJob reserves the memory of a job that is about to be accepted, and returns false
// if the owner has too little for it. It may be called at any time.
func (o *Owner) ReserveJob(a *cell.AcceptedJob) bool {
	return o.jobMemory.reserve(o.timers.Now(), a.Job.ID, a.Bytes())
}

// ReleaseJob returns the memory of a job that was not accepted.
func (o *Owner) ReleaseJob(id workload.JobID) { o.jobMemory.release(id) }

// updateJobMemory brings the memory of jobs up to date. Only the event loop calls it.
func (o *Owner) updateJobMemory(now time.Time) {
	held := o.cell.HeldBytes()
	o.jobMemory.update(now, held, func(id workload.JobID) bool {
		_, known := o.cell.Status(id)
		return known
	})
	o.metrics.scope.Gauge("job_bytes").Update(float64(held.All))
	o.metrics.scope.Gauge("large_job_bytes").Update(float64(held.Large))
}

// refuseIfFull adds to a decision that all jobs are refused while the jobs that the owner
// keeps take all of their memory.
func (o *Owner) refuseIfFull(now time.Time, d admission.Decision) admission.Decision {
	o.updateJobMemory(now)
	full := o.jobMemory.isFull()
	if full {
		d = d.WithAllRefused(MemoryRetryAfter)
	}
	m := o.jobMemory
	if full != m.full && now.Sub(m.loggedAt) >= reportInterval {
		m.full, m.loggedAt = full, now
		o.log.Warn("the memory for jobs is full or has room again", zap.Bool("Full", full), zap.Any("Held", o.cell.HeldBytes()), zap.Int64("Limit", m.limit))
	}
	return d
}
