package cell

import (
	"net/netip"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// WorkerID identifies a worker. A worker that restarts may keep its ID.
type WorkerID string

// Incarnation distinguishes successive processes of a worker; a larger number
// is a later one.
type Incarnation int64

// Registration is a worker's entry in the list of workers.
type Registration struct {
	ID          WorkerID
	Incarnation Incarnation
	// Machine is the machine that the worker runs on.
	Machine    string
	Addr       netip.AddrPort
	Service    string
	DataCentre string
	Labels     []string
	Capacity   job.Size
	// Leaving is set when the worker has been told to leave. It is then drained
	// and gets no new starts.
	Leaving bool
	// TimeLeft is the minimum time that a leaving worker still has.
	TimeLeft time.Duration
	// Renewal counts how often the incarnation has written its entry. It is 0 if that is
	// not known.
	Renewal int64
	// WrittenAfter is a time at which the store did not have this version of the entry.
	// It is zero if none is known.
	WrittenAfter time.Time
}

// rackPrefix is the first letter of the label that names a worker's rack.
const rackPrefix = "r"

// Rack returns the label that names the worker's rack, or "" without one.
func (r *Registration) Rack() string {
	for _, label := range r.Labels {
		if len(label) > 1 && label[:1] == rackPrefix && label[1] >= '0' && label[1] <= '9' {
			return label
		}
	}
	return ""
}

// HasLabel reports whether the worker has a label.
func (r *Registration) HasLabel(label string) bool { return slices.Contains(r.Labels, label) }

// Running is a worker's report of one run.
type Running struct {
	Task workload.TaskID
	Run  int
	// Checkpoint is the last checkpoint; empty means none.
	Checkpoint string
	// Percent is how much of the work is done. A long-running task reports 100
	// once it has started up.
	Percent int
	// Load is a rough figure for the last half second: the tail latency in
	// milliseconds for a task that serves requests, otherwise the CPU use in
	// millicores.
	Load float64
}

// EndKind tells how a run ended.
type EndKind string

const (
	// EndDone means that the task is done.
	EndDone EndKind = "done"
	// EndFailed means that the run failed, through its own fault or the
	// worker's.
	EndFailed EndKind = "failed"
	// EndStopped means that the run was stopped on request.
	EndStopped EndKind = "stopped"
	// EndLeaseExpired means that the worker's lease expired. The cell also uses it
	// for a run that is lost in another way: with the earlier incarnation of its
	// worker, or by vanishing from the reports. In each case the task is placed
	// again and no failed run is counted.
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang did not start
	// in time.
	EndGangIncomplete EndKind = "alone"
)

// Ended is the end of one run. The worker lists it until it is acknowledged.
type Ended struct {
	// Number counts the ends of one incarnation from 1.
	Number     int64
	Task       workload.TaskID
	Run        int
	Kind       EndKind
	Checkpoint string
}

// Report is a worker's answer to a hold call.
type Report struct {
	Incarnation Incarnation
	// Clock is the reading of the worker's monotonic clock.
	Clock time.Duration
	// Age is how old, at most, the reading is: the time since the call was sent, by the
	// owner's clock. The owner sets it.
	Age     time.Duration
	Running []Running
	Ended   []Ended
	// EndsTruncated is set when the worker has more ends than it listed.
	EndsTruncated bool
}
