package cell_test

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// overloadedFleet is a cell to which more is submitted than its owner can start. The
// queues need advice, which arrives later.
type overloadedFleet struct {
	*fleet
	ends    []fleetEnd
	answers []fleetAnswer
	arrived float64
	// startable is how many starts may be sent by now.
	startable float64
}

type fleetEnd struct {
	at    time.Time
	start cell.SendStart
}

type fleetAnswer struct {
	at     time.Time
	advice cell.Advice
}

const (
	overloadTick = time.Millisecond
	// submittedTasks and sentStarts are the tasks that are submitted and the starts that
	// the owner can send in an overloadTick.
	submittedTasks = 0.9
	sentStarts     = 0.5
	// allowedPercent is the share of the workers that the advice service allows.
	allowedPercent = 40
	adviceDelay    = 60 * time.Millisecond
	holdRunTime    = 800 * time.Millisecond
)

func overloadQueues(others int) *manifest.Manifest {
	advice := manifest.Advice{Fixed: 20 * time.Millisecond, PerWorker: time.Millisecond, ValidFor: 4 * time.Second}
	m := &manifest.Manifest{Version: 1}
	for i := range others {
		m.Queues = append(m.Queues, manifest.Queue{Name: fmt.Sprintf("other-%d", i), Service: "s"})
	}
	m.Queues = append(m.Queues, fleetManifest.Queues...)
	for i := range m.Queues {
		m.Queues[i].Advice = advice
	}
	return m
}

func newOverloadedFleet(workers, otherQueues int) *overloadedFleet {
	f := newIdleFleet(workers, overloadQueues(otherQueues))
	f.cell.SetAdviceHosts(100)
	return &overloadedFleet{fleet: f}
}

// advance lets an overloadTick pass: jobs arrive, runs end, workers report, and the cell
// decides.
func (f *overloadedFleet) advance() {
	f.now = f.now.Add(overloadTick)
	for f.arrived += submittedTasks; f.arrived >= 13; f.arrived -= 13 {
		f.accept()
	}
	for len(f.ends) > 0 && !f.ends[0].at.After(f.now) {
		s := f.ends[0].start
		f.ends = f.ends[1:]
		f.endRun(s)
	}
	for len(f.answers) > 0 && !f.answers[0].at.After(f.now) {
		f.cell.Advised(f.now, f.answers[0].advice)
		f.answers = f.answers[1:]
	}
	id := f.ids[int(f.now.UnixMilli())%len(f.ids)]
	f.report(id)
	if f.now.UnixMilli()%100 == 0 {
		f.cell.Tick(f.now)
	}
	f.startable = min(f.startable+sentStarts, 50)
	f.decide()
}

func (f *overloadedFleet) decide() {
	f.cell.LimitStarts(int(f.startable))
	var actions []cell.Action
	timed(&f.took.decide, func() { actions = f.cell.TakeActions(f.now) })
	for _, a := range actions {
		switch a := a.(type) {
		case cell.SendStart:
			f.startable--
			f.start(a)
			f.ends = append(f.ends, fleetEnd{f.now.Add(holdRunTime), a})
		case cell.AskAdvice:
			f.answers = append(f.answers, fleetAnswer{f.now.Add(adviceDelay), adviceOf(a)})
		}
	}
	records := f.cell.TakeRecords(90)
	f.cell.Committed(f.now, records)
}

func adviceOf(a cell.AskAdvice) cell.Advice {
	out := cell.Advice{Step: a.Step, Asked: a.Workers}
	for _, id := range a.Workers {
		h := fnv.New32a()
		_, _ = fmt.Fprint(h, a.Step, id)
		if h.Sum32()%100 < allowedPercent {
			out.Allowed = append(out.Allowed, cell.Ticket{Worker: id, Value: "t"})
		}
	}
	return out
}

// BenchmarkOverloadedDecision lets a millisecond pass in a cell that has had more
// submitted than its owner can start for some time.
func BenchmarkOverloadedDecision(b *testing.B) {
	for _, c := range []struct{ queues, seconds int }{{0, 4}, {1000, 4}, {0, 40}} {
		b.Run(fmt.Sprintf("1100-workers-%d-queues-%ds", c.queues+2, c.seconds), func(b *testing.B) {
			f := newOverloadedFleet(1100, c.queues)
			for range c.seconds * int(time.Second/overloadTick) {
				f.advance()
			}
			f.took.decide = 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				f.advance()
			}
			b.ReportMetric(float64(f.took.decide.Nanoseconds())/float64(b.N), "ns/decide")
		})
	}
}
