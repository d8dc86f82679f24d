package cell

import (
	"cmp"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/admission"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// StartSlack returns how long the start of a job of a queue may wait without a delay
// beyond its objective. Long-running jobs have no end to be in time for.
func StartSlack(j *workload.Job, q *manifest.Queue) time.Duration {
	if j.LongRunning() {
		return q.TargetLatency
	}
	return max(Objective(j, q)-criticalPath(j), q.TargetLatency)
}

// acceptedStarts is what workers have accepted since the owner took over.
type acceptedStarts struct {
	starts     uint64
	milliCores int64
}

// countAccepted counts a run whose start a worker has accepted.
func (c *Cell) countAccepted(r *run) {
	accepted := c.startsAccepted[r.worker.registration.Service]
	accepted.starts++
	accepted.milliCores += r.task.step.spec.Reserved().MilliCores
	c.startsAccepted[r.worker.registration.Service] = accepted
}

// serviceDemand is the work that waits for the workers of a service.
type serviceDemand struct {
	// waiting has the tasks that wait to be placed by their rank, with all long-running
	// ones on time in classLongRunning.
	waiting map[demandClass]waitingWork
	// freeMilliCores is the free capacity of the workers that may get starts.
	freeMilliCores int64
	// short is set while the free capacity is too small for all tasks that wait, and
	// freedPerSecond is the capacity that the tasks on the workers then free in a second
	// by their estimates.
	short          bool
	freedPerSecond float64
	// targets has the shortest target latency of the queues of each priority.
	targets map[int]time.Duration
}

// demandClass is a class of rank, and within it the jobs that are ahead of the rate of
// their account or the others.
type demandClass struct {
	class int
	ahead bool
}

// waitingWork is tasks that wait to be placed.
type waitingWork struct {
	tasks      int
	milliCores int64
}

// upTo returns the tasks that wait in a class or in an earlier one.
func (d *serviceDemand) upTo(last demandClass) waitingWork {
	var out waitingWork
	for c, work := range d.waiting {
		if cmp.Or(cmp.Compare(c.class, last.class), compareBools(c.ahead, last.ahead)) <= 0 {
			out.tasks += work.tasks
			out.milliCores += work.milliCores
		}
	}
	return out
}

// missing returns the capacity that tasks wait for besides the free one.
func (d *serviceDemand) missing(w waitingWork) int64 { return max(w.milliCores-d.freeMilliCores, 0) }

// fitting returns about how many of the tasks fit into the free capacity.
func (d *serviceDemand) fitting(w waitingWork) int {
	if w.milliCores <= d.freeMilliCores {
		return w.tasks
	}
	return int(float64(w.tasks) * float64(d.freeMilliCores) / float64(w.milliCores))
}

// maxNamedAccounts limits the accounts in excess that the owner names to hosts.
const maxNamedAccounts = 64

// Load returns what decides whether new jobs are accepted.
func (c *Cell) Load(now time.Time) admission.Load {
	out := admission.Load{StartsWait: c.dispatch.full(now, startClasses-1)}
	for _, accepted := range c.startsAccepted {
		out.Started += accepted.starts
	}
	if c.manifest == nil {
		return out
	}
	out.InExcess = c.books.InExcess(now, maxNamedAccounts)
	services := c.serviceDemands()
	out.StartsFail = c.addCapacity(now, services)
	c.addFreed(services)
	for _, name := range sortedKeys(services) {
		d, accepted := services[name], c.startsAccepted[name]
		s := admission.ServiceLoad{
			Service: name, Started: accepted.starts, StartedMilliCores: accepted.milliCores,
			CapacityShort: d.short, FreedPerSecond: d.freedPerSecond,
			LongRunning: c.demandOf(now, services, d, demandClass{class: classLongRunning}),
		}
		for _, priority := range sortedKeys(d.targets) {
			s.Priorities = append(s.Priorities, c.demandOf(now, services, d, demandClass{class: priority}))
			if len(out.InExcess) > 0 {
				s.Ahead = append(s.Ahead, c.demandOf(now, services, d, demandClass{class: priority, ahead: true}))
			}
		}
		if len(out.InExcess) > 0 {
			s.OverShare = c.demandOf(now, services, d, demandClass{class: classOverShare, ahead: true})
		}
		out.Services = append(out.Services, s)
	}
	return out
}

// demandOf returns the demand before a new job of a class for the workers of a service:
// the tasks of its class or an earlier one, and long-running ones. Those in classExpired
// always go after it. Starts for workers of other services go before it too, but only
// those for which there is capacity.
func (c *Cell) demandOf(now time.Time, services map[string]*serviceDemand, d *serviceDemand, of demandClass) admission.Demand {
	class := of.startClass()
	out := admission.Demand{
		Priority: of.class, Target: d.targets[of.class],
		StartsDelayed: c.dispatch.full(now, class), MissingMilliCores: d.missing(d.upTo(of)),
	}
	for _, other := range services {
		out.Starts += other.fitting(other.upTo(of))
	}
	for earlier := range class + 1 {
		out.Starts += c.dispatch.parts[earlier].waiting
	}
	return out
}

// startClass returns the class of the starts of jobs.
func (d demandClass) startClass() startClass {
	switch {
	case d.class == classLongRunning:
		return startLongRunning
	case d.class == 0 && d.ahead:
		return startUrgentAhead
	case d.class == 0:
		return startUrgent
	case d.ahead:
		return startExcess
	}
	return startOther
}

// serviceDemands returns what waits for the workers of each service of the manifest's
// queues.
func (c *Cell) serviceDemands() map[string]*serviceDemand {
	out := make(map[string]*serviceDemand)
	for i := range c.manifest.Queues {
		q := &c.manifest.Queues[i]
		d, known := out[q.Service]
		if !known {
			d = &serviceDemand{waiting: make(map[demandClass]waitingWork), targets: make(map[int]time.Duration)}
			out[q.Service] = d
		}
		if target, known := d.targets[q.Priority]; !known || q.TargetLatency < target {
			d.targets[q.Priority] = q.TargetLatency
		}
	}
	c.waitingWithinCaps(func(s *stepState, tasks int) {
		d, known := out[c.queueOf(s.job).Service]
		if !known {
			return // no new jobs can be submitted for it
		}
		r := s.key.rank
		class := demandClass{class: r.class, ahead: r.ahead}
		if s.spec.LongRunning && !r.ahead && r.class != classOverShare {
			class.class = classLongRunning
		}
		work := d.waiting[class]
		work.tasks += tasks
		work.milliCores += int64(tasks) * s.spec.Reserved().MilliCores
		d.waiting[class] = work
	})
	return out
}

const (
	// failedStartAge is how long a start without an answer counts, unless the worker
	// accepts one after it.
	failedStartAge = 2 * time.Second
	// failingDivisor of the workers that may get starts gives how many of them may fail
	// at once for reasons of their own.
	failingDivisor = 4
)

// addCapacity adds the capacity of the workers that may get starts, and reports whether
// the last starts on many of them had no answer.
func (c *Cell) addCapacity(now time.Time, services map[string]*serviceDemand) (startsFail bool) {
	usable, failing := 0, 0
	for _, w := range c.sortedWorkers {
		if !c.usable(now, w) {
			continue
		}
		usable++
		if now.Sub(w.startFailedAt) < failedStartAge {
			failing++
		}
		if d, known := services[w.registration.Service]; known {
			d.freeMilliCores += max(w.freeCapacity().MilliCores, 0)
		}
	}
	return failing > usable/failingDivisor
}

// addFreed adds what the running tasks of the services without enough free capacity free.
func (c *Cell) addFreed(services map[string]*serviceDemand) {
	anyShort := false
	for _, d := range services {
		d.short = d.missing(d.upTo(demandClass{class: classExpired, ahead: true})) > 0
		anyShort = anyShort || d.short
	}
	if !anyShort {
		return
	}
	for _, w := range c.sortedWorkers {
		if d, known := services[w.registration.Service]; known && d.short {
			d.freedPerSecond += w.freedPerSecond()
		}
	}
}

// freedPerSecond returns the capacity in millicores that the worker's tasks free in a
// second by their estimates.
func (w *worker) freedPerSecond() float64 {
	freed := 0.0
	for _, r := range w.runs.list {
		if s := r.task.step.spec; !s.LongRunning && s.Estimate > 0 {
			freed += float64(s.Reserved().MilliCores) / s.Estimate.Seconds()
		}
	}
	return freed
}
