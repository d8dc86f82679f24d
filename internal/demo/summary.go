package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Summary is the result of a run. It is computed from the stand-ins' journals and
// from the outcomes that callers received.
type Summary struct {
	Deployment string
	Seed       uint64
	Faults     bool

	Accepted          int
	Answered          int
	NotRun            int
	Unknown           int
	Lost              int
	Doubled           int
	RefusedButRan     int
	OverfullHosts     int
	OverfullUpstreams int
	TasksInTwoPlaces  int
	SplitGangs        int
	RevertedSections  int

	JobsAccepted     int
	JobsUnfinished   int
	EditsAccepted    int
	EditsNotInForce  int
	StartWaitP50     time.Duration
	StartWaitP99     time.Duration
	UrgentStartWait  time.Duration
	Packing          float64
	StoreWrites      float64
	ControlBytes     float64
	CrossRegionBytes uint64
	// Traffic lists the rates of all purposes, the largest first.
	Traffic []PurposeRate
}

// PurposeRate is the traffic of one purpose.
type PurposeRate struct {
	Purpose               string
	BytesPerNodePerSecond float64
}

// HasViolations reports whether the run violated an invariant of the scheduler.
func (s Summary) HasViolations() bool {
	return s.Lost+s.Doubled+s.RefusedButRan+s.OverfullHosts+s.OverfullUpstreams+
		s.TasksInTwoPlaces+s.SplitGangs+s.RevertedSections+s.JobsUnfinished+s.EditsNotInForce > 0
}

type summaryWire struct {
	Deployment                   string
	Seed                         uint64
	Faults                       bool
	Accepted                     int
	Answered                     int
	NotRun                       int
	Unknown                      int
	Lost                         int
	Doubled                      int
	RefusedButRan                int
	OverfullHosts                int
	OverfullUpstreams            int
	TasksInTwoPlaces             int
	SplitGangs                   int
	RevertedSections             int
	JobsAccepted                 int
	JobsUnfinished               int
	EditsAccepted                int
	EditsNotInForce              int
	StartWaitP50                 string
	StartWaitP99                 string
	UrgentStartWaitP99           string
	Packing                      float64
	StoreWritesPerSecond         float64
	ControlBytesPerNodePerSecond float64
	CrossRegionBytes             uint64
	Traffic                      []PurposeRate
}

// WriteJSON writes the summary as one JSON object on a single line.
func (s Summary) WriteJSON(w io.Writer) error {
	return json.NewEncoder(w).Encode(summaryWire{
		Deployment: s.Deployment, Seed: s.Seed, Faults: s.Faults, Accepted: s.Accepted, Answered: s.Answered,
		NotRun: s.NotRun, Unknown: s.Unknown, Lost: s.Lost, Doubled: s.Doubled, RefusedButRan: s.RefusedButRan,
		OverfullHosts: s.OverfullHosts, OverfullUpstreams: s.OverfullUpstreams,
		TasksInTwoPlaces: s.TasksInTwoPlaces, SplitGangs: s.SplitGangs, RevertedSections: s.RevertedSections,
		JobsAccepted: s.JobsAccepted, JobsUnfinished: s.JobsUnfinished, EditsAccepted: s.EditsAccepted,
		EditsNotInForce: s.EditsNotInForce, StartWaitP50: s.StartWaitP50.String(), StartWaitP99: s.StartWaitP99.String(),
		UrgentStartWaitP99: s.UrgentStartWait.String(), Packing: s.Packing, StoreWritesPerSecond: s.StoreWrites,
		ControlBytesPerNodePerSecond: s.ControlBytes, CrossRegionBytes: s.CrossRegionBytes,
		Traffic: s.Traffic,
	})
}

// WriteText writes the summary as text.
func (s Summary) WriteText(w io.Writer) error {
	verdict := "every promise held"
	if s.HasViolations() {
		verdict = "A PROMISE WAS BROKEN"
	}
	for _, p := range s.Traffic {
		if _, err := fmt.Fprintf(w, "traffic   %8.0f bytes/s a node  %s\n", p.BytesPerNodePerSecond, p.Purpose); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, `requests  accepted %d, answered %d, not run %d, unknown %d
jobs      accepted %d, unfinished %d
edits     accepted %d, not in force %d
waits     start p50 %v, p99 %v; urgent p99 %v
use       packing %.0f%%, store %.1f writes/s, control %.0f bytes/s a node, across regions %d bytes
promises  lost %d, doubled %d, refused but ran %d, overfull hosts %d, overfull upstreams %d,
          tasks in two places %d, split gangs %d, reverted sections %d
%s
`, s.Accepted, s.Answered, s.NotRun, s.Unknown, s.JobsAccepted, s.JobsUnfinished, s.EditsAccepted, s.EditsNotInForce,
		s.StartWaitP50.Round(time.Millisecond), s.StartWaitP99.Round(time.Millisecond),
		s.UrgentStartWait.Round(time.Millisecond), s.Packing*100, s.StoreWrites, s.ControlBytes, s.CrossRegionBytes,
		s.Lost, s.Doubled, s.RefusedButRan, s.OverfullHosts, s.OverfullUpstreams, s.TasksInTwoPlaces, s.SplitGangs,
		s.RevertedSections, verdict)
	return err
}
