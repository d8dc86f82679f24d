package admission

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/account"
)

// Load is what an owner knows of its cell at one moment.
type Load struct {
	// Started counts the starts that workers have accepted since the owner took over.
	Started uint64
	// StartsWait is set while starts have waited to be sent for so long that no more
	// tasks are placed: the owner, and neither the demand nor the workers, limits the
	// rate of starts.
	StartsWait bool
	// StartsFail is set while starts on many workers fail although these answer, as when
	// the owner's host has too little processor time for its calls. All starts are then
	// delayed.
	StartsFail bool
	// InExcess has the accounts whose next job would be in excess.
	InExcess []account.Excess
	// Services has what waits for the workers of each service.
	Services []ServiceLoad
}

// ServiceLoad is the work for the workers of one service.
type ServiceLoad struct {
	Service string
	// Started counts the starts that workers of the service have accepted since the
	// owner took over, and StartedMilliCores the capacity that the tasks reserved.
	Started           uint64
	StartedMilliCores int64
	// CapacityShort is set while the free capacity is too small for the tasks that wait.
	CapacityShort bool
	// FreedPerSecond is the capacity in millicores that the tasks on the workers free in
	// a second by their estimates; 0 if it is unknown. It counts while the capacity is
	// short.
	FreedPerSecond float64
	// Priorities has the demand before new jobs of the queues of each priority.
	Priorities []Demand
	// LongRunning is the demand before new long-running jobs, whatever their queue.
	LongRunning Demand
	// Ahead has the demand before new jobs of each priority that are ahead of the rate of
	// their account, which go after the others of that priority, and OverShare the one
	// before new jobs of accounts over their share of the capacity, which go after all
	// priorities. Both are set if an account is in excess.
	Ahead     []Demand
	OverShare Demand
}

// Demand is the work that goes before that of a new job.
type Demand struct {
	// Priority is that of the queues; 0 is the highest. Target is the shortest latency
	// that their jobs aim at besides their run time.
	Priority int
	Target   time.Duration
	// Starts counts the starts that the owner sends before those of the new job, for
	// workers of all services: those that wait to be sent, and those of tasks for which
	// there is free capacity.
	Starts int
	// StartsDelayed is set while no tasks of the job would be placed because starts wait
	// to be sent. Otherwise the starts of tasks that have just become ready delay it
	// little, however many these are.
	StartsDelayed bool
	// MissingMilliCores is the capacity that has to become free for tasks of the service
	// before those of the new job, besides what is free now.
	MissingMilliCores int64
}
