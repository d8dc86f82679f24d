package api

// Cell is the state of the cell on the users' platform, for operators.
type Cell struct {
	// Owner is the host that owns the cell, and Epoch the epoch of its ownership,
	// which is its fencing token.
	Owner    string
	Epoch    uint64
	Manifest uint64
	// Settling tells whether runs of the predecessor may still be unknown.
	Settling bool
	// Jobs is the number of jobs that have not ended, Steps that of the steps
	// with tasks to place, and Tasks that of the tasks to place.
	Jobs    int
	Steps   int
	Tasks   int
	Workers []CellWorker
	Waves   []CellWave
	// Relays are the hosts that make calls to workers for the owner.
	Relays []CellRelay
	// Interference is nil if the owner does not learn it.
	Interference *CellInterference `json:",omitempty"`
	// Accounts are the client accounts. It is left out without any.
	Accounts []CellAccount `json:",omitempty"`
}

// CellInterference is what the owner knows about interference between tasks.
type CellInterference struct {
	// Mode is Observe or Avoid.
	Mode string
	// Classes is the number of classes of tasks that are observed, and Pairs that of the
	// pairs of classes that are known to interfere. A class has the tasks of one image,
	// apart for those that serve and those that do not.
	Classes int
	Pairs   int
	// Worst holds the pairs with the largest loss, the largest first.
	Worst []CellPair
}

// CellPair is an image whose tasks fare worse beside tasks of another one.
type CellPair struct {
	Image string
	// Serving tells whether the tasks of Image have a latency target, and BesideServing
	// whether those of Beside have.
	Serving       bool
	Beside        string
	BesideServing bool
	// Loss is the loss of a task of Image for each task of Beside: of a serving task the
	// part of its latency target by which its latency rises, of another one the part of its
	// speed.
	Loss float64
	// Age is the time since the two were last seen on one worker.
	Age string
}

// CellRelay is a host that makes calls to workers for the owner.
type CellRelay struct {
	Addr       string
	DataCentre string
	Cores      float64
	// State is Used, Suspected or Lost.
	State string
	// Workers is the number of workers whose calls it makes.
	Workers int
}

// CellWorker is the state of a worker of a cell.
type CellWorker struct {
	ID   string
	Rack string
	// Relay is the address of the host that makes the calls to the worker; it is
	// empty if the owner makes them itself.
	Relay string
	// State is Ready, Silent, Leaving, Maintenance, Quarantined or Unlisted.
	State string
	Runs  int
	Room  Size
	// Free is negative in a resource if the worker's capacity has shrunk below
	// what its runs hold.
	Free Size
	// Slowness is the ratio of the run time of tasks on this worker to that on
	// others, minus 1.
	Slowness float64
}

// CellWave is a wave of maintenance.
type CellWave struct {
	Wave     int
	Machines int
	Ordered  int
	Settled  int
	Done     bool
}

// CellJob is the state of a job of a cell.
type CellJob struct {
	ID    string
	Queue string
	State string
	// Cause tells why the job has failed; it is empty for all others.
	Cause string
	// Age is the time since the owner learned of the job.
	Age   string
	Steps []CellStep
}

// CellStep is the state of one occurrence of a step.
type CellStep struct {
	Step    string
	Ready   bool
	Tasks   int
	Waiting int
	Done    int
	Runs    []CellRun
}

// CellRun is a run of a task that may be present on a worker.
type CellRun struct {
	Task    string
	Run     int
	Worker  string
	Percent int
	// Pace is the percentage of full speed that the run may use; a negative one
	// is unknown.
	Pace     int
	Stopping bool
}
