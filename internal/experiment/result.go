package experiment

import (
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Result is the outcome of a simulation.
type Result struct {
	Queues []QueueResult
	// Accounts is empty for a load without accounts.
	Accounts []AccountResult
	// Packing is the share of all cores in use, averaged over the time in which
	// jobs are submitted. PackingPerSecond is the same for each second.
	Packing          float64
	PackingPerSecond []float64
	// Starts and Stops count orders to workers, AdviceRequests requests to the
	// advice service.
	Starts         int
	Stops          int
	AdviceRequests int
	// WastedCoreSeconds is the work of runs that failed, or that were stopped
	// without a checkpoint.
	WastedCoreSeconds float64
}

// QueueResult is the outcome of the jobs of one queue.
type QueueResult struct {
	Name string
	// Jobs counts the submitted jobs that were not cancelled. A job is served when
	// it completed, or when it has failed and every run of it fails by the load's
	// HopelessShare. InTime counts the jobs served within their objective, and Late
	// those served within three times their objective.
	Jobs   int
	InTime int
	Late   int
	Missed int
	// Refused counts the jobs that were not accepted. They count as Missed too.
	Refused int
	// Waits are the times from submission to the first start, of the jobs that
	// started. CompletionTimes are those from submission to the end, of the jobs
	// that were served. Both are sorted.
	Waits           []time.Duration
	CompletionTimes []time.Duration
}

// AccountResult is the outcome of the jobs of one account.
type AccountResult struct {
	QueueResult
	Weight float64
	// CoreSeconds is the work that was done for the account while jobs were submitted.
	CoreSeconds float64
}

// lateFactor times its objective is the time after which a job is of no use.
const lateFactor = 3

// InTimeShare returns the share of jobs that met their objective, 1 if there are
// no jobs.
func (q *QueueResult) InTimeShare() float64 {
	if q.Jobs == 0 {
		return 1
	}
	return float64(q.InTime) / float64(q.Jobs)
}

// Quantile returns the value below which the given share of the sorted times lie.
func Quantile(sorted []time.Duration, part float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

func (s *simulation) result() Result {
	out := Result{
		Packing: s.metrics.packing(), PackingPerSecond: s.metrics.packingPerSecond, Starts: s.metrics.starts, Stops: s.metrics.stops,
		AdviceRequests: s.metrics.adviceRequests, WastedCoreSeconds: s.metrics.wasted,
	}
	for i := range s.load.Queues {
		out.Queues = append(out.Queues, s.queueResult(&s.load.Queues[i]))
	}
	for i := range s.load.Accounts {
		a := &s.load.Accounts[i]
		out.Accounts = append(out.Accounts, AccountResult{
			QueueResult: s.resultOf(a.Terms.Name, func(j *simulatedJob) bool { return j.account == a }),
			Weight:      a.Terms.Weight, CoreSeconds: s.metrics.coreSecondsOf[a.Terms.Name],
		})
	}
	return out
}

func (s *simulation) queueResult(q *Queue) QueueResult {
	return s.resultOf(q.Queue.Name, func(j *simulatedJob) bool { return j.queue == q })
}

// resultOf returns the outcome of some of the jobs.
func (s *simulation) resultOf(name string, concerns func(*simulatedJob) bool) QueueResult {
	out := QueueResult{Name: name}
	for _, j := range s.jobs {
		if concerns(j) && !j.cancelled {
			out.add(j)
		}
	}
	slices.Sort(out.Waits)
	slices.Sort(out.CompletionTimes)
	return out
}

func (q *QueueResult) add(j *simulatedJob) {
	q.Jobs++
	if j.refused {
		q.Refused++
	}
	if !j.startedAt.IsZero() {
		q.Waits = append(q.Waits, j.startedAt.Sub(j.submittedAt))
	}
	served := j.state == workload.StateCompleted || j.alwaysFails && j.state == workload.StateFailed
	if !served {
		q.Missed++
		return
	}
	took := j.endedAt.Sub(j.submittedAt)
	q.CompletionTimes = append(q.CompletionTimes, took)
	switch {
	case took <= j.objective:
		q.InTime++
	case took <= lateFactor*j.objective:
		q.Late++
	default:
		q.Missed++
	}
}

// metrics accumulates measurements during a simulation.
type metrics struct {
	starts         int
	stops          int
	adviceRequests int
	wasted         float64

	totalCores float64
	begin      time.Time
	end        time.Time
	at         time.Time
	usedCores  float64
	// coreSeconds is the core-seconds used up to at, and packingPerSecond the
	// share of all cores used in each second.
	coreSeconds      float64
	packingPerSecond []float64
	// coreSecondsOf has the core-seconds of the ended runs of each account, as far as
	// they are within the time in which jobs are submitted.
	coreSecondsOf map[string]float64
}

func newMetrics(begin time.Time, load Load) metrics {
	const milli = 1000
	return metrics{
		begin: begin, at: begin, end: begin.Add(load.Duration),
		totalCores:       float64(load.Workers.Capacity.MilliCores) / milli * float64(load.Workers.Count),
		packingPerSecond: make([]float64, int(load.Duration/time.Second)),
		coreSecondsOf:    make(map[string]float64),
	}
}

// advance accounts for the cores in use up to a time.
func (m *metrics) advance(now time.Time) {
	for m.at.Before(now) && m.at.Before(m.end) {
		second := int(m.at.Sub(m.begin) / time.Second)
		next := m.begin.Add(time.Duration(second+1) * time.Second)
		if now.Before(next) {
			next = now
		}
		worked := m.usedCores * next.Sub(m.at).Seconds()
		m.coreSeconds += worked
		if second < len(m.packingPerSecond) {
			m.packingPerSecond[second] += worked / m.totalCores
		}
		m.at = next
	}
}

// addCores changes the number of cores in use.
func (m *metrics) addCores(now time.Time, cores float64) {
	m.advance(now)
	m.usedCores += cores
}

// addRun accounts for a run that has ended.
func (m *metrics) addRun(now time.Time, j *simulatedJob, r *run, cores float64) {
	if now.After(m.end) {
		now = m.end
	}
	if worked := now.Sub(r.startedAt); j.account != nil && worked > 0 {
		m.coreSecondsOf[j.account.Terms.Name] += worked.Seconds() * cores
	}
}

func (m *metrics) addWasted(worked time.Duration, cores float64) {
	m.wasted += worked.Seconds() * cores
}

func (m *metrics) packing() float64 {
	return m.coreSeconds / (m.totalCores * m.end.Sub(m.begin).Seconds())
}
