package upstream_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/upstream"
)

const slots = 8

func instances(n int) []platform.Host {
	out := make([]platform.Host, n)
	for i := range out {
		out[i] = platform.Host{Name: fmt.Sprintf("upstream-%04d", i), Slots: slots, Connections: 64}
	}
	return out
}

func percentile(all []time.Duration, p float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(p*float64(len(all)-1))]
}

// BenchmarkDecisions measures the arrival of a request together with the end of
// another, at a load of 95% of the slots, and of 110%, where requests wait.
func BenchmarkDecisions(b *testing.B) {
	for _, n := range []int{50, 500, 5000} {
		for _, load := range []float64{0.95, 1.1} {
			b.Run(fmt.Sprintf("instances=%d/load=%v", n, load), func(b *testing.B) {
				now := time.Unix(0, 0)
				g := upstream.New(upstream.DefaultConfig(), instances(n), true, now)
				type sent struct{ name, id string }
				var running []sent
				take := func(ds []upstream.Decision) {
					for _, d := range ds {
						if d.Action == upstream.ActionSend {
							running = append(running, sent{d.Instance.Name, d.Request.ID})
						}
					}
				}
				next := 0
				arrive := func() {
					next++
					take(g.Arrive(upstream.Request{
						ID: strconv.Itoa(next), Caller: "c" + strconv.Itoa(next%20), Deadline: now.Add(time.Minute),
					}, now))
				}
				for range int(load * float64(n*slots)) {
					arrive()
				}
				random := rand.New(rand.NewPCG(1, 1))
				times := make([]time.Duration, 0, b.N)
				b.ReportAllocs()
				b.ResetTimer()
				for b.Loop() {
					at := random.IntN(len(running))
					r := running[at]
					running[at] = running[len(running)-1]
					running = running[:len(running)-1]
					now = now.Add(10 * time.Microsecond)
					started := time.Now()
					take(g.Finished(r.name, r.id, upstream.ResultAnswered, false, now))
					arrive()
					times = append(times, time.Since(started))
				}
				b.StopTimer()
				b.ReportMetric(float64(percentile(times, 0.99).Nanoseconds()), "p99-ns")
			})
		}
	}
}

// event is the arrival or the end of a request in a simulation; at an arrival
// the instance is -1.
type event struct {
	at       time.Time
	id       int
	instance int
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)        { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// policy decides which instance runs a request. It calls its starter for each
// request that starts.
type policy interface {
	arrive(id int, now time.Time)
	ended(id, instance int, now time.Time)
}

type starter func(id, instance int, now time.Time)

// perInstance is a baseline with a separate queue for each instance.
type perInstance struct {
	start  starter
	choose func(p *perInstance) int
	busy   []int
	queues [][]int
	next   int
	random *rand.Rand
}

func (p *perInstance) load(i int) int { return p.busy[i] + len(p.queues[i]) }

func (p *perInstance) arrive(id int, now time.Time) {
	i := p.choose(p)
	if p.busy[i] < slots {
		p.busy[i]++
		p.start(id, i, now)
		return
	}
	p.queues[i] = append(p.queues[i], id)
}

func (p *perInstance) ended(_, i int, now time.Time) {
	p.busy[i]--
	if len(p.queues[i]) > 0 {
		id := p.queues[i][0]
		p.queues[i] = p.queues[i][1:]
		p.busy[i]++
		p.start(id, i, now)
	}
}

// oneQueue is a baseline with one FIFO queue, whose head gets the first free
// slot.
type oneQueue struct {
	start starter
	busy  []int
	queue []int
}

func (p *oneQueue) arrive(id int, now time.Time) {
	p.queue = append(p.queue, id)
	p.drain(now)
}

func (p *oneQueue) ended(_, i int, now time.Time) {
	p.busy[i]--
	p.drain(now)
}

func (p *oneQueue) drain(now time.Time) {
	for i := 0; i < len(p.busy) && len(p.queue) > 0; i++ {
		for p.busy[i] < slots && len(p.queue) > 0 {
			p.busy[i]++
			p.start(p.queue[0], i, now)
			p.queue = p.queue[1:]
		}
	}
}

// groupPolicy is the policy of package upstream.
type groupPolicy struct {
	start  starter
	group  *upstream.Group
	names  map[string]int
	hosts  []platform.Host
	lastAt time.Time
}

func (p *groupPolicy) take(ds []upstream.Decision, now time.Time) {
	for _, d := range ds {
		if d.Action == upstream.ActionSend {
			id, _ := strconv.Atoi(d.Request.ID)
			p.start(id, p.names[d.Instance.Name], now)
		}
	}
}

func (p *groupPolicy) arrive(id int, now time.Time) {
	if now.Sub(p.lastAt) > 20*time.Millisecond {
		p.lastAt = now
		p.take(p.group.Tick(now), now)
	}
	p.take(p.group.Arrive(upstream.Request{ID: strconv.Itoa(id), Caller: strconv.Itoa(id % 20), Urgent: urgent(id), Deadline: now.Add(time.Second)}, now), now)
}

func (p *groupPolicy) ended(id, i int, now time.Time) {
	p.take(p.group.Finished(p.hosts[i].Name, strconv.Itoa(id), upstream.ResultAnswered, false, now), now)
}

func newPolicy(name string, n int, start starter) policy {
	random := rand.New(rand.NewPCG(7, 7))
	p := &perInstance{start: start, busy: make([]int, n), queues: make([][]int, n), random: random}
	switch name {
	case "random":
		p.choose = func(p *perInstance) int { return p.random.IntN(n) }
	case "round-robin":
		p.choose = func(p *perInstance) int {
			p.next++
			return p.next % n
		}
	case "random-of-two":
		p.choose = func(p *perInstance) int {
			a, b := p.random.IntN(n), p.random.IntN(n)
			if p.load(b) < p.load(a) {
				return b
			}
			return a
		}
	case "one-queue":
		return &oneQueue{start: start, busy: make([]int, n)}
	default:
		g := &groupPolicy{start: start, hosts: instances(n), names: make(map[string]int)}
		for i, h := range g.hosts {
			g.names[h.Name] = i
		}
		g.group = upstream.New(upstream.DefaultConfig(), g.hosts, true, time.Unix(0, 0))
		return g
	}
	return p
}

// urgent reports whether a request is urgent; one in ten is.
func urgent(id int) bool { return id%10 == 0 }

// BenchmarkPolicies simulates ten seconds of load at 50 instances: 70% of the
// slots, each second a burst of 200 ms at 130%, and one instance that is 20
// times slower. All policies get the same requests.
func BenchmarkPolicies(b *testing.B) {
	const n, slowBy, meanMS = 50, 20, 15
	for _, name := range []string{"group", "random", "round-robin", "one-queue", "random-of-two"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				random := rand.New(rand.NewPCG(42, 42))
				begin := time.Unix(0, 0)
				var queue events
				var arrivals []time.Time
				var service []time.Duration
				for at := begin; at.Sub(begin) < 10*time.Second; {
					share := 0.7
					if at.Sub(begin)%time.Second < 200*time.Millisecond {
						share = 1.3
					}
					rate := share * float64(n*slots) * 1000 / meanMS
					at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
					heap.Push(&queue, event{at: at, id: len(arrivals), instance: -1})
					arrivals = append(arrivals, at)
					service = append(service, time.Duration(5+random.Float64()*20)*time.Millisecond)
				}
				var waits, urgentWaits, totals []time.Duration
				started := func(id, instance int, now time.Time) {
					took := service[id]
					if instance == 0 {
						took *= slowBy
					}
					waits = append(waits, now.Sub(arrivals[id]))
					if urgent(id) {
						urgentWaits = append(urgentWaits, now.Sub(arrivals[id]))
					}
					totals = append(totals, now.Sub(arrivals[id])+took)
					heap.Push(&queue, event{at: now.Add(took), id: id, instance: instance})
				}
				p := newPolicy(name, n, started)
				for queue.Len() > 0 {
					e := heap.Pop(&queue).(event)
					if e.instance < 0 {
						p.arrive(e.id, e.at)
						continue
					}
					p.ended(e.id, e.instance, e.at)
				}
				ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
				b.ReportMetric(ms(percentile(waits, 0.5)), "wait-p50-ms")
				b.ReportMetric(ms(percentile(waits, 0.99)), "wait-p99-ms")
				b.ReportMetric(ms(percentile(urgentWaits, 0.99)), "urgent-wait-p99-ms")
				b.ReportMetric(ms(percentile(totals, 0.99)), "done-p99-ms")
				b.ReportMetric(100*float64(len(arrivals)-len(waits))/float64(len(arrivals)), "refused-%")
			}
		})
	}
}
