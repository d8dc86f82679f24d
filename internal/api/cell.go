package api

// Cell is what an operator sees of the cell on the users' platform.
type Cell struct {
	// Owner is the host that owns the cell, and Epoch its fencing token.
	Owner    string
	Epoch    uint64
	Manifest uint64
	// Settling is set while runs of the last owner may be unknown.
	Settling bool
	// Jobs counts those that have not ended, Steps those with tasks to place,
	// and Tasks these tasks.
	Jobs    int
	Steps   int
	Tasks   int
	Workers []CellWorker
	Waves   []CellWave
}

// CellWorker is a worker of a cell.
type CellWorker struct {
	ID   string
	Rack string
	// State is Ready, Silent, Leaving, Maintenance, Quarantined or Unlisted.
	State string
	Runs  int
	Room  Size
	Free  Size
	// Slowness is how many times as long as elsewhere tasks took here, less 1.
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

// CellJob is a job of a cell.
type CellJob struct {
	ID    string
	Queue string
	State string
	// Age is for how long the owner has known the job.
	Age   string
	Steps []CellStep
}

// CellStep is one occurrence of a step.
type CellStep struct {
	Step    string
	Ready   bool
	Tasks   int
	Waiting int
	Done    int
	Runs    []CellRun
}

// CellRun is a task that may be at a worker.
type CellRun struct {
	Task    string
	Run     int
	Worker  string
	Percent int
	// Pace is the percentage at which the run may work; below 0 it is unknown.
	Pace     int
	Stopping bool
}
