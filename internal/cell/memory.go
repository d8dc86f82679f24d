package cell

import "cicadabarrow.example/cicadabarrow/internal/workload"

// What a job takes in the memory of the owner, in bytes and without the texts of the job,
// on a machine of 64 bits: the structures of this package and of package workload, and the
// entries of maps and lists that refer to them. TestJobBytes compares them with what is
// allocated.
const (
	bytesPerJob  = 1024
	bytesPerStep = 800
	bytesPerTask = 320
	// bytesPerDependency is that of an element of a list that was decoded, which has up to
	// twice the capacity that it needs.
	bytesPerDependency = 16
)

// LargeJobBytes is the size from which a job counts as large: about 190 tasks. Jobs of the
// deployments have about 16 to 34.
const LargeJobBytes = 64 << 10

// Bytes returns about how much memory the owner needs for the job until it forgets it.
func (a *AcceptedJob) Bytes() int64 {
	bytes := bytesPerJob + int64(len(a.Job.Spec))
	perOccurrence := int64(0)
	for i := range a.Job.Steps {
		s := &a.Job.Steps[i]
		bytes += int64(len(s.After)*bytesPerDependency + len(s.Label) + len(s.DataRack) + len(s.Image))
		perOccurrence += bytesPerStep + int64(s.Tasks)*bytesPerTask
	}
	return bytes + perOccurrence*int64(a.Job.Occurrences())
}

// HeldBytes is the memory that a cell needs for its jobs.
type HeldBytes struct {
	All int64
	// Large is the part of All for jobs of LargeJobBytes or more.
	Large int64
}

// HeldBytes returns about how much memory the jobs take that the cell knows, ended ones
// included until they are forgotten.
func (c *Cell) HeldBytes() HeldBytes { return c.held }

// hold adds the memory of a job.
func (c *Cell) hold(j *jobState) { c.held.add(j.bytes) }

// releaseBytes subtracts the memory of a job that is forgotten.
func (c *Cell) releaseBytes(id workload.JobID) {
	if j, known := c.jobs[id]; known {
		c.held.add(-j.bytes)
	}
}

func (h *HeldBytes) add(bytes int64) {
	h.All += bytes
	if max(bytes, -bytes) >= LargeJobBytes {
		h.Large += bytes
	}
}
