package plan

import "cicadabarrow.example/cicadabarrow/internal/job"

// Quota is a team's share of the room of all workers.
type Quota struct {
	// Guaranteed is what the team gets back from those who borrowed it.
	Guaranteed job.Size
	// Limit is the most that the team may use, borrowed room included.
	Limit job.Size
	// DataCentres says how the quota is split. Without it the quota is not
	// applied to the placement of jobs.
	DataCentres []DataCentreParts
}

// DataCentreParts is the number of equal parts of a quota that a data centre gets.
type DataCentreParts struct {
	DataCentre string
	Parts      int
}

// Allotment returns the part of the quota that belongs to a data centre. The
// allotments of one revision never add up to more than its quota, whatever
// their holders know of each other.
func (q Quota) Allotment(dataCentre string) Quota {
	var ownParts, totalParts int64
	for _, p := range q.DataCentres {
		totalParts += int64(p.Parts)
		if p.DataCentre == dataCentre {
			ownParts += int64(p.Parts)
		}
	}
	if totalParts == 0 {
		return Quota{}
	}
	scale := func(s job.Size) job.Size {
		return job.Size{
			MilliCores: s.MilliCores * ownParts / totalParts, MemoryMB: s.MemoryMB * ownParts / totalParts, Accelerators: s.Accelerators * ownParts / totalParts,
		}
	}
	return Quota{Guaranteed: scale(q.Guaranteed), Limit: scale(q.Limit)}
}
