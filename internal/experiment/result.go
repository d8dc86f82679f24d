package experiment

import (
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Result is what the callers of a load got, and what it took.
type Result struct {
	Queues []QueueResult
	// Packing is the part of all cores that worked, on average over the time in
	// which jobs were handed in, and PackingOver the same by second.
	Packing     float64
	PackingPerSecond []float64
	// Starts and Stops count orders to workers, Questions those to the advice
	// service.
	Starts    int
	Stops     int
	AdviceRequests int
	// WastedCoreSeconds is work that was stopped or failed and not saved.
	WastedCoreSeconds float64
}

// QueueResult is what the callers of one queue got.
type QueueResult struct {
	Name string
	// Jobs are those handed in that were not cancelled. InTime were complete, or
	// failed for good if they are hopeless, within their objective; Late within
	// three times of it.
	Jobs   int
	InTime int
	Late   int
	Missed int
	// Waits are the times from handing in to the first start, and Times those
	// to the end, of the jobs that got there, sorted.
	Waits []time.Duration
	CompletionTimes []time.Duration
}

// lateFactor times the objective is when a job is of no use any more.
const lateFactor = 3

// InTimeShare is the part of the jobs that kept their objective.
func (q *QueueResult) InTimeShare() float64 {
	if q.Jobs == 0 {
		return 1
	}
	return float64(q.InTime) / float64(q.Jobs)
}

// Quantile returns the value below which a part of sorted times lie.
func Quantile(sorted []time.Duration, part float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

func (p *simulation) result() Result {
	out := Result{
		Packing: p.metrics.packing(), PackingPerSecond: p.metrics.packingPerSecond, Starts: p.metrics.starts, Stops: p.metrics.stops,
		AdviceRequests: p.metrics.adviceRequests, WastedCoreSeconds: p.metrics.wasted,
	}
	for i := range p.load.Queues {
		out.Queues = append(out.Queues, p.queueResult(&p.load.Queues[i]))
	}
	return out
}

func (p *simulation) queueResult(q *Queue) QueueResult {
	out := QueueResult{Name: q.Queue.Name}
	for _, j := range p.jobs {
		if j.queue == q && !j.cancelled {
			out.add(j)
		}
	}
	slices.Sort(out.Waits)
	slices.Sort(out.CompletionTimes)
	return out
}

func (q *QueueResult) add(j *simulatedJob) {
	q.Jobs++
	if !j.startedAt.IsZero() {
		q.Waits = append(q.Waits, j.startedAt.Sub(j.submittedAt))
	}
	served := j.state == workload.StateCompleted || j.hopeless && j.state == workload.StateFailed
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

// metrics counts while a load is played.
type metrics struct {
	starts    int
	stops     int
	adviceRequests int
	wasted    float64

	totalCores float64
	begin time.Time
	end time.Time
	at    time.Time
	usedCores  float64
	// coreSeconds is the sum of core-seconds up to at, over that of each second.
	coreSeconds float64
	packingPerSecond   []float64
}

func newMetrics(begin time.Time, load Load) metrics {
	const milli = 1000
	return metrics{
		begin: begin, at: begin, end: begin.Add(load.Duration),
		totalCores: float64(load.Workers.Capacity.MilliCores) / milli * float64(load.Workers.Count),
		packingPerSecond:  make([]float64, int(load.Duration/time.Second)),
	}
}

// advance lets time go on with the cores in use as they are.
func (t *metrics) advance(now time.Time) {
	for t.at.Before(now) && t.at.Before(t.end) {
		second := int(t.at.Sub(t.begin) / time.Second)
		next := t.begin.Add(time.Duration(second+1) * time.Second)
		if now.Before(next) {
			next = now
		}
		worked := t.usedCores * next.Sub(t.at).Seconds()
		t.coreSeconds += worked
		if second < len(t.packingPerSecond) {
			t.packingPerSecond[second] += worked / t.totalCores
		}
		t.at = next
	}
}

// addCores changes the cores in addCores.
func (t *metrics) addCores(now time.Time, cores float64) {
	t.advance(now)
	t.usedCores += cores
}

func (t *metrics) addWasted(worked time.Duration, cores float64) { t.wasted += worked.Seconds() * cores }

func (t *metrics) packing() float64 {
	return t.coreSeconds / (t.totalCores * t.end.Sub(t.begin).Seconds())
}
