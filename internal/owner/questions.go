package owner

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Advisor asks the advice service in the name of this host.
type Advisor interface {
	Advise(ctx context.Context, step workload.StepID, workers []cell.WorkerID) (cell.Advice, error)
}

// RemoteAdvisors are the other hosts, which ask the advice service in their own names.
type RemoteAdvisors interface {
	// List returns the hosts that were heard of lately.
	List() []netip.AddrPort
	// Heard counts the hosts that were heard of within a time.
	Heard(within time.Duration) int
	Advise(ctx context.Context, to netip.AddrPort, step workload.StepID, workers []cell.WorkerID) (cell.Advice, error)
}

// adviceMargin is how long an answer may take beyond its expected time.
const adviceMargin = 800 * time.Millisecond

// questions spreads the questions for advice over all hosts, since the advice
// service serves the calls of one host in turn.
type questions struct {
	advisor Advisor
	remote  RemoteAdvisors
	timers  timer.Service
	log     *zap.Logger

	mu sync.Mutex
	// spread gives the questions to hosts; the zero address stands for this one.
	spread *cell.AdviceBalancer[netip.AddrPort]
}

func newQuestions(advisor Advisor, remote RemoteAdvisors, timers timer.Service, log *zap.Logger) *questions {
	return &questions{
		advisor: advisor, remote: remote, timers: timers, log: log, spread: cell.NewAdviceBalancer[netip.AddrPort](),
	}
}

// ask asks through the host that should answer first.
func (q *questions) ask(ctx context.Context, a cell.AskAdvice) cell.Advice {
	to, expected := q.pick(a)
	ctx, cancel := context.WithTimeout(ctx, expected+adviceMargin)
	defer cancel()
	var advice cell.Advice
	var err error
	if to.IsValid() {
		advice, err = q.remote.Advise(ctx, to, a.Step, a.Workers)
	} else {
		advice, err = q.advisor.Advise(ctx, a.Step, a.Workers)
	}
	if err != nil {
		q.log.Warn("no advice", zap.String("Job", string(a.Step.Job)), zap.Stringer("Step", a.Step),
			zap.Stringer("Host", to), zap.Error(err))
		return cell.Advice{Step: a.Step, Asked: a.Workers, Failed: true}
	}
	return advice
}

// hosts returns how many hosts can ask.
func (q *questions) hosts() int { return len(q.remote.List()) + 1 }

// heard counts the other hosts that were heard of within a time.
func (q *questions) heard(within time.Duration) int { return q.remote.Heard(within) }

// pick returns the host to ask and how long its answer should take.
func (q *questions) pick(a cell.AskAdvice) (netip.AddrPort, time.Duration) {
	hosts := append([]netip.AddrPort{{}}, q.remote.List()...)
	slices.SortFunc(hosts, netip.AddrPort.Compare)
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.spread.Pick(q.timers.Now(), hosts, a)
}
