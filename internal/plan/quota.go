package plan

import "cicadabarrow.example/cicadabarrow/internal/job"

// Quota is a team's share of the capacity of all workers.
type Quota struct {
	// Guaranteed is the amount that the team can always use: when it needs the
	// amount, other teams that borrowed some of it give it back.
	Guaranteed job.Size
	// Limit is the most that the team may use, including borrowed capacity.
	Limit job.Size
	// DataCentres splits the quota between data centres. When it is empty, the
	// quota is not applied to the placement of jobs.
	DataCentres []DataCentreParts
}

// DataCentreParts is the number of equal parts of a quota that one data centre
// gets.
type DataCentreParts struct {
	DataCentre string
	Parts      int
}

// Allotment returns the part of the quota that belongs to a data centre. It is
// rounded down, so the allotments of one revision never add up to more than its
// quota, and data centres need not know each other's usage to respect it.
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
